package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
)

func newScheduler(now time.Time, servers ...Server) *Scheduler {
	sc := New(Params{RetryRatio: 0.2, RetrySlack: 20}, invariant.NewPanicking(), NewTickets(0))
	sc.SetServers(now, servers)
	return sc
}

func testServers(n int) []Server {
	var servers []Server
	for i := range n {
		servers = append(servers, Server{ID: instanceID(i), Address: instanceAddress(i), Slots: 3})
	}
	return servers
}

func testRequest(now time.Time, call int) Request {
	return Request{
		Key: Key{From: "vm", Call: uint64(call)}, ID: fmt.Sprint(call), Team: "team", Route: "route",
		Deadline: now.Add(2 * time.Second), SoftDeadline: now.Add(targetLatency),
	}
}

// findAssigned returns the first decision that assigns a server, if there is one.
func findAssigned(decisions []Decision) (Decision, bool) {
	for _, decision := range decisions {
		if decision.Ticket != 0 {
			return decision, true
		}
	}
	return Decision{}, false
}

func TestRetriesStayWithinBudget(t *testing.T) {
	now := startTime()
	sc := newScheduler(now, testServers(50)...)
	requests, retries := 0, 0
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		decision, ok := findAssigned(sc.Submit(now, testRequest(now, 2*i)))
		require.True(t, ok)
		requests++
		sc.Finish(now, decision.Ticket, message.Failed, time.Millisecond, 0)
		retry := testRequest(now, 2*i+1)
		retry.PreviouslySent = true
		if decision, ok := findAssigned(sc.Submit(now, retry)); ok {
			retries++
			sc.Finish(now, decision.Ticket, message.Failed, time.Millisecond, 0)
		}
	}
	assert.LessOrEqual(t, float64(retries), 0.2*float64(requests)+20)
	assert.Greater(t, float64(retries), 0.15*float64(requests))
}

func TestMisdirectedServerGetsNoRequests(t *testing.T) {
	now := startTime()
	sc := newScheduler(now, testServers(2)...)
	decision, ok := findAssigned(sc.Submit(now, testRequest(now, 1)))
	require.True(t, ok)
	sc.Finish(now, decision.Ticket, message.Misdirected, time.Millisecond, 0)
	for i := range 20 {
		now = now.Add(100 * time.Millisecond)
		next, ok := findAssigned(sc.Submit(now, testRequest(now, 10+i)))
		require.True(t, ok)
		assert.NotEqual(t, decision.Server.ID, next.Server.ID)
		sc.Finish(now, next.Ticket, message.Succeeded, time.Millisecond, 0)
	}
	restarted := testServers(2)
	for i := range restarted {
		restarted[i].Incarnation++
	}
	sc.SetServers(now, restarted)
	assert.True(t, sc.find(decision.Server.ID).freeCapacity(now) > 0, "a new incarnation of the server gets requests again")
}

// TestDownServerGetsNoRequests checks that a refused connection from one VM keeps the requests of all VMs from the server.
func TestDownServerGetsNoRequests(t *testing.T) {
	now := startTime()
	sc := newScheduler(now, testServers(2)...)
	decision, ok := findAssigned(sc.Submit(now, testRequest(now, 1)))
	require.True(t, ok)
	sc.Finish(now, decision.Ticket, message.ConnectionRefused, time.Millisecond, 0)
	for i := range 9 {
		now = now.Add(100 * time.Millisecond)
		r := testRequest(now, 10+i)
		r.Key.From = "other"
		next, ok := findAssigned(sc.Submit(now, r))
		require.True(t, ok)
		assert.NotEqual(t, decision.Server.ID, next.Server.ID)
		sc.Finish(now, next.Ticket, message.Succeeded, time.Millisecond, 0)
	}
	assert.Zero(t, sc.find(decision.Server.ID).freeCapacity(now))
	assert.Positive(t, sc.find(decision.Server.ID).freeCapacity(now.Add(downBackoff)))
}

