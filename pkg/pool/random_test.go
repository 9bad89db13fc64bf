package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/pool"
)

// TestRandomFaults runs a pool with overlapping and repeated faults. The invariant checks of the pool verify that the
// slots and the floor are respected and that no request that may run only once runs twice; the test verifies the results
// that callers get.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "servers")
		s := newSim(rapid.Uint64().Draw(t, "seed"), count)
		offered, ended := 0, 0
		s.onDone = func(req *simRequest, ok bool, code azuretiller.Code) {
			ended++
			require.False(t, !req.idempotent && req.runs > 1, "a request that may run only once ran %d times", req.runs)
			require.False(t, ok && req.runs == 0, "a request that never ran was answered with success")
			require.False(t, !ok && code.Outcome() == azuretiller.NotRun && !req.idempotent && req.runs > 0, "refused as not executed after %d runs", req.runs)
		}
		service, servers := serviceConfig(count)
		pick := func(t *rapid.T) *fakeServer {
			return s.servers[servers[rapid.IntRange(0, count-1).Draw(t, "server")].ID]
		}
		t.Repeat(map[string]func(*rapid.T){
			"traffic": func(t *rapid.T) {
				lookup := s.lookups(4, 0.3, 0.7)
				rate := rapid.SampledFrom([]float64{5, 50, 400}).Draw(t, "rate")
				duration := time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond
				s.arrivals(rate, s.Now().Add(duration), func() *simRequest {
					offered++
					req := lookup()
					req.readOnly = req.idempotent && offered%3 > 0
					return req
				})
				s.Run(duration)
			},
			"fail":    func(t *rapid.T) { pick(t).failureRate = rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "fail") },
			"slow":    func(t *rapid.T) { pick(t).slowFactor = rapid.SampledFrom([]float64{0, 10, 200}).Draw(t, "slow") },
			"die":     func(t *rapid.T) { pick(t).unreachable = true },
			"revive":  func(t *rapid.T) { pick(t).unreachable = false },
			"chill":   func(t *rapid.T) { pick(t).warmth = 0 },
			"cancel":  func(t *rapid.T) { cancelOne(t, s) },
			"wait":    func(t *rapid.T) { s.Run(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second) },
			"replace": func(t *rapid.T) { replaceServers(t, s, count) },
			"hand over": func(t *rapid.T) {
				s.handOver(service, servers, time.Duration(rapid.IntRange(0, 200).Draw(t, "ms"))*time.Millisecond)
			},
			"drain": func(t *rapid.T) {
				i := rapid.IntRange(0, count-1).Draw(t, "index")
				servers[i].Draining = !servers[i].Draining
				s.apply(s.pool, s.pool.Configure(s.Now(), service, servers))
			},
		})
		s.Run(time.Minute)
		require.Equal(t, offered, ended+cancelled(s), "some requests were neither answered nor refused")
		for _, p := range s.pools {
			for _, r := range p.Report(s.Now()) {
				require.Zero(t, r.Busy, "slots of %s were never freed", r.Server)
			}
		}
	})
}

// cancelOne cancels a waiting request that has not run yet.
func cancelOne(t *rapid.T, s *sim) {
	if s.lastID == 0 {
		return
	}
	id := pool.TicketID(rapid.Uint64Range(1, uint64(s.lastID)).Draw(t, "ticket"))
	req, ok := s.requests[id]
	if !ok || req.runs > 0 || req.kind != 0 {
		return
	}
	s.cancelled[id] = true
	s.apply(s.pool, s.pool.Cancel(s.Now(), id))
}

// cancelled counts the cancelled requests that got no result.
func cancelled(s *sim) int {
	n := 0
	for id := range s.cancelled {
		if _, ok := s.requests[id]; ok {
			n++
		}
	}
	return n
}

// replaceServers removes some servers and adds them again. A server that is added again counts no running requests although
// earlier ones may still run on it, so the simulation no longer enforces the slots.
func replaceServers(t *rapid.T, s *sim, count int) {
	service, servers := serviceConfig(count)
	keep := rapid.IntRange(1, count).Draw(t, "keep")
	s.enforceSlots = false
	s.apply(s.pool, s.pool.Configure(s.Now(), service, servers[:keep]))
	s.apply(s.pool, s.pool.Configure(s.Now(), service, servers))
}
