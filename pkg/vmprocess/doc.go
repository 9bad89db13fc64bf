// Package vmprocess opens the listening sockets that a VM's settings name and runs the VM.
package vmprocess
