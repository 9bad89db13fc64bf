// Package idstore reserves the IDs of requests that may run only once on several VMs before dispatch.
package idstore
