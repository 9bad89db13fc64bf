package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
)

// TestRefusalIsLoggedWithItsReason guards against refusals of which the log does not say whether slots or retries were missing.
func TestRefusalIsLoggedWithItsReason(t *testing.T) {
	l := New(start(), Params{Scheduler: scheduler.Params{}}, invariant.NewPanicking(), 1, "vm-0", "10.0.0.0:1", azuretiller.RateLedger{}, nil)
	now := start().Add(10 * time.Millisecond)
	l.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"service": newServers("service", 1)})
	request := newPlaceRequest(config.Backend{Service: "service", Weight: 1})
	request.Attempt, request.Hedge = 2, true
	effects := l.Receive(now, "10.0.0.1:1", message.Envelope{Call: 1, Body: request})
	assert.Contains(t, effects, CountRefusal{Reason: "retry budget spent"})
	logged := false
	for _, e := range effects {
		if line, ok := e.(LogLine); ok && line.Name == "refused" {
			logged = true
			assert.Equal(t, "retry budget spent", line.Fields["why"])
		}
	}
	assert.True(t, logged)
}
