// Package vmprocess opens the sockets of a VM from its settings and runs it.
package vmprocess
