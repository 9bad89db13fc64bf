package leader

import (
	"fmt"
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

func start() time.Time { return time.Unix(1_000_000, 0) }

func newLeader() *Leader {
	return New(start(), Params{
		Scheduler:     scheduler.Params{RetryRatio: 0.2, RetrySlack: 60},
		RateTolerance: 0.1, RateSlack: 20, RateWindow: 5 * time.Second,
	}, invariant.NewPanicking(), 1, "vm-0", "10.0.0.0:1", nil)
}

func setTeamRate(l *Leader, rate, burst float64) {
	l.SetConfig(config.Assemble(config.Parts{Revision: 1, Teams: []config.KeyedTeam{{Team: config.Team{
		ID:    "team",
		Rate:  azuretiller.Millitokens(rate * float64(azuretiller.TokenCost)),
		Burst: azuretiller.Millitokens(burst * float64(azuretiller.TokenCost)),
	}}}}))
}

func newServers(service azuretiller.ServiceID, n int) []scheduler.Server {
	var list []scheduler.Server
	for i := range n {
		id := azuretiller.InstanceID(string(service) + "-" + string(rune('a'+i)))
		list = append(list, scheduler.Server{ID: id, Address: "10.1.0.1:80", Slots: 3})
	}
	return list
}

func newPlaceRequest(backends ...config.Backend) message.PlaceRequest {
	return message.PlaceRequest{
		Request: "r", Route: "route", Team: "team", Timeout: time.Second, SoftTimeout: time.Second, Attempt: 1, Backends: backends,
	}
}

// placeResponses returns the placement responses among effects.
func placeResponses(effects []Effect) []message.PlaceResponse {
	var list []message.PlaceResponse
	for _, e := range effects {
		if s, ok := e.(Send); ok {
			if response, ok := s.Message.Body.(message.PlaceResponse); ok {
				list = append(list, response)
			}
		}
	}
	return list
}

func TestRequestsFollowServiceWeights(t *testing.T) {
	now := start()
	l := newLeader()
	l.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"a": newServers("a", 9), "b": newServers("b", 9)})
	counts := map[azuretiller.ServiceID]int{}
	for i := range 200 {
		now = now.Add(5 * time.Millisecond)
		responses := placeResponses(l.Receive(now, "10.0.0.1:1", message.Envelope{
			Call: uint64(i + 1), Body: newPlaceRequest(config.Backend{Service: "a", Weight: 90}, config.Backend{Service: "b", Weight: 10}),
		}))
		require.Len(t, responses, 1)
		counts[responses[0].Service]++
		l.Receive(now, "10.0.0.1:1", message.Envelope{Body: message.Report{Ticket: responses[0].Ticket, Result: message.Succeeded, Took: time.Millisecond, Term: 1}})
	}
	assert.Equal(t, map[azuretiller.ServiceID]int{"a": 180, "b": 20}, counts)
}

func TestDuplicateRequestGetsTheSameResponse(t *testing.T) {
	now := start()
	l := newLeader()
	l.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"a": newServers("a", 3)})
	e := message.Envelope{Call: 7, Body: newPlaceRequest(config.Backend{Service: "a", Weight: 1})}
	first := placeResponses(l.Receive(now, "10.0.0.1:1", e))
	second := placeResponses(l.Receive(now.Add(70*time.Millisecond), "10.0.0.1:1", e))
	assert.Equal(t, first, second)
}

func TestRequestThatCrashesServersIsHeldBack(t *testing.T) {
	now := start()
	l := newLeader()
	l.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"a": newServers("a", 6)})
	request := newPlaceRequest(config.Backend{Service: "a", Weight: 1})
	request.Fingerprint = 42
	sent := 0
	for i := range 10 {
		now = now.Add(500 * time.Millisecond)
		responses := placeResponses(l.Receive(now, "10.0.0.1:1", message.Envelope{Call: uint64(i + 1), Body: request}))
		require.Len(t, responses, 1)
		if responses[0].Code != azuretiller.CodeOK {
			assert.Equal(t, azuretiller.CodeHeldBack, responses[0].Code)
			continue
		}
		sent++
		l.Receive(now, "10.0.0.1:1", message.Envelope{Body: message.Report{Ticket: responses[0].Ticket, Result: message.Reset, Term: 1}})
	}
	assert.LessOrEqual(t, sent, 3)
}

func sendHeartbeat(l *Leader, now time.Time, from string) {
	l.Receive(now, from, message.Envelope{Body: message.Heartbeat{VM: azuretiller.VMID(from), Incarnation: 1, Zone: "z", Ready: true, Term: 1}})
}

