package tokenbucket

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

const (
	// maxWait bounds the wait that Take returns, which would be long for a team with a very low rate.
	maxWait = 5 * time.Second
	// toleranceWindows is the number of windows in which an empty bucket of the tolerance is refilled. Within one window, teams exceed their rates
	// by a full bucket and the third part of another.
	toleranceWindows = 3
	// keepTime is how long the VMs of a former leader take at most to join its successor.
	keepTime = time.Second
)

// Limit is the rate of a team in millitokens per second, and its burst in millitokens.
type Limit struct {
	Rate  azuretiller.Millitokens
	Burst azuretiller.Millitokens
}

// Limiter spends a share of the rates of all teams, which changes over time. It holds one token bucket for each team with a limit.
//
// A share that is added starts without tokens: whoever held it before may have spent them. A share that is taken away takes its part
// of each bucket with it. So the buckets of all limiters together never hold more than the burst of a team, and get no more than its
// rate, as long as their shares add up to one.
type Limiter struct {
	share azuretiller.RateShare
	// unspent holds the shares that start with full buckets: of the rates if nobody has held them before, and of the tolerance if nobody has used
	// it lately.
	unspent Unspent
	// tolerancePart is the part of the tolerance for exceeding the rates that TakeTolerance may spend.
	tolerance     Tolerance
	tolerancePart float64
	// keptUntil is until when tokens of another limiter may exceed the capacity.
	keptUntil time.Time
	teams     map[azuretiller.TeamID]*team
}

// Unspent holds shares of the rates and of the tolerance for exceeding them whose tokens have not been spent.
type Unspent struct{ Rates, Tolerance azuretiller.RateShare }

// team is the state of one team with a limit.
type team struct {
	limit Limit
	// rate holds the tokens of the team's rate, and tolerance those for exceeding it.
	rate, tolerance bucket
}

// New returns a Limiter that has no share and no teams yet.
func New(unspent Unspent) *Limiter {
	return &Limiter{unspent: unspent, teams: map[azuretiller.TeamID]*team{}}
}

// SetTolerance sets by how much teams may exceed their rates, and the part of it that TakeTolerance may spend within a window.
func (l *Limiter) SetTolerance(t Tolerance, part float64) { l.tolerance, l.tolerancePart = t, part }

// SetLimits replaces the limits of all teams. A team whose rate is not positive has no limit.
func (l *Limiter) SetLimits(now time.Time, limits map[azuretiller.TeamID]Limit) {
	for id, t := range l.teams {
		if limits[id].Rate <= 0 {
			delete(l.teams, id)
			continue
		}
		l.refill(now, t)
	}
	for id, limit := range limits {
		if limit.Rate <= 0 {
			continue
		}
		if l.teams[id] == nil {
			l.teams[id] = &team{rate: bucket{refilledAt: now}, tolerance: bucket{refilledAt: now}}
		}
		l.teams[id].limit = limit
	}
	l.startUnspent(l.share)
}

// Share returns the share of the rates that the limiter spends.
func (l *Limiter) Share() azuretiller.RateShare { return l.share }

// SetShare sets the share of the rates that the limiter spends.
func (l *Limiter) SetShare(now time.Time, share azuretiller.RateShare) {
	if share == l.share {
		return
	}
	for _, t := range l.teams {
		l.refill(now, t)
	}
	l.startUnspent(share - l.share)
	l.share = share
}

// startUnspent fills the buckets for a share that was added, as far as its tokens have not been spent.
func (l *Limiter) startUnspent(added azuretiller.RateShare) {
	if len(l.teams) == 0 {
		return
	}
	rates, tolerance := max(min(added, l.unspent.Rates), 0), max(min(added, l.unspent.Tolerance), 0)
	l.unspent.Rates -= rates
	l.unspent.Tolerance -= tolerance
	for _, t := range l.teams {
		t.rate.tokens += rates.Of(float64(t.limit.Burst))
		t.tolerance.tokens += tolerance.Of(l.toleranceOf(t))
	}
}

// Tokens returns the tokens of all teams. They are unspent if the limiter is not used any more.
func (l *Limiter) Tokens(now time.Time) map[azuretiller.TeamID]azuretiller.Millitokens {
	tokens := map[azuretiller.TeamID]azuretiller.Millitokens{}
	for id, t := range l.teams {
		l.refill(now, t)
		tokens[id] = azuretiller.Millitokens(t.rate.tokens)
	}
	return tokens
}

// AddTokens adds tokens that another limiter left unspent. For keepTime they may exceed the capacity for the share, since the share of the other
// limiter follows them.
func (l *Limiter) AddTokens(now time.Time, tokens map[azuretiller.TeamID]azuretiller.Millitokens) {
	l.keptUntil = now.Add(keepTime)
	for id, t := range l.teams {
		l.refill(now, t)
		t.rate.tokens += min(float64(tokens[id]), float64(t.limit.Burst))
	}
}

// Take takes a token for one request, or returns the time until one is available.
func (l *Limiter) Take(now time.Time, id azuretiller.TeamID) (time.Duration, bool) {
	t := l.teams[id]
	if t == nil {
		return 0, true
	}
	l.refill(now, t)
	if t.rate.take() {
		return 0, true
	}
	rate := l.share.Of(float64(t.limit.Rate))
	missing := float64(azuretiller.TokenCost) - t.rate.tokens
	if missing >= rate*maxWait.Seconds() {
		return maxWait, false
	}
	return time.Duration(missing / rate * float64(time.Second)), false
}

// TakeTolerance takes a token for a request that exceeds the rate, and reports whether there was one.
func (l *Limiter) TakeTolerance(now time.Time, id azuretiller.TeamID) bool {
	t := l.teams[id]
	if t == nil {
		return true
	}
	l.refill(now, t)
	return t.tolerance.take()
}

// Refund puts back the token of a request that was refused after Take.
func (l *Limiter) Refund(id azuretiller.TeamID) {
	if t := l.teams[id]; t != nil {
		t.rate.tokens += float64(azuretiller.TokenCost)
	}
}

// refill adds the tokens since the last refill, and drops those that exceed the part of the buckets that belongs to the share.
func (l *Limiter) refill(now time.Time, t *team) {
	capacity := l.capacity(float64(t.limit.Burst))
	if now.Before(l.keptUntil) {
		capacity = max(capacity, t.rate.tokens)
	}
	t.rate.refill(now, l.share.Of(float64(t.limit.Rate)), capacity)
	if l.tolerance.Window <= 0 {
		return
	}
	tolerance := l.share.Of(l.toleranceOf(t))
	t.tolerance.refill(now, tolerance/(toleranceWindows*l.tolerance.Window.Seconds()), tolerance)
}

// toleranceOf returns the millitokens for exceeding the rate of a team within a window.
func (l *Limiter) toleranceOf(t *team) float64 { return l.tolerancePart * l.tolerance.Of(t.limit) }

// capacity returns the millitokens of a team's rate that the limiter holds at most. With any share this is at least one token, because Take
// would never succeed with less.
func (l *Limiter) capacity(burst float64) float64 {
	if l.share <= 0 {
		return 0
	}
	return max(l.share.Of(burst), float64(azuretiller.TokenCost))
}
