// Package link sends datagrams between VMs and matches answers with questions.
package link
