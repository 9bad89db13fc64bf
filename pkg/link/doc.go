// Package link sends datagrams between VMs and matches replies to calls.
package link
