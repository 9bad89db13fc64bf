// Package idstore reserves the IDs of requests that may run only once. Before such a request is dispatched, its ID is
// reserved on several VMs.
package idstore
