// Package rendezvous assigns named objects, such as pools and rate shares, to VMs by rendezvous hashing.
package rendezvous
