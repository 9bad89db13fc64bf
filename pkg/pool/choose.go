package pool

import (
	"math"
	"time"

	"github.com/azuretiller/azuretiller"
)

func (p *Pool) pickFree(now time.Time) []*server {
	if now.Before(p.heldUntil) {
		return nil
	}
	var free []*server
	for _, s := range p.servers {
		if s.room(now) > 0 {
			free = append(free, s)
		}
	}
	return free
}

// choose picks the server for a request. A suspected server is given idempotent requests first, because the evidence
// that ejects or clears it costs the same number of requests whenever they come; requests that may run only once keep away from it.
// Among equals the one that has waited longest for work is taken, so that no server goes untested for long by chance.
func (p *Pool) choose(now time.Time, free []*server, r *request) *server {
	first := len(r.tried) == 0
	var best *server
	bestScore := math.Inf(1)
	for _, s := range free {
		if r.triedOn(s) || s.phase == onTrial && !p.mayTry(now, s, r) {
			continue
		}
		score := p.score(s, r, first)
		if score < bestScore || score == bestScore && s.lastStart < best.lastStart {
			best = s
			bestScore = score
		}
	}
	return best
}

// mayTry reports whether a request may be used for a trial: one that can be retried or, when none came for long, any.
func (p *Pool) mayTry(now time.Time, s *server, r *request) bool {
	if r.ticket.Idempotent && len(r.tried) == 0 && r.ticket.Retries > 0 {
		return true
	}
	return now.Sub(s.until) > trialPatience
}

func (p *Pool) score(s *server, r *request, first bool) float64 {
	load := float64(s.taken()) / float64(max(s.ramp.Size(), 1))
	suspicion := p.detector.Suspicion(s.index)
	if s.phase == onTrial {
		return -1
	}
	if suspicion < suspect {
		return load
	}
	verify := r.ticket.Idempotent && first && r.ticket.Retries > 0 && s.busy < verifying
	if _, convicted := p.detector.Convicted(s.index); verify && !convicted {
		return load - 1
	}
	return load + 10*suspicion
}

func (p *Pool) isHeavy(route azuretiller.RouteID) bool {
	t, ok := p.slotTime[route]
	return ok && p.usual > 0 && t > heavyFactor*p.usual
}

func (p *Pool) heavyLimit() int {
	slots := 0
	for _, s := range p.servers {
		if s.usable() {
			slots += s.ramp.Size()
		}
	}
	return max(1, int(float64(slots)*heavyShare))
}
