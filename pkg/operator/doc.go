// Package operator serves the operators' HTTP API of a VM.
package operator
