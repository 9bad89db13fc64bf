package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/explanation"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
	"github.com/azuretiller/azuretiller/pkg/shareledger"
)

// TestExplainTakesNoTokenAndNoTurn guards against explanations that take a token of the team, refill its bucket, ask for the tolerance, or count
// as the turn of a service. Two leaders get the same requests, and one of them explains each request first.
func TestExplainTakesNoTokenAndNoTurn(t *testing.T) {
	now := start()
	check := invariant.NewPanicking()
	newTwin := func() *Leader {
		l := newLeaderWith(shareledger.Claimed(azuretiller.LeaderRecord{}, "vm-0"))
		l.check = check
		setTeamRate(l, 4, 6)
		l.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"a": newServers("a", 2), "b": newServers("b", 2)})
		return l
	}
	// The twins share the checker, since functions are never equal.
	explained, plain := newTwin(), newTwin()
	backends := []config.Backend{{Service: "a", Weight: 2}, {Service: "b", Weight: 1}}
	vms := map[*Leader]*testVM{explained: {}, plain: {}}
	outcomes := map[string]int{}
	for call := range uint64(30) {
		now = now.Add(60 * time.Millisecond)
		for l, vm := range vms {
			vm.exchangeHeartbeat(l, now, "vm-0")
			confirmRates(l, now)
		}
		request := newPlaceRequest(backends...)
		e := explained.Explain(now, explanation.PlacementRequest{
			From: "vm-0", Team: request.Team, Route: request.Route, Backends: backends,
			TimeoutMS: request.Timeout.Milliseconds(), TargetMS: request.SoftTimeout.Milliseconds(),
		})
		require.Equal(t, plain, explained, "the explanation changed the leader")
		outcomes[e.Result.Outcome]++
		envelope := message.Envelope{Call: call + 1, Body: request}
		effects := explained.Receive(now, "vm-0", envelope)
		require.Equal(t, plain.Receive(now, "vm-0", envelope), effects)
		responses := placeResponses(effects)
		require.Len(t, responses, 1)
		switch r := responses[0]; {
		case r.Queued:
			assert.Equal(t, explanation.Waits, e.Result.Outcome)
		case r.Code != azuretiller.CodeOK:
			assert.Equal(t, explanation.Refused, e.Result.Outcome)
			assert.Equal(t, r.Code, e.Result.Code)
			assert.Equal(t, r.RetryAfter.Milliseconds(), e.Result.RetryAfterMS)
		default:
			assert.Equal(t, explanation.Placed, e.Result.Outcome)
			assert.Equal(t, r.Service, e.Result.Service)
			assert.Equal(t, r.Server, e.Result.Server)
		}
	}
	assert.Positive(t, outcomes[explanation.Placed])
	assert.Positive(t, outcomes[explanation.Refused])
}

// TestExplainCreatesNoService guards against explanations that leave a scheduler behind for a service that has no servers.
func TestExplainCreatesNoService(t *testing.T) {
	l := newLeader()
	e := l.Explain(start(), explanation.PlacementRequest{Backends: []config.Backend{{Service: "none", Weight: 1}}})
	assert.Equal(t, azuretiller.CodeNoServer, e.Result.Code)
	assert.Empty(t, l.schedulers)
}
