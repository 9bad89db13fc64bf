package tokenbucket

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// Available is what Take would find for a team now.
type Available struct {
	// Limited is false if the team has no limit.
	Limited bool
	// Tokens and Tolerance are in tokens, and PerSecond is the part of the rate that belongs to the share.
	Tokens, Tolerance, PerSecond float64
	// Wait is the time until a token is available, 0 if there is one.
	Wait time.Duration
}

// Peek returns what Take would find, without taking a token and without refilling the buckets.
func (l *Limiter) Peek(now time.Time, id azuretiller.TeamID) Available {
	t := l.teams[id]
	if t == nil {
		return Available{}
	}
	probe := &Limiter{
		share: l.share, tolerance: l.tolerance, tolerancePart: l.tolerancePart, keptUntil: l.keptUntil,
		teams: map[azuretiller.TeamID]*team{id: {limit: t.limit, rate: t.rate, tolerance: t.tolerance}},
	}
	probe.refill(now, probe.teams[id])
	a := Available{
		Limited:   true,
		Tokens:    probe.teams[id].rate.tokens / float64(azuretiller.TokenCost),
		Tolerance: probe.teams[id].tolerance.tokens / float64(azuretiller.TokenCost),
		PerSecond: l.share.Of(float64(t.limit.Rate)) / float64(azuretiller.TokenCost),
	}
	a.Wait, _ = probe.Take(now, id)
	return a
}
