// Package servergate decides whether a VM may send a request to a backend server that said that it leaves, or that asked for a pause.
package servergate
