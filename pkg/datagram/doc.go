// Package datagram sends datagrams between VMs and matches replies to calls.
package datagram
