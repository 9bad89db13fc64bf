package retryafter

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestCallersAreSpread guards against callers that were refused at the same moment and return at the same moment.
func TestCallersAreSpread(t *testing.T) {
	for _, wait := range []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, 10 * time.Second} {
		const callers, parts = 10_000, 10
		span := min(max(wait, minSpread), maxSpread)
		var counts [parts]int
		for i := range callers {
			got := Spread(wait, strconv.Itoa(i))
			assert.Equal(t, got, Spread(wait, strconv.Itoa(i)))
			assert.GreaterOrEqual(t, got, wait)
			assert.Less(t, got, wait+span)
			counts[int(parts*float64(got-wait)/float64(span))]++
		}
		for _, n := range counts {
			// A uniform distribution has a standard deviation of 30.
			assert.InDelta(t, callers/parts, n, 150)
		}
	}
}
