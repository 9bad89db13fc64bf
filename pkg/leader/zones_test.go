package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
)

// TestCrossingIsLoggedWithItsReason guards against attempts in other zones whose reason cannot be found afterwards.
func TestCrossingIsLoggedWithItsReason(t *testing.T) {
	l := New(start(), Params{Scheduler: scheduler.Params{RetryRatio: 0.2, RetrySlack: 60, KeepInZone: true}}, invariant.NewPanicking(), 1, "vm-0", "10.0.0.0:1", azuretiller.RateLedger{}, nil)
	now := start().Add(10 * time.Millisecond)
	l.Receive(now, "10.0.0.1:1", message.Envelope{Call: 1, Body: message.Heartbeat{VM: "vm-1", Zone: "north"}})
	servers := newServers("service", 1)
	servers[0].Zone = "south"
	l.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"service": servers})
	effects := l.Receive(now, "10.0.0.1:1", message.Envelope{Call: 2, Body: newPlaceRequest(config.Backend{Service: "service", Weight: 1})})
	require.Len(t, placeResponses(effects), 1)
	assert.Contains(t, effects, CountCrossing{Reason: "zone full"})
	logged := false
	for _, e := range effects {
		if line, ok := e.(LogLine); ok && line.Name == "placed" {
			logged = true
			assert.Equal(t, true, line.Fields["crossed"])
			assert.Equal(t, "zone full", line.Fields["crossed_why"])
		}
	}
	assert.True(t, logged)
}
