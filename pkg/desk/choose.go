package desk

import (
	"math"
	"slices"
	"time"
)

// choose returns the server for a request, or nil if it should wait.
//
// The load it answers: at any time a part of the servers is gray. Work goes to the servers that answered last, since
// what is known of the others has faded; a request that may run only once waits a little rather than go to a doubtful one.
func (d *Desk) choose(now time.Time, w *waiter) *server {
	spread := d.explores(now, w.Request) && d.spread(now)
	var best *server
	bestScore := math.Inf(-1)
	busiest := 0.0
	for _, s := range d.servers {
		if slices.Contains(w.Tried, s.ID) || !s.reachableFrom(w.Key.From, now) {
			continue
		}
		if s.room(now) <= 0 {
			if s.takesWork(now) {
				busiest = max(busiest, s.success(now))
			}
			continue
		}
		if score := d.score(now, s, w, spread); score > bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return nil
	}
	if !w.Idempotent && !spread && d.waiting() < mostMisses && now.Before(w.better) && best.success(now) < busiest-betterBy {
		return nil
	}
	return best
}

func (d *Desk) score(now time.Time, s *server, w *waiter, spread bool) float64 {
	failure, shed := 1-s.belief.SuccessProbability(now), 1-s.shedding.SuccessProbability(now)
	if !w.Repeat && d.retries.Remaining() > leastBudget {
		// What was turned away may always be sent to another server.
		shed *= secondChance
		if w.Idempotent {
			failure *= secondChance
		}
	}
	failure = 1 - (1-failure)*(1-shed)
	score := -failure - crowding*float64(s.busy)*failure
	score -= loadPenalty * float64(s.busy) / float64(max(s.Slots, 1))
	if s.Zone != w.Zone {
		score -= d.params.Crossing + d.params.CrossingKB*d.size[w.Route]/1024
	}
	if now.Before(s.ColdUntil) {
		score -= coldPenalty
	}
	if s.lastStart.IsZero() {
		score += newcomerBonus
	}
	if spread && now.Sub(s.lastStart) > coverageWindow && s.sound(now, recoveredAfter) {
		score += spreadBonus
	}
	return score
}

// explores reports whether a request may be used to keep servers in use that are trusted less: one that may run again on
// another server, or any while there are few of those.
func (d *Desk) explores(now time.Time, r Request) bool {
	if r.Repeat {
		return false
	}
	return r.Idempotent || float64(d.reads.within(now)) < readsEnough*float64(len(d.servers))
}

// spread reports whether more servers must get work.
//
// The load it answers: when many requests are lost at once, as at the loss of a zone, or of all VMs with the requests that
// they serve, it must not be said that most of the sound servers had been idle. So a busy service keeps most of them in
// use, and leaves out those that it trusts least.
func (d *Desk) spread(now time.Time) bool {
	lost, share, total := d.recent.lost(now)
	if total < busyService && (lost < leastLost || share < lostShare) {
		return false
	}
	var sound, recovered coverage
	for _, s := range d.servers {
		if !s.takesWork(now) {
			continue
		}
		used := now.Sub(s.lastStart) <= coverageWindow
		switch {
		case s.sound(now, soundAfter):
			sound.add(used)
		case s.sound(now, recoveredAfter):
			recovered.add(used)
		}
	}
	return sound.below(leastCoverage) || sound.and(recovered).below(leastRecovered)
}

// coverage counts servers and those of them that had work lately.
type coverage struct{ all, used int }

func (c *coverage) add(used bool) {
	c.all++
	if used {
		c.used++
	}
}

func (c coverage) and(other coverage) coverage {
	return coverage{all: c.all + other.all, used: c.used + other.used}
}

func (c coverage) below(share float64) bool { return float64(c.used) < share*float64(c.all) }
