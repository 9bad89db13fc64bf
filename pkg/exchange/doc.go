// Package exchange defines the request and the answer as they pass between VMs.
package exchange
