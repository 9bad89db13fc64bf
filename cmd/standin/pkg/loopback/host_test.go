package loopback

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestPortsAndHostsDoNotConflict checks that the ports are below the ephemeral port range, and that the hosts are distinct loopback
// addresses other than 127.0.0.1.
func TestPortsAndHostsDoNotConflict(t *testing.T) {
	const firstEphemeralPort = 32768
	for _, port := range []int{CallerPort, ReadinessPort, ResolvePort, PeerPort} {
		assert.Less(t, port, firstEphemeralPort)
	}
	seen := map[string]bool{}
	for i := range 40 {
		host := Host(i)
		address, err := netip.ParseAddr(host)
		require.NoError(t, err)
		assert.True(t, address.IsLoopback())
		assert.NotEqual(t, "127.0.0.1", host)
		assert.False(t, seen[host])
		seen[host] = true
	}
}
