package tokenbucket

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// maxWait bounds the wait that Take returns, which would be long for a team with a very low rate.
const maxWait = 5 * time.Second

// Limit is the rate of a team in millitokens per second, and its burst in millitokens.
type Limit struct {
	Rate  azuretiller.Millitokens
	Burst azuretiller.Millitokens
}

// Limiter holds one token bucket for each team.
type Limiter struct {
	initial func(azuretiller.TeamID, Limit) azuretiller.Millitokens
	buckets map[azuretiller.TeamID]*bucket
}

type bucket struct {
	tokens     azuretiller.Millitokens
	refilledAt time.Time
}

// New returns a Limiter. The function initial returns the tokens in the bucket of a team at its first request.
func New(initial func(azuretiller.TeamID, Limit) azuretiller.Millitokens) *Limiter {
	return &Limiter{initial: initial, buckets: map[azuretiller.TeamID]*bucket{}}
}

// Take takes a token for one request, or returns the time until one is available. A team whose rate is not positive has no
// limit.
func (l *Limiter) Take(now time.Time, team azuretiller.TeamID, limit Limit) (time.Duration, bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	b := l.buckets[team]
	if b == nil {
		b = &bucket{tokens: l.initial(team, limit), refilledAt: now}
		l.buckets[team] = b
	}
	b.refill(now, limit)
	if b.tokens >= azuretiller.TokenCost {
		b.tokens -= azuretiller.TokenCost
		return 0, true
	}
	missing := azuretiller.TokenCost - b.tokens
	return min(time.Duration(float64(missing)/float64(limit.Rate)*float64(time.Second)), maxWait), false
}

// Refund puts back the token of a request that was refused after Take.
func (l *Limiter) Refund(team azuretiller.TeamID) {
	if b := l.buckets[team]; b != nil {
		b.tokens += azuretiller.TokenCost
	}
}

func (b *bucket) refill(now time.Time, limit Limit) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens += azuretiller.Millitokens(float64(limit.Rate) * elapsed.Seconds())
		b.refilledAt = now
	}
	// A bucket holds at least one token, because Take would never succeed with a smaller one.
	b.tokens = min(b.tokens, max(limit.Burst, azuretiller.TokenCost))
}
