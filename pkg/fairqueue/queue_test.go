package fairqueue_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/azuretiller/azuretiller/pkg/fairqueue"
)

const teams = 26000

func admitAll(string) (float64, bool) { return 0.01, true }

// referenceQueue is a simple implementation of fair queueing. It serves the flow that received the least service for its
// weight since the queue was last empty. A new flow starts with minService, the least service of a queued flow at
// the last pop.
type referenceQueue struct {
	service    map[int]float64
	queued     map[int][]string
	order      []int
	minService float64
}

func (r *referenceQueue) push(flow int, item string) {
	if len(r.queued) == 0 {
		clear(r.service)
		r.order = nil
		r.minService = 0
	}
	if _, ok := r.service[flow]; !ok {
		r.service[flow] = r.minService
		r.order = append(r.order, flow)
	}
	r.queued[flow] = append(r.queued[flow], item)
}

func (r *referenceQueue) pop(weight func(int) float64, cost float64) string {
	best := -1
	for _, flow := range r.order {
		if len(r.queued[flow]) > 0 && (best < 0 || r.service[flow] < r.service[best]) {
			best = flow
		}
	}
	item := r.queued[best][0]
	r.queued[best] = r.queued[best][1:]
	if len(r.queued[best]) == 0 {
		delete(r.queued, best)
	}
	r.minService = max(r.minService, r.service[best])
	r.service[best] += cost / weight(best)
	// A flow without queued items that got no more than its share counts as new when it returns.
	if len(r.queued[best]) == 0 && r.service[best] <= r.minService {
		delete(r.service, best)
		r.order = slices.DeleteFunc(r.order, func(flow int) bool { return flow == best })
	}
	return item
}

// TestSameOrderAsReferenceQueue checks that Queue serves flows in the same order as the simple reference queue.
func TestSameOrderAsReferenceQueue(t *testing.T) {
	t.Parallel()
	weight := func(flow int) float64 { return float64(1 + flow%3) }
	rapid.Check(t, func(t *rapid.T) {
		q := fairqueue.New[int, int, string]()
		reference := &referenceQueue{service: map[int]float64{}, queued: map[int][]string{}}
		pushed := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				flow := rapid.IntRange(0, 4).Draw(t, "flow")
				pushed++
				item := fmt.Sprint(pushed)
				q.Push(flow, int(weight(flow)), 0, item)
				reference.push(flow, item)
			},
			"pop": func(t *rapid.T) {
				if q.Len() == 0 {
					t.Skip("the queue is empty")
				}
				cost := float64(rapid.SampledFrom([]int{6, 12, 60}).Draw(t, "cost"))
				got, ok := q.Pop(func(string) (float64, bool) { return cost, true })
				require.True(t, ok)
				require.Equal(t, reference.pop(weight, cost), got)
			},
		})
	})
}

// BenchmarkManyTeams measures one Push and Pop after as many teams as the scale target allows have each sent a request.
// Its time must not grow with the number of teams that were served before.
func BenchmarkManyTeams(b *testing.B) {
	q := fairqueue.New[int, int, string]()
	for i := range teams {
		q.Push(i, 1, 0, "request")
		q.Pop(admitAll)
	}
	i := 0
	for b.Loop() {
		i++
		q.Push(i%teams, 1, 0, "request")
		q.Pop(admitAll)
	}
}
