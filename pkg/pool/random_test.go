package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/pool"
)

// TestRandomFaults drives a pool through faults that overlap and repeat. The pool asserts by itself that slots and the
// floor hold and that nothing runs twice; the test asserts what callers were told.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 6).Draw(t, "servers")
		s := newSim(rapid.Uint64().Draw(t, "seed"), count)
		offered, ended := 0, 0
		s.done = func(o *order, ok bool, code azuretiller.Code) {
			ended++
			require.False(t, !o.idempotent && o.runs > 1, "a request that may run only once ran %d times", o.runs)
			require.False(t, ok && o.runs == 0, "an answer without a run")
			require.False(t, !ok && code.Outcome() == azuretiller.NotRun && !o.idempotent && o.runs > 0, "refused as not run after %d runs", o.runs)
		}
		service, servers := rules(count)
		pick := func(t *rapid.T) *fakeServer {
			return s.servers[servers[rapid.IntRange(0, count-1).Draw(t, "server")].ID]
		}
		t.Repeat(map[string]func(*rapid.T){
			"traffic": func(t *rapid.T) {
				lookup := s.lookups(4, 0.3, 0.7)
				rate := rapid.SampledFrom([]float64{5, 50, 400}).Draw(t, "rate")
				span := time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond
				s.arrivals(rate, s.Now().Add(span), func() *order {
					offered++
					o := lookup()
					o.readOnly = o.idempotent && offered%3 > 0
					return o
				})
				s.Run(span)
			},
			"fail":    func(t *rapid.T) { pick(t).fail = rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "fail") },
			"slow":    func(t *rapid.T) { pick(t).slow = rapid.SampledFrom([]float64{0, 10, 200}).Draw(t, "slow") },
			"die":     func(t *rapid.T) { pick(t).dead = true },
			"revive":  func(t *rapid.T) { pick(t).dead = false },
			"chill":   func(t *rapid.T) { pick(t).warmth = 0 },
			"cancel":  func(t *rapid.T) { cancelOne(t, s) },
			"wait":    func(t *rapid.T) { s.Run(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second) },
			"replace": func(t *rapid.T) { replaceServers(t, s, count) },
			"hand over": func(t *rapid.T) {
				s.handOver(service, servers, time.Duration(rapid.IntRange(0, 200).Draw(t, "ms"))*time.Millisecond)
			},
			"drain": func(t *rapid.T) {
				i := rapid.IntRange(0, count-1).Draw(t, "index")
				servers[i].Drain = !servers[i].Drain
				s.act(s.pool, s.pool.Configure(s.Now(), service, servers))
			},
		})
		s.Run(time.Minute)
		require.Equal(t, offered, ended+cancelled(s), "requests that were neither answered nor refused")
		for _, p := range s.pools {
			for _, r := range p.Report(s.Now()) {
				require.Zero(t, r.Busy, "slots of %s are taken for good", r.Server)
			}
		}
	})
}

// cancelOne lets the caller of a waiting request go away.
func cancelOne(t *rapid.T, s *sim) {
	if s.next == 0 {
		return
	}
	id := pool.TicketID(rapid.Uint64Range(1, uint64(s.next)).Draw(t, "ticket"))
	o, ok := s.orders[id]
	if !ok || o.runs > 0 || o.kind != 0 {
		return
	}
	s.cancelled[id] = true
	s.act(s.pool, s.pool.Cancel(s.Now(), id))
}

// cancelled counts the requests whose callers went away and that got no answer any more.
func cancelled(s *sim) int {
	n := 0
	for id := range s.cancelled {
		if _, ok := s.orders[id]; ok {
			n++
		}
	}
	return n
}

func replaceServers(t *rapid.T, s *sim, count int) {
	service, servers := rules(count)
	keep := rapid.IntRange(1, count).Draw(t, "keep")
	s.exact = false
	s.act(s.pool, s.pool.Configure(s.Now(), service, servers[:keep]))
	s.act(s.pool, s.pool.Configure(s.Now(), service, servers))
}
