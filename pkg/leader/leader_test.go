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
	"github.com/azuretiller/azuretiller/pkg/shareledger"
	"github.com/azuretiller/azuretiller/pkg/tokenbucket"
)

func start() time.Time { return time.Unix(1_000_000, 0) }

// newLeader returns the leader of a term that follows another one.
func newLeader() *Leader {
	return newLeaderWith(shareledger.Claimed(azuretiller.LeaderRecord{Term: 1, VM: "former"}, "vm-0"))
}

// newLeaderWith returns a leader that claimed its term with the given record.
func newLeaderWith(rates azuretiller.RateLedger) *Leader {
	return New(start(), Params{
		Scheduler:     scheduler.Params{RetryRatio: 0.2, RetrySlack: 60},
		RateTolerance: tokenbucket.Tolerance{Ratio: 0.1, Slack: 20, Window: 5 * time.Second},
	}, invariant.NewPanicking(), 1, "vm-0", "10.0.0.0:1", rates, nil)
}

func setTeamRate(l *Leader, rate, burst float64) {
	l.SetConfig(start(), config.Assemble(config.Parts{Revision: 1, Teams: []config.KeyedTeam{{Team: config.Team{
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

// TestLeaderDoesNotSpendSharesOfLostVMs guards against VMs that are cut off from the leader and spend their part of a rate while the leader
// grants the whole. The leader loses nine of ten VMs, and grants a tenth of the rate although the store names it as the newest leader.
func TestLeaderDoesNotSpendSharesOfLostVMs(t *testing.T) {
	const rate = 100
	now := start()
	l := newLeader()
	setTeamRate(l, rate, 1)
	l.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"a": newServers("a", 20)})
	vms := map[string]*testVM{}
	for i := range 10 {
		vms[fmt.Sprint("vm-", i)] = &testVM{}
	}
	exchange := func(name string) { vms[name].exchangeHeartbeat(l, now, name) }
	for range 60 {
		now = now.Add(100 * time.Millisecond)
		for name := range vms {
			exchange(name)
		}
		confirmRates(l, now)
	}
	require.Equal(t, azuretiller.WholeRate, l.Share(now))
	placed := 0
	for step := range 500 {
		now = now.Add(10 * time.Millisecond)
		exchange("vm-0")
		confirmRates(l, now)
		responses := placeResponses(l.Receive(now, "vm-0", message.Envelope{Call: uint64(step + 1), Body: newPlaceRequest(config.Backend{Service: "a", Weight: 1})}))
		for _, response := range responses {
			if response.Ticket != 0 {
				if step >= 200 {
					placed++
				}
				l.Receive(now, "a", message.Envelope{Body: message.Report{Ticket: response.Ticket, Result: message.Succeeded, Took: time.Millisecond, Term: 1}})
			}
		}
	}
	assert.LessOrEqual(t, placed, 3*rate/10+2)
	assert.GreaterOrEqual(t, placed, 3*rate/10-2)
}

// testVM is what a VM knows of its share of the rates.
type testVM struct {
	stamp time.Duration
	share azuretiller.RateShare
}

// exchangeHeartbeat sends a heartbeat of a VM to a leader and handles the response.
func (v *testVM) exchangeHeartbeat(l *Leader, now time.Time, name string) {
	hb := message.Heartbeat{VM: azuretiller.VMID(name), Incarnation: 1, Zone: "z", Ready: true, Term: 1, Stamp: v.stamp, Share: v.share}
	for _, e := range l.Receive(now, name, message.Envelope{Body: hb}) {
		if s, ok := e.(Send); ok {
			if r, ok := s.Message.Body.(message.HeartbeatResponse); ok {
				v.stamp, v.share = r.Stamp, r.Share
			}
		}
	}
}

// confirmRates advances a leader whose store confirms its term and accepts the shares that it distributes.
func confirmRates(l *Leader, now time.Time) {
	writeRates(l, now, l.Tick(now))
	l.ConfirmTerm(now, 0, l.Rates())
}

// writeRates lets the store accept the shares that a leader distributes.
func writeRates(l *Leader, now time.Time, effects []Effect) {
	for _, e := range effects {
		if _, ok := e.(WriteRates); ok {
			l.RatesWritten(now, nil)
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

// TestSetParamsAppliesToInitialTokens checks that a new leader starts with a part of the tolerance that was set last.
func TestSetParamsAppliesToInitialTokens(t *testing.T) {
	for _, slack := range []float64{20, 60} {
		now := start()
		l := newLeader()
		setTeamRate(l, 10, 100)
		l.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"a": newServers("a", 20)})
		p := l.params
		p.RateTolerance.Slack = slack
		l.SetParams(p)
		vm := &testVM{}
		for range 2 {
			vm.exchangeHeartbeat(l, now, "vm-0")
		}
		placed := 0
		for call := range uint64(50) {
			for _, e := range l.Receive(now, "vm-0", message.Envelope{Call: call, Body: newPlaceRequest(config.Backend{Service: "a", Weight: 1})}) {
				switch v := e.(type) {
				case WriteRates:
					assert.Zero(t, placed, "the record says that the tolerance is used before it is")
					l.RatesWritten(now, nil)
				case Send:
					if v.Message.Body.(message.PlaceResponse).Ticket != 0 {
						placed++
					}
				}
			}
		}
		// The tolerance is a tenth of the requests of 5 s and of the burst, and the slack.
		assert.Equal(t, int(tolerancePart*(0.1*150+slack)), placed)
	}
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
