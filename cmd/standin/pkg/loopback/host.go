package loopback

import (
	"fmt"
	"os"
)

// The listening ports of every VM. They are below the ephemeral port range, so that no outgoing connection occupies them.
const (
	CallerPort    = 18045
	ReadinessPort = 18048
	ResolvePort   = 18044
	PeerPort      = 18100
)

const (
	// secondOctetMin and secondOctetCount bound the second octet of the addresses, so that 127.0.0.1 is never used.
	secondOctetMin   = 16
	secondOctetCount = 200
	// thirdOctetCount is the number of values of the third octet.
	thirdOctetCount = 256
)

// Host returns the IP address of the VM with an index. The address depends on the process ID, so that processes that run at the
// same time use different addresses.
func Host(index int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", secondOctetMin+pid/thirdOctetCount%secondOctetCount, pid%thirdOctetCount, index+1)
}
