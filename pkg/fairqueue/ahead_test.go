package fairqueue_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/azuretiller/azuretiller/pkg/fairqueue"
)

// TestAheadIsWhatIsServedBeforeANewItem guards against an estimate of the wait that counts items which the fair order serves later: it
// differs from what Pop serves first by at most one item of each subqueue.
func TestAheadIsWhatIsServedBeforeANewItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type item struct {
			subqueue int
			isNew    bool
		}
		const flows, subqueues = 3, 3
		costs := rapid.SliceOfN(rapid.Float64Range(0.05, 1), subqueues, subqueues).Draw(t, "costs")
		cost := func(s int) float64 { return costs[s] }
		admit := func(i item) (float64, bool) { return costs[i.subqueue], true }
		q := fairqueue.New[int, int, item]()
		flow, subqueue := rapid.IntRange(0, flows-1), rapid.IntRange(0, subqueues-1)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "pop") == 0 {
				q.Pop(admit)
				continue
			}
			s := subqueue.Draw(t, "subqueue")
			q.Push(flow.Draw(t, "flow"), 1, s, item{subqueue: s})
		}
		f, s := flow.Draw(t, "new flow"), subqueue.Draw(t, "new subqueue")
		ahead := q.Ahead(f, 1, s, cost)
		q.Push(f, 1, s, item{subqueue: s, isNew: true})
		served := 0.0
		for {
			i, ok := q.Pop(admit)
			if !ok || i.isNew {
				break
			}
			served += costs[i.subqueue]
		}
		assert.InDelta(t, served, ahead, flows*subqueues)
	})
}

// TestItemsOfOtherSubqueuesBeyondTheFairShareAreNotAhead guards against a short queue that seems as long as the longest one.
func TestItemsOfOtherSubqueuesBeyondTheFairShareAreNotAhead(t *testing.T) {
	q := fairqueue.New[string, string, int]()
	for i := range 100 {
		q.Push("team", 1, "uploads", i)
		q.Push("other", 1, "uploads", i)
	}
	cost := func(string) float64 { return 1 }
	assert.InDelta(t, 2, q.Ahead("team", 1, "reads", cost), 2)
	assert.InDelta(t, 200, q.Ahead("team", 1, "uploads", cost), 2)
}
