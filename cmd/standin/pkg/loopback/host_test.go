package loopback

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestNoOutgoingConnectionTakesAPort checks that ports lie below those that the system gives away, and hosts apart from 127.0.0.1.
func TestNoOutgoingConnectionTakesAPort(t *testing.T) {
	const firstGivenAway = 32768
	for _, port := range []int{PortCallers, PortReady, PortAddresses, PortPeers} {
		assert.Less(t, port, firstGivenAway)
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
