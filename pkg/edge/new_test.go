package edge

import (
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/datagram"
	"github.com/azuretiller/azuretiller/pkg/systemclock"
	"github.com/azuretiller/azuretiller/platform"
)

// newTestEdge returns a VM that is not running and writes no logs.
func newTestEdge(registry azuretiller.Registry) *Edge {
	c := &common.Common{Log: &log.Logger{Handler: discard.New()}, Clock: systemclock.New(), Metrics: tally.NoopScope}
	return New(c, platform.Settings{VM: "vm", Zone: "z", PeerAddress: "127.0.0.1:1", ServerHeartbeat: 1500 * time.Millisecond}, registry)
}

// openSocket gives a test VM a socket that ignores what it receives.
func openSocket(t *testing.T, e *Edge) {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	e.socket = datagram.New(conn, 1, func(datagram.Incoming) {})
}
