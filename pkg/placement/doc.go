// Package placement chooses the VMs that take a shared decision, by rendezvous hashing.
package placement
