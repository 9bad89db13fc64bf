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

func takeOne(string) (float64, bool) { return 0.01, true }

// naive shares by always serving the flow that got the least for its weight since the queue was last empty, counting
// from what the least served waiting flow had when a flow came.
type naive struct {
	got     map[int]float64
	waiting map[int][]string
	order   []int
	floor   float64
}

func (n *naive) push(flow int, item string) {
	if len(n.waiting) == 0 {
		clear(n.got)
		n.order = nil
		n.floor = 0
	}
	if _, ok := n.got[flow]; !ok {
		n.got[flow] = n.floor
		n.order = append(n.order, flow)
	}
	n.waiting[flow] = append(n.waiting[flow], item)
}

func (n *naive) pop(weight func(int) float64, cost float64) string {
	best := -1
	for _, flow := range n.order {
		if len(n.waiting[flow]) > 0 && (best < 0 || n.got[flow] < n.got[best]) {
			best = flow
		}
	}
	item := n.waiting[best][0]
	n.waiting[best] = n.waiting[best][1:]
	if len(n.waiting[best]) == 0 {
		delete(n.waiting, best)
	}
	n.floor = max(n.floor, n.got[best])
	n.got[best] += cost / weight(best)
	// A flow that waits for nothing and owes nothing starts anew.
	if len(n.waiting[best]) == 0 && n.got[best] <= n.floor {
		delete(n.got, best)
		n.order = slices.DeleteFunc(n.order, func(flow int) bool { return flow == best })
	}
	return item
}

// TestLikeNaive compares the order of service with a version that is obviously fair.
func TestLikeNaive(t *testing.T) {
	t.Parallel()
	weight := func(flow int) float64 { return float64(1 + flow%3) }
	rapid.Check(t, func(t *rapid.T) {
		q := fairqueue.New[int, int, string]()
		n := &naive{got: map[int]float64{}, waiting: map[int][]string{}}
		pushed := 0
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				flow := rapid.IntRange(0, 4).Draw(t, "flow")
				pushed++
				item := fmt.Sprint(pushed)
				q.Push(flow, int(weight(flow)), 0, item)
				n.push(flow, item)
			},
			"pop": func(t *rapid.T) {
				if q.Len() == 0 {
					t.Skip("nothing waits")
				}
				cost := float64(rapid.SampledFrom([]int{6, 12, 60}).Draw(t, "cost"))
				got, ok := q.Pop(func(string) (float64, bool) { return cost, true })
				require.True(t, ok)
				require.Equal(t, n.pop(weight, cost), got)
			},
		})
	})
}

// BenchmarkManyTeams serves one request at a time after all teams of the target have sent one.
func BenchmarkManyTeams(b *testing.B) {
	q := fairqueue.New[int, int, string]()
	for i := range teams {
		q.Push(i, 1, 0, "request")
		q.Pop(takeOne)
	}
	i := 0
	for b.Loop() {
		i++
		q.Push(i%teams, 1, 0, "request")
		q.Pop(takeOne)
	}
}
