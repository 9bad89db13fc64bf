package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// usageRecorder records when each server got its requests and when it failed one.
type usageRecorder struct {
	placer
	starts, failures map[int][]time.Time
}

func (r *usageRecorder) submit(now time.Time, id int, idempotent bool, tried []azuretiller.InstanceID, deadline time.Time) []placement {
	return r.record(now, r.placer.submit(now, id, idempotent, tried, deadline))
}

func (r *usageRecorder) finish(now time.Time, p placement, result message.Result, took time.Duration) []placement {
	if result != message.Succeeded {
		r.failures[p.server] = append(r.failures[p.server], now)
	}
	return r.record(now, r.placer.finish(now, p, result, took))
}

func (r *usageRecorder) tick(now time.Time) []placement { return r.record(now, r.placer.tick(now)) }

func (r *usageRecorder) record(now time.Time, placements []placement) []placement {
	for _, p := range placements {
		if p.server >= 0 {
			r.starts[p.server] = append(r.starts[p.server], now)
		}
	}
	return placements
}

// usedShare returns the share of the servers without a failure between from-recoveredAfter and to that got a request between from and to.
func (r *usageRecorder) usedShare(servers int, from, to time.Time) float64 {
	sound, used := 0, 0
	for s := range servers {
		if containsBetween(r.failures[s], from.Add(-recoveredAfter), to) {
			continue
		}
		sound++
		if containsBetween(r.starts[s], from, to) {
			used++
		}
	}
	return float64(used) / float64(max(sound, 1))
}

func containsBetween(times []time.Time, from, to time.Time) bool {
	for _, t := range times {
		if !t.Before(from) && t.Before(to) {
			return true
		}
	}
	return false
}

// TestRecoveredServersStayInUse guards against healthy servers that get no requests for 2 s because they failed some seconds before, while
// gray servers fail a part of the requests. The operators require that 0.7 of the servers without a failure for 2 s stay in use.
func TestRecoveredServersStayInUse(t *testing.T) {
	const window, requiredShare = 2 * time.Second, 0.7
	for _, w := range []workload{
		{servers: 120, requestRate: 150, serviceTime: 400 * time.Millisecond},
		{servers: 16, requestRate: 60, serviceTime: 200 * time.Millisecond},
	} {
		w.grayRate, w.recoveryRate, w.grayFailureRate, w.deadline, w.duration = 0.11, 0.26, 0.75, 4*time.Second, 30*time.Second
		worst, below, windows := 1.0, 0, 0
		for seed := range uint64(5) {
			r := &usageRecorder{starts: map[int][]time.Time{}, failures: map[int][]time.Time{}}
			simulate(w, seed, func(sim *simulation) placer {
				r.placer = newSchedulerPlacer(sim)
				return r
			})
			for at := 5 * time.Second; at+window <= w.duration; at += window / 4 {
				share := r.usedShare(w.servers, startTime().Add(at), startTime().Add(at+window))
				windows++
				worst = min(worst, share)
				if share < requiredShare {
					below++
				}
			}
		}
		t.Logf("%d servers: least share in use %.2f, %d of %d windows below %.1f", w.servers, worst, below, windows, requiredShare)
		assert.Zero(t, below)
	}
}
