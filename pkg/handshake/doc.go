// Package handshake authenticates the two VMs of a connection to each other with the fleet's shared secret.
package handshake
