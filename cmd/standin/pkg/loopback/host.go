package loopback

import (
	"fmt"
	"os"
)

// The ports of every VM; they lie below the range from which outgoing connections take theirs.
const (
	PortCallers   = 18045
	PortReady     = 18048
	PortAddresses = 18044
	PortPeers     = 18100
)

const (
	// firstNet and nets bound the second part of the addresses, which leaves 127.0.0.1 alone.
	firstNet = 16
	nets     = 200
	// hosts is the number of values of the third part.
	hosts = 256
)

// Host returns the address of a VM by its index; processes that run beside each other get different ones.
func Host(index int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", firstNet+pid/hosts%nets, pid%hosts, index+1)
}
