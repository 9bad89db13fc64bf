package meter

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// maxWait is the longest wait that Spend returns, for teams with a very low rate.
const maxWait = 5 * time.Second

// Limit is the rate of a team in millitokens per second, and its burst in millitokens.
type Limit struct {
	Rate  azuretiller.Millitokens
	Burst azuretiller.Millitokens
}

// Meter holds one token bucket for each team.
type Meter struct {
	initial func(azuretiller.TeamID, Limit) azuretiller.Millitokens
	buckets map[azuretiller.TeamID]*bucket
}

type bucket struct {
	tokens     azuretiller.Millitokens
	refilledAt time.Time
}

// New returns a meter. The function initial returns the tokens in the bucket of a team at its first request.
func New(initial func(azuretiller.TeamID, Limit) azuretiller.Millitokens) *Meter {
	return &Meter{initial: initial, buckets: map[azuretiller.TeamID]*bucket{}}
}

// Spend takes a token for one request, or returns the time until one is available. A team whose rate is not positive has no
// limit.
func (m *Meter) Spend(now time.Time, team azuretiller.TeamID, limit Limit) (time.Duration, bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	b := m.buckets[team]
	if b == nil {
		b = &bucket{tokens: m.initial(team, limit), refilledAt: now}
		m.buckets[team] = b
	}
	b.refill(now, limit)
	if b.tokens >= azuretiller.TokenCost {
		b.tokens -= azuretiller.TokenCost
		return 0, true
	}
	missing := azuretiller.TokenCost - b.tokens
	return min(time.Duration(float64(missing)/float64(limit.Rate)*float64(time.Second)), maxWait), false
}

// Refund puts back the token of a request that was refused after Spend.
func (m *Meter) Refund(team azuretiller.TeamID) {
	if b := m.buckets[team]; b != nil {
		b.tokens += azuretiller.TokenCost
	}
}

func (b *bucket) refill(now time.Time, limit Limit) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens += azuretiller.Millitokens(float64(limit.Rate) * elapsed.Seconds())
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, max(limit.Burst, azuretiller.TokenCost))
}