// TestUnreachableAttemptDoesNotCountAsUse checks that an attempt that did not reach the server neither counts as use nor makes
// the server unhealthy. Otherwise a healthy server that some VMs cannot reach would stay idle, because the scheduler would not
// give it requests of other VMs to keep it in use.
func TestUnreachableAttemptDoesNotCountAsUse(t *testing.T) {
	now := startTime()
	sc := newScheduler(now, testServers(1)...)
	decision, ok := findAssigned(sc.Submit(now, testRequest(now, 1)))
	require.True(t, ok)
	now = now.Add(time.Millisecond)
	sc.Finish(now, decision.Ticket, message.Succeeded, time.Millisecond, 0)
	lastUse := sc.servers[0].lastRequestStart
	now = now.Add(3 * time.Second)
	decision, ok = findAssigned(sc.Submit(now, testRequest(now, 2)))
	require.True(t, ok)
	now = now.Add(250 * time.Millisecond)
	sc.Finish(now, decision.Ticket, message.Unreachable, time.Millisecond, 0)
	assert.Equal(t, lastUse, sc.servers[0].lastRequestStart)
	assert.True(t, sc.servers[0].healthy(now, healthyAfter))
	assert.False(t, sc.servers[0].reachableFrom("vm", now))
}

func TestStateReportsProbabilities(t *testing.T) {
	now := startTime()
	sc := newScheduler(now, testServers(2)...)
	failedAttempt, _ := findAssigned(sc.Submit(now, testRequest(now, 1)))
	shedAttempt, _ := findAssigned(sc.Submit(now, testRequest(now, 2)))
	sc.Finish(now, failedAttempt.Ticket, message.Failed, time.Millisecond, 0)
	sc.Finish(now, shedAttempt.Ticket, message.Shed, time.Millisecond, 0)
	state := sc.State(now.Add(time.Second))
	require.Len(t, state.Servers, 2)
	failed, shed := state.Servers[0], state.Servers[1]
	if failed.ID != failedAttempt.Server.ID {
		failed, shed = shed, failed
	}
	assert.Equal(t, time.Second, failed.SinceFailure)
	assert.Zero(t, shed.SinceFailure)
	assert.Less(t, failed.Answers, shed.Answers)
	assert.Less(t, shed.Takes, failed.Takes)
	assert.Zero(t, state.Running)
}

func TestUnreachableServerIsAvoidedForThatVMOnly(t *testing.T) {
	now := startTime()
	sc := newScheduler(now, testServers(2)...)
	decision, ok := findAssigned(sc.Submit(now, testRequest(now, 1)))
	require.True(t, ok)
	sc.Finish(now, decision.Ticket, message.Unreachable, time.Millisecond, 0)
	s := sc.find(decision.Server.ID)
	assert.False(t, s.reachableFrom("vm", now))
	assert.True(t, s.reachableFrom("other", now))
	assert.True(t, s.reachableFrom("vm", now.Add(unreachableBackoff)))
}

// TestColdServersStayWithinTheirRate sends more requests than a cold server may get, and counts the starts in every second.
func TestColdServersStayWithinTheirRate(t *testing.T) {
	const rate = 7.3
	now := startTime()
	cold := testServers(1)
	cold[0].ColdUntil, cold[0].ColdRate = now.Add(5*time.Second), rate
	sc := newScheduler(now, cold...)
	random := rand.New(rand.NewPCG(5, 6))
	var starts []time.Time
	for i := range 3000 {
		now = now.Add(time.Duration(random.IntN(3)) * time.Millisecond)
		r := testRequest(now, i)
		if decision, ok := findAssigned(sc.Submit(now, r)); ok {
			starts = append(starts, now)
			sc.Finish(now, decision.Ticket, message.Succeeded, time.Millisecond, 0)
		}
		if decision, ok := findAssigned(sc.Tick(now)); ok {
			starts = append(starts, now)
			sc.Finish(now, decision.Ticket, message.Succeeded, time.Millisecond, 0)
		}
	}
	require.NotEmpty(t, starts)
	for i := range starts {
		n := 0
		for j := i; j < len(starts) && starts[j].Sub(starts[i]) < time.Second; j++ {
			n++
		}
		assert.LessOrEqual(t, float64(n), rate)
	}
}

