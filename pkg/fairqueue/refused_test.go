package fairqueue_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/azuretiller/azuretiller/pkg/fairqueue"
)

type refusedItem struct{ flow, subqueue int }

// TestRefusedItemsAreFollowedInFairOrder guards against an order in which a request gets a slot before others only because the first one was
// refused: the items that Pop offers are those that come first once the subqueues before them are empty.
func TestRefusedItemsAreFollowedInFairOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		q := fairqueue.New[int, int, refusedItem]()
		for range rapid.IntRange(1, 60).Draw(t, "operations") {
			if rapid.Bool().Draw(t, "pop") {
				cost := float64(rapid.IntRange(1, 20).Draw(t, "cost"))
				q.Pop(func(refusedItem) (float64, bool) { return cost, true })
				continue
			}
			i := refusedItem{flow: rapid.IntRange(0, 4).Draw(t, "flow"), subqueue: rapid.IntRange(0, 2).Draw(t, "subqueue")}
			q.Push(i.flow, 1+i.flow%3, i.subqueue, i)
		}
		offered := func() []refusedItem {
			var items []refusedItem
			length := q.Len()
			_, ok := q.Pop(func(i refusedItem) (float64, bool) {
				items = append(items, i)
				return 0, false
			})
			require.False(t, ok)
			require.Equal(t, length, q.Len())
			return items
		}
		for items := offered(); len(items) > 0; items = items[1:] {
			require.Equal(t, items[0], offered()[0])
			q.Remove(func(i refusedItem) bool { return i == items[0] })
		}
		require.Zero(t, q.Len())
	})
}
