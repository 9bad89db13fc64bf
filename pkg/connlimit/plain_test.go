package connlimit

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestKeptConnectionsDoNotCount guards against VMs that cannot connect since other VMs of the fleet have reached the limit for unknown clients.
func TestKeptConnectionsDoNotCount(t *testing.T) {
	s := newClients(2)
	inner, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	tcp, ok := inner.(*net.TCPListener)
	require.True(t, ok)
	require.NoError(t, tcp.SetDeadline(time.Now().Add(testTimeout)))
	l := s.limiter.ListenPlain(inner)
	defer func() { _ = l.Close() }()
	accept := func() *conn {
		dialed, err := new(net.Dialer).DialContext(t.Context(), "tcp", inner.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = dialed.Close() })
		accepted, err := l.Accept()
		require.NoError(t, err)
		t.Cleanup(func() { _ = accepted.Close() })
		c, ok := accepted.(*conn)
		require.True(t, ok)
		return c
	}
	var kept []*conn
	for range 5 {
		c := accept()
		Keep(c)
		kept = append(kept, c)
	}
	var unknown []*conn
	for range 4 {
		unknown = append(unknown, accept())
	}
	for _, c := range kept {
		assert.False(t, c.isEvicted())
	}
	for i, c := range unknown {
		assert.Equal(t, i < 2, c.isEvicted(), "only two unknown clients at a time")
	}
}
