// Package vmprocess opens the sockets of a VM according to its settings and runs the VM.
package vmprocess
