// Package operatorclient is a client for the operators' HTTP API of a VM.
package operatorclient