// TestPartitionedLeaderReducesItsRates guards against two leaders that both grant the full rate of a team during a partition. The
// leader loses nine of ten VMs: it grants a tenth of the rate, or the full rate while the leader record confirms its term.
func TestPartitionedLeaderReducesItsRates(t *testing.T) {
	const rate = 100
	for _, confirmed := range []bool{false, true} {
		now := start()
		l := newLeader()
		setTeamRate(l, rate, 1)
		l.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"a": newServers("a", 20)})
		for i := range 10 {
			sendHeartbeat(l, now, string(rune('a'+i)))
		}
		l.Tick(now)
		placed := 0
		for step := range 500 {
			now = now.Add(10 * time.Millisecond)
			sendHeartbeat(l, now, "a")
			l.Tick(now)
			if confirmed {
				l.ConfirmTerm(now)
			}
			responses := placeResponses(l.Receive(now, "a", message.Envelope{Call: uint64(step + 1), Body: newPlaceRequest(config.Backend{Service: "a", Weight: 1})}))
			for _, response := range responses {
				if response.Ticket != 0 {
					if step >= 200 {
						placed++
					}
					l.Receive(now, "a", message.Envelope{Body: message.Report{Ticket: response.Ticket, Result: message.Succeeded, Took: time.Millisecond, Term: 1}})
				}
			}
		}
		if confirmed {
			assert.InDelta(t, 3*rate, placed, 5)
		} else {
			assert.LessOrEqual(t, placed, 3*rate/10+2)
		}
	}
}

func TestRestartedVMReleasesItsRequests(t *testing.T) {
	now := start()
	l := newLeader()
	l.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"a": newServers("a", 1)})
	sendHeartbeat(l, now, "x")
	sendHeartbeat(l, now, "y")
	for i := range 3 {
		require.Len(t, placeResponses(l.Receive(now, "x", message.Envelope{Call: uint64(i + 1), Body: newPlaceRequest(config.Backend{Service: "a", Weight: 1})})), 1)
	}
	now = now.Add(100 * time.Millisecond)
	waiting := placeResponses(l.Receive(now, "y", message.Envelope{Call: 1, Body: newPlaceRequest(config.Backend{Service: "a", Weight: 1})}))
	require.Len(t, waiting, 1)
	assert.True(t, waiting[0].Queued)
	// The VM restarts: it has a new incarnation.
	effects := l.Receive(now, "x", message.Envelope{Body: message.Heartbeat{VM: "x", Incarnation: 2, Zone: "z", Ready: true, Term: 1}})
	after := placeResponses(effects)
	require.Len(t, after, 1)
	assert.NotZero(t, after[0].Ticket)
}

func TestSetParamsAppliesToInitialTokens(t *testing.T) {
	l := newLeader()
	setTeamRate(l, 10, 100)
	limit := l.limit(start(), "team")
	before := l.initialTokens("team", limit)
	p := l.params
	p.RateSlack = 60
	l.SetParams(p)
	assert.Equal(t, before+20*azuretiller.TokenCost, l.initialTokens("team", limit))
}

// TestFullViewResendsAreRateLimited guards against a leader that saturates its link when all VMs of a large fleet miss the view and
// each heartbeat reports the old one: the entries that are resent stay within resendEntriesPerSecond.
func TestFullViewResendsAreRateLimited(t *testing.T) {
	l := newLeader()
	now := start()
	l.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"s": numberedServers(3000)})
	heartbeat := func(i int) []Effect {
		return l.Receive(now, fmt.Sprint("10.0.0.", i, ":1"), message.Envelope{Body: message.Heartbeat{
			VM: azuretiller.VMID(fmt.Sprint("vm-", i)), Zone: "z", Ready: true,
		}})
	}
	for i := range 300 {
		heartbeat(i)
	}
	now = now.Add(time.Second)
	l.Tick(now)
	sentEntries := 0
	for range 3 {
		now = now.Add(time.Second)
		for i := range 300 {
			for _, e := range heartbeat(i) {
				if s, ok := e.(Send); ok {
					if v, ok := s.Message.Body.(message.View); ok {
						sentEntries += v.Len()
					}
				}
			}
		}
	}
	assert.Positive(t, sentEntries)
	assert.LessOrEqual(t, sentEntries, 4*resendEntriesPerSecond+4000)
}

func numberedServers(n int) []scheduler.Server {
	var list []scheduler.Server
	for i := range n {
		list = append(list, scheduler.Server{ID: azuretiller.InstanceID(fmt.Sprintf("s-%04d", i)), Address: "10.1.0.1:80", Slots: 3})
	}
	return list
}
