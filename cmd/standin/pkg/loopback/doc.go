// Package loopback gives VMs of tests addresses that no other process on the machine uses.
package loopback
