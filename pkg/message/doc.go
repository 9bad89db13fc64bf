// Package message defines what the VMs of a fleet tell one another.
package message
