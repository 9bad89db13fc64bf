package edge

import (
	"time"

	"github.com/azuretiller/azuretiller/platform"
)

const (
	// maxAddressTTL is the longest time for which callers are told to cache an address response.
	maxAddressTTL = 1300 * time.Millisecond
	// minAddressTTL is the shortest such time. It bounds the rate of the lookups.
	minAddressTTL = 200 * time.Millisecond
	// cacheFactor is how many times the TTL some callers keep a response.
	cacheFactor = 3
	// announceTime is the time from the start of a graceful stop until the other VMs no longer name the VM.
	announceTime = 300 * time.Millisecond
)

// addressTTL returns how long callers may cache an address response. Responses that name a leaving VM expire while it still accepts
// requests, even at callers that keep them longer.
func addressTTL(b platform.Bounds) time.Duration {
	ttl := maxAddressTTL
	if b.Grace > 0 {
		ttl = min(ttl, max(minAddressTTL, (acceptTime(b.Grace)-announceTime)/cacheFactor))
	}
	if b.MaxTTL > 0 {
		ttl = min(ttl, b.MaxTTL)
	}
	return ttl
}
