package pool

import (
	"math"
	"time"

	"github.com/azuretiller/azuretiller"
)

// freeServers returns the servers that may run another request now. There are none while requests are held for a handover.
func (p *Pool) freeServers(now time.Time) []*server {
	if now.Before(p.heldUntil) {
		return nil
	}
	var free []*server
	for _, s := range p.servers {
		if s.freeSlots(now) > 0 {
			free = append(free, s)
		}
	}
	return free
}

// chooseServer picks the server for a request. Idempotent requests go to a suspected server first, because the number of
// requests that it takes to eject or clear the server is the same whenever they are sent. Requests that may run only
// once avoid suspected servers. Of servers with equal scores it picks the one that has gone longest without a new
// request, so that every server is tested regularly.
func (p *Pool) chooseServer(now time.Time, free []*server, r *requestState) *server {
	firstAttempt := len(r.tried) == 0
	var best *server
	bestScore := math.Inf(1)
	for _, s := range free {
		if r.triedOn(s) || s.phase == onTrial && !p.usableForTrial(now, s, r) {
			continue
		}
		score := p.score(s, r, firstAttempt)
		if score < bestScore || score == bestScore && s.lastStart < best.lastStart {
			best = s
			bestScore = score
		}
	}
	return best
}

// usableForTrial reports whether a request may be sent to a server on trial. Until trialFallbackDelay has passed, only
// the first attempt of a request that can be retried qualifies; then any request does.
func (p *Pool) usableForTrial(now time.Time, s *server, r *requestState) bool {
	if r.ticket.Idempotent && len(r.tried) == 0 && r.ticket.Retries > 0 {
		return true
	}
	return now.Sub(s.ejectedUntil) > trialFallbackDelay
}

// score rates a server for a request; chooseServer takes the server with the lowest score. The score is -1 for a server
// on trial, and otherwise the share of the server's limit that is in use. It is lowered for a suspected server that the request
// can test, and raised for one that the request should avoid.
func (p *Pool) score(s *server, r *requestState, firstAttempt bool) float64 {
	load := float64(s.usedSlots()) / float64(max(s.ramp.BaseLimit(), 1))
	suspicion := p.detector.Suspicion(s.index)
	if s.phase == onTrial {
		return -1
	}
	if suspicion < suspectThreshold {
		return load
	}
	verify := r.ticket.Idempotent && firstAttempt && r.ticket.Retries > 0 && s.busy < maxVerifications
	if _, eject := p.detector.ShouldEject(s.index); verify && !eject {
		return load - 1
	}
	return load + 10*suspicion
}

// isHeavy reports whether the requests of a route occupy a slot for much longer than those of the lightest route.
func (p *Pool) isHeavy(route azuretiller.RouteID) bool {
	t, ok := p.slotTime[route]
	return ok && p.lightestSlotTime > 0 && t > heavyFactor*p.lightestSlotTime
}

// heavyLimit returns how many requests of heavy routes may run at once.
func (p *Pool) heavyLimit() int {
	slots := 0
	for _, s := range p.servers {
		if s.usable() {
			slots += s.ramp.BaseLimit()
		}
	}
	return max(1, int(float64(slots)*heavyShare))
}