// TestMostHealthyServersStayInUse simulates a busy service and checks windows of 2 s. A server is healthy if it did not fail
// in the window or in the 2 s before. At least 0.7 of the healthy servers must have received a request in the window.
func TestMostHealthyServersStayInUse(t *testing.T) {
	w := workload{servers: 16, requestRate: 60, serviceTime: 200 * time.Millisecond, grayRate: 0.11, recoveryRate: 0.26, grayFailureRate: 0.75, deadline: 2 * time.Second, duration: 60 * time.Second}
	used := map[int][]time.Time{}
	failed := map[int][]time.Time{}
	simulate(w, 3, func(sim *simulation) placer {
		return recordingPlacer{placer: newSchedulerPlacer(sim), used: used, failed: failed}
	})
	anyWithin := func(times []time.Time, from, to time.Time) bool {
		for _, at := range times {
			if !at.Before(from) && at.Before(to) {
				return true
			}
		}
		return false
	}
	for at := 4 * time.Second; at < w.duration; at += 100 * time.Millisecond {
		from, to := startTime().Add(at-2*time.Second), startTime().Add(at)
		healthy, inUse := 0, 0
		for i := range w.servers {
			if anyWithin(failed[i], from.Add(-2*time.Second), to) {
				continue
			}
			healthy++
			if anyWithin(used[i], from, to) {
				inUse++
			}
		}
		assert.GreaterOrEqual(t, float64(inUse), 0.7*float64(healthy), "%d of %d healthy servers in use at %s", inUse, healthy, at)
	}
}

// recordingPlacer records when each server got requests and when they failed.
type recordingPlacer struct {
	placer
	used, failed map[int][]time.Time
}

func (rp recordingPlacer) record(now time.Time, placements []placement) []placement {
	for _, p := range placements {
		if p.server >= 0 {
			rp.used[p.server] = append(rp.used[p.server], now)
		}
	}
	return placements
}

func (rp recordingPlacer) submit(now time.Time, id int, idempotent bool, tried []azuretiller.InstanceID, deadline time.Time) []placement {
	return rp.record(now, rp.placer.submit(now, id, idempotent, tried, deadline))
}

func (rp recordingPlacer) finish(now time.Time, p placement, result message.Result, took time.Duration) []placement {
	if result != message.Succeeded {
		rp.failed[p.server] = append(rp.failed[p.server], now)
	}
	return rp.record(now, rp.placer.finish(now, p, result, took))
}

func (rp recordingPlacer) tick(now time.Time) []placement { return rp.record(now, rp.placer.tick(now)) }

// TestRandomEvents sends random events to a scheduler. Its invariants must hold, and all slots must be free at the end.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 9))
		now := startTime()
		sc := newScheduler(now, testServers(5)...)
		running := map[message.TicketID]bool{}
		addTickets := func(decisions []Decision) {
			for _, decision := range decisions {
				if decision.Ticket != 0 {
					running[decision.Ticket] = true
				}
			}
		}
		for i := range 600 {
			now = now.Add(time.Duration(random.IntN(30)) * time.Millisecond)
			switch random.IntN(8) {
			case 0, 1, 2:
				r := testRequest(now, i)
				r.Key.From = fmt.Sprint("vm-", random.IntN(3))
				r.Idempotent, r.PreviouslySent, r.Priority = random.IntN(2) == 0, random.IntN(5) == 0, random.IntN(3)
				addTickets(sc.Submit(now, r))
			case 3, 4:
				for ticket := range running {
					delete(running, ticket)
					decisions, _ := sc.Finish(now, ticket, message.Result(1+random.IntN(9)), time.Duration(random.IntN(500))*time.Millisecond, 100)
					addTickets(decisions)
					break
				}
			case 5:
				addTickets(sc.Tick(now))
			case 6:
				servers := testServers(3 + random.IntN(4))
				for j := range servers {
					servers[j].Closed = random.IntN(5) == 0
					if random.IntN(4) == 0 {
						servers[j].ColdUntil, servers[j].ColdRate = now.Add(time.Second), 4
					}
				}
				addTickets(sc.SetServers(now, servers))
			case 7:
				if random.IntN(10) == 0 {
					addTickets(sc.RemoveVM(now, "vm-1"))
				}
			}
		}
		now = now.Add(10 * time.Second)
		sc.Tick(now)
		assert.Empty(t, sc.running, "seed %d", seed)
		for _, s := range sc.servers {
			assert.Zero(t, s.busy, "seed %d: server %s", seed, s.ID)
		}
	}
}
