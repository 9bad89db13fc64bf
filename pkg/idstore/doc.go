// Package idstore reserves request ids on several VMs before a request that may run only once is dispatched.
package idstore
