package tokenbucket

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// bucket holds millitokens.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens since the last refill at a rate in millitokens per second, up to a capacity.
func (b *bucket) refill(now time.Time, rate, capacity float64) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens += rate * elapsed.Seconds()
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, capacity)
}

// take takes a token if there is one.
func (b *bucket) take() bool {
	if b.tokens < float64(azuretiller.TokenCost) {
		return false
	}
	b.tokens -= float64(azuretiller.TokenCost)
	return true
}
