package timeheap

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestEarliest compares the heap with a map, for any order of its calls.
func TestEarliest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, want := New[int](), map[int]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			item := rapid.IntRange(0, 9).Draw(t, "item")
			if rapid.Bool().Draw(t, "set") {
				want[item] = time.Unix(int64(rapid.IntRange(0, 99).Draw(t, "time")), 0)
				h.Set(item, want[item])
			} else {
				_, found := want[item]
				require.Equal(t, found, h.Remove(item))
				delete(want, item)
			}
			require.Equal(t, len(want), h.Len())
			earliest, at, ok := h.Earliest()
			require.Equal(t, len(want) > 0, ok)
			if !ok {
				continue
			}
			require.Equal(t, want[earliest], at)
			for _, other := range want {
				require.False(t, other.Before(at))
			}
		}
	})
}
