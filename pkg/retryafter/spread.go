package retryafter

import (
	"hash/fnv"
	"time"
)

const (
	// minSpread and maxSpread bound the time over which the callers that were refused together return. Capacity that becomes available
	// serves a burst of refused callers within tenths of a second.
	minSpread = 250 * time.Millisecond
	maxSpread = time.Second
)

// Spread returns a time between wait and twice that, by the id of the request: the same id always gives the same time.
func Spread(wait time.Duration, id string) time.Duration {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id))
	// The upper bits of the hash of a short id depend little on its last byte, so all bits are mixed.
	mixed := hash.Sum64()
	mixed = (mixed ^ mixed>>32) * 0x9e3779b97f4a7c15
	share := float64(mixed>>11) / (1 << 53)
	return wait + time.Duration(share*float64(min(max(wait, minSpread), maxSpread)))
}
