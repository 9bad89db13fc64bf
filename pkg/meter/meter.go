package meter

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// longestWait is told to callers of a team without any rate.
const longestWait = 5 * time.Second

// Limit is the rate of a team in millitokens a second, and its burst.
type Limit struct {
	Rate  azuretiller.Millitokens
	Burst azuretiller.Millitokens
}

// Meter holds one token bucket for each team.
type Meter struct {
	start  func(azuretiller.TeamID, Limit) azuretiller.Millitokens
	levels map[azuretiller.TeamID]*level
}

type level struct {
	tokens azuretiller.Millitokens
	at     time.Time
}

// New returns a meter; start says how many tokens a team has at its first request.
func New(start func(azuretiller.TeamID, Limit) azuretiller.Millitokens) *Meter {
	return &Meter{start: start, levels: map[azuretiller.TeamID]*level{}}
}

// Spend takes the token of one request, or returns the time until there is one.
func (m *Meter) Spend(now time.Time, team azuretiller.TeamID, limit Limit) (time.Duration, bool) {
	if limit.Rate <= 0 {
		return 0, true
	}
	l := m.levels[team]
	if l == nil {
		l = &level{tokens: m.start(team, limit), at: now}
		m.levels[team] = l
	}
	l.refill(now, limit)
	if l.tokens >= azuretiller.TokenCost {
		l.tokens -= azuretiller.TokenCost
		return 0, true
	}
	missing := azuretiller.TokenCost - l.tokens
	return min(time.Duration(float64(missing)/float64(limit.Rate)*float64(time.Second)), longestWait), false
}

// Refund gives back the token of a request that was refused afterwards.
func (m *Meter) Refund(team azuretiller.TeamID) {
	if l := m.levels[team]; l != nil {
		l.tokens += azuretiller.TokenCost
	}
}

func (l *level) refill(now time.Time, limit Limit) {
	if span := now.Sub(l.at); span > 0 {
		l.tokens += azuretiller.Millitokens(float64(limit.Rate) * span.Seconds())
		l.at = now
	}
	l.tokens = min(l.tokens, max(limit.Burst, azuretiller.TokenCost))
}
