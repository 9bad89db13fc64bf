package scheduler

import (
	"math"
	"slices"
	"time"
)

// choose returns the server for a request, or nil if the request should wait.
//
// At any time some of the servers are gray. choose prefers servers with recent successes, because the evidence about the
// others is out of date. A request that is not idempotent waits for a short time if the free servers are more likely to
// fail than one whose slots are all in use.
func (sc *Scheduler) choose(now time.Time, w *waitingRequest) *server {
	preferUnused := sc.mayExplore(now, w.Request) && sc.needsCoverage(now)
	var best *server
	bestScore := math.Inf(-1)
	bestFullSuccess := 0.0
	for _, s := range sc.servers {
		if slices.Contains(w.Tried, s.ID) || !s.availableTo(w.Key.From, now) || s.Trial && !sc.mayExpose(now, s, w) {
			continue
		}
		if s.freeCapacity(now) <= 0 {
			if s.acceptsRequests(now) {
				bestFullSuccess = max(bestFullSuccess, s.successProbability(now))
			}
			continue
		}
		if score := sc.score(now, s, w, preferUnused); score > bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return nil
	}
	if !w.Idempotent && !preferUnused && sc.queueLength() < maxMisses && now.Before(w.betterServerUntil) && best.successProbability(now) < bestFullSuccess-betterServerMargin {
		return nil
	}
	return best
}

// score rates a server for a request; higher is better. It weighs the risk of failure, the load, the availability
// zone and whether the server is cold, new or, with preferUnused, without recent requests.
func (sc *Scheduler) score(now time.Time, s *server, w *waitingRequest, preferUnused bool) float64 {
	failureRisk := sc.failureRisk(now, s, w)
	score := -failureRisk - inFlightRiskWeight*float64(s.busy)*failureRisk
	score -= loadPenalty * float64(s.busy) / float64(max(s.Slots, 1))
	if s.Zone != w.Zone {
		score -= sc.params.CrossZoneCost + sc.params.CrossZoneCostPerKiB*sc.meanSize[w.Route]/1024
	}
	if now.Before(s.ColdUntil) {
		score -= coldPenalty
	}
	if s.lastRequestStart.IsZero() {
		score += newServerBonus
	}
	if s.Trial {
		score += trialBonus
	}
	if preferUnused && sc.lacksUse(now, s) {
		score += coverageBonus
	}
	return score
}

// failureRisk returns the probability that a request is lost on a server. It is lower for requests that may be sent again.
func (sc *Scheduler) failureRisk(now time.Time, s *server, w *waitingRequest) float64 {
	failureRisk, shedRisk := 1-s.success.SuccessProbability(now), 1-s.acceptance.SuccessProbability(now)
	if !w.PreviouslySent && sc.retryBudget.Remaining() > minRetryBudget {
		// A request that a server sheds did not run, so it may be sent to another server even if it is not idempotent.
		shedRisk *= retryableDiscount
		if w.Idempotent {
			failureRisk *= retryableDiscount
		}
	}
	return 1 - (1-failureRisk)*(1-shedRisk)
}

// mayExplore reports whether a request may go to a server with a lower score to keep that server in use. Idempotent
// requests may, because another server can run them again. Others may only while there are few idempotent requests.
func (sc *Scheduler) mayExplore(now time.Time, r Request) bool {
	if r.PreviouslySent {
		return false
	}
	return r.Idempotent || float64(sc.idempotentStarts.count(now)) < minIdempotentPerServer*float64(len(sc.servers))
}

// needsCoverage reports whether requests must go to more servers than the best ones.
//
// When many requests are lost at once, for example with an availability zone or with all VMs and the requests they serve,
// most healthy servers must have been in use. A busy service therefore keeps most healthy servers in use at all times and
// leaves out only those with the lowest scores.
func (sc *Scheduler) needsCoverage(now time.Time) bool {
	lost, share, total := sc.outcomes.losses(now)
	if total < busyThreshold && (lost < minLosses || share < minLossShare) {
		return false
	}
	var healthy, recovered coverage
	for _, s := range sc.servers {
		if !s.acceptsRequests(now) || s.Trial {
			continue
		}
		used := now.Sub(s.lastRequestStart) <= coverageWindow
		switch {
		case s.healthy(now, healthyAfter):
			healthy.add(used)
		case s.healthy(now, recoveredAfter):
			recovered.add(used)
		}
	}
	return healthy.below(minHealthyCoverage) || healthy.plus(recovered).below(minRecoveredCoverage)
}

// coverage counts servers and how many of them got a request within the coverage window.
type coverage struct{ total, used int }

func (c *coverage) add(used bool) {
	c.total++
	if used {
		c.used++
	}
}

func (c coverage) plus(other coverage) coverage {
	return coverage{total: c.total + other.total, used: c.used + other.used}
}

func (c coverage) below(share float64) bool { return float64(c.used) < share*float64(c.total) }
