// Package operatorclient calls the operators' interface of a VM.
package operatorclient
