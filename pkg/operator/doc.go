// Package operator serves the operators' interface of a VM.
package operator
