// Package wire reads and writes the messages on a stream between two VMs.
package wire
