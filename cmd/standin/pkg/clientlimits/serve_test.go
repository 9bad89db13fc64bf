package clientlimits

import (
	"testing"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/loopback"
)

// TestServeIdleConnections guards against idle connections to each of the listeners that exhaust the descriptors, which ended the process.
func TestServeIdleConnections(t *testing.T) {
	for _, c := range []struct {
		name string
		port int
	}{{"callers", loopback.CallerPort}, {"operators", operatorPort}, {"peers", loopback.PeerPort}} {
		t.Run(c.name, func(t *testing.T) {
			p := startServe(t, fewFds)
			load{address: address(c.port), connections: 1200, send: sendIdle}.run(t, p.process)
			p.check(t)
		})
	}
}
