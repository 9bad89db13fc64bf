package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/zoneflow"
)

const (
	// zoneLateShare is the share of its longest time in the queue after which a request takes the slots that other zones keep free for
	// their own requests, and urgentLateShare the same for requests with priority 0.
	zoneLateShare   = 0.6
	urgentLateShare = 0.1
	// minTrustedSuccess is the success probability from which the slots of a server count as slots to wait for.
	minTrustedSuccess = 0.75
	// retryableWait is the longest time that an idempotent request waits for a server with a higher success probability. It is shorter than
	// betterServerWait since the request can be sent again.
	retryableWait = 8 * time.Millisecond
	// minSureSuccess is the success probability of the best server of a full zone from which a request waits without a look at the others.
	minSureSuccess = 0.95
	// minExplorersPerServer is the number of requests for each server of a zone in coverageWindow, counting those that may go to a server
	// with a lower score, from which the zone keeps its servers in use without requests of other zones.
	minExplorersPerServer = 2
	// coverageCheckInterval is how long it is relied on that enough servers are in use. It is a small fraction of coverageWindow.
	coverageCheckInterval = 10 * time.Millisecond
)

// zoneServers are the servers of one availability zone.
type zoneServers struct {
	name    azuretiller.Zone
	servers []*server
	// measured is the state of the trusted servers at measuredAt, without the waiting requests.
	measured   zoneflow.Zone
	measuredAt time.Time
	// bestSuccess is the highest success probability of the servers at measuredAt, and free the number of free slots of all of them.
	bestSuccess float64
	free        int
	// explorers are the recent requests of the zone that may go to a server with a lower score.
	explorers eventWindow
}

// zoneWait is the state of a request that may wait for a slot of its own zone.
type zoneWait struct {
	verdict zoneflow.Verdict
}

// groupByZone divides the servers by zone. The requests counted for a zone stay.
func (sc *Scheduler) groupByZone() {
	var zones []*zoneServers
	for _, s := range sc.servers {
		i := slices.IndexFunc(zones, func(z *zoneServers) bool { return z.name == s.Zone })
		if i < 0 {
			z := &zoneServers{name: s.Zone}
			if former := sc.zone(s.Zone); former != nil {
				z.explorers = former.explorers
			}
			zones, i = append(zones, z), len(zones)
		}
		zones[i].servers = append(zones[i].servers, s)
	}
	sc.zones = zones
}

func (sc *Scheduler) zone(name azuretiller.Zone) *zoneServers {
	for _, z := range sc.zones {
		if z.name == name {
			return z
		}
	}
	return nil
}

// queueZone returns the zone of the queue in which a new request waits, and counts the request for its zone.
func (sc *Scheduler) queueZone(now time.Time, r Request) azuretiller.Zone {
	if !sc.params.KeepInZone {
		return ""
	}
	if z := sc.zone(r.Zone); z != nil && sc.mayExplore(now, r) {
		z.explorers.add(now)
	}
	return r.Zone
}

// chooseByZone returns the server for a request, or nil if the request should wait. With stay set, it returns only a server of the
// request's own zone.
func (sc *Scheduler) chooseByZone(now time.Time, w *waitingRequest, stay bool) *server {
	flow, request := sc.flow(), sc.flowRequest(now, w)
	own := sc.zone(w.Zone)
	preferUnused := sc.mayExplore(now, w.Request) && sc.zonesNeedCoverage(now)
	var candidates zoneflow.Candidates
	bestBusy := 0.0
	patient := sc.isPatient(now, w, own)
	if patient && !preferUnused && own.free == 0 && own.bestSuccess >= minSureSuccess {
		return nil
	}
	if stay && !preferUnused && flow.Decide(request, own.bestCandidates(), false) != zoneflow.Stay {
		return nil
	}
	best := sc.bestOf(now, own, w, preferUnused, &candidates.OwnBusy)
	w.zoneWait.verdict = zoneflow.Stay
	if best != nil {
		if preferUnused && sc.lacksUse(now, best) {
			return best
		}
		candidates.Own = sc.value(now, best, w)
	}
	if preferUnused && !stay {
		if s := sc.uncovered(now, own, w); s != nil {
			w.zoneWait.verdict = zoneflow.LeaveCoverage
			return s
		}
	}
	// The success probability of servers elsewhere is at most 1.
	candidates.Elsewhere = 1
	verdict := flow.Decide(request, candidates, patient)
	if verdict == zoneflow.LeaveFull || verdict == zoneflow.LeaveSuspected {
		if stay {
			return nil
		}
		var elsewhere *server
		candidates.Elsewhere = 0
		if elsewhere = sc.bestElsewhere(now, own, w, flow, verdict == zoneflow.LeaveSuspected, &bestBusy); elsewhere != nil {
			candidates.Elsewhere = sc.value(now, elsewhere, w)
		}
		verdict = flow.Decide(request, candidates, patient)
		if verdict == zoneflow.LeaveFull || verdict == zoneflow.LeaveSuspected {
			if sc.awaitsBetter(now, w, candidates.Elsewhere, max(bestBusy, candidates.OwnBusy)) {
				return nil
			}
			w.zoneWait.verdict = verdict
			return elsewhere
		}
	}
	if verdict == zoneflow.Wait || sc.awaitsBetter(now, w, candidates.Own, max(bestBusy, candidates.OwnBusy)) {
		return nil
	}
	return best
}

func (sc *Scheduler) flow() zoneflow.Flow {
	return zoneflow.Flow{Cost: sc.params.CrossZoneCost, CostPerKiB: sc.params.CrossZoneCostPerKiB}
}

func (sc *Scheduler) flowRequest(now time.Time, w *waitingRequest) zoneflow.Request {
	return zoneflow.Request{
		Spare: w.SoftDeadline.Sub(w.enqueued) - sc.serviceTimeOf(w.Route), Waited: now.Sub(w.enqueued), Size: sc.meanSize[w.Route], Priority: w.Priority, Idempotent: w.Idempotent,
	}
}

// isPatient reports whether a request still waits for a slot of its own zone, which may be nil.
func (sc *Scheduler) isPatient(now time.Time, w *waitingRequest, own *zoneServers) bool {
	return own != nil && sc.flow().Waits(sc.flowRequest(now, w), sc.measure(now, own, math.MaxInt), sc.meanServiceTime())
}

// awaitsBetterUntil returns the time until which a request waits for a server that is more likely to succeed.
func (w *waitingRequest) awaitsBetterUntil() time.Time {
	if w.Idempotent {
		return w.enqueued.Add(retryableWait)
	}
	return w.betterServerUntil
}

// awaitsBetter reports whether a request waits although it could get a server, given the values of that server and of the best one without
// a free slot. A request that is not idempotent waits for the servers of all zones.
func (sc *Scheduler) awaitsBetter(now time.Time, w *waitingRequest, value, busy float64) bool {
	if !now.Before(w.awaitsBetterUntil()) {
		return false
	}
	if !w.Idempotent {
		for _, z := range sc.zones {
			z.refresh(now)
			busy = max(busy, z.bestSuccess)
		}
	}
	return value < busy-betterServerMargin
}

// measure returns the state of a zone with its waiting requests up to an urgency.
func (sc *Scheduler) measure(now time.Time, z *zoneServers, urgency int) zoneflow.Zone {
	z.refresh(now)
	state := z.measured
	for _, q := range sc.queues {
		if q.zone == z.name && q.urgency <= urgency {
			state.Waiting += q.requests.Len()
		}
	}
	return state
}

// refresh measures the servers of the zone, unless it was done lately. In between, addFree counts the slots that are taken and freed.
func (z *zoneServers) refresh(now time.Time) {
	if now.Sub(z.measuredAt) < zonePassInterval {
		return
	}
	z.measured, z.measuredAt, z.bestSuccess, z.free = zoneflow.Zone{}, now, 0, 0
	for _, s := range z.servers {
		if !s.acceptsRequests(now) {
			continue
		}
		free := max(s.freeCapacity(now), 0)
		z.free += free
		z.bestSuccess = max(z.bestSuccess, s.successProbability(now))
		if s.success.SuccessProbability(now) >= minTrustedSuccess {
			z.measured.Slots += s.Slots
			z.measured.Free += free
		}
	}
}

// bestElsewhere returns the best server with a free slot in that one of the other zones which accepts the request and has the largest share
// of its slots free.
func (sc *Scheduler) bestElsewhere(now time.Time, own *zoneServers, w *waitingRequest, flow zoneflow.Flow, suspected bool, bestBusy *float64) *server {
	urgency, claim := math.MaxInt, zoneflow.Foreign
	isLate := sc.isLate(now, w)
	switch {
	case sc.lacksServers(now, own):
		claim = zoneflow.Unserved
	case suspected || isLate:
		urgency, claim = w.urgency(), zoneflow.Late
	}
	best := sc.bestAccepting(now, own, w, flow, urgency, claim, false, bestBusy)
	if best == nil && (isLate || claim == zoneflow.Unserved) {
		// If the servers of all zones fail, a suspected one is better than none.
		best = sc.bestAccepting(now, own, w, flow, urgency, claim, true, bestBusy)
	}
	return best
}

// bestAccepting returns the best server of the zone with the largest share of free slots among the other zones that accept a request by a
// claim. With all set, the slots of servers that are likely to fail count as well.
func (sc *Scheduler) bestAccepting(now time.Time, own *zoneServers, w *waitingRequest, flow zoneflow.Flow, urgency int, claim zoneflow.Claim, all bool, bestBusy *float64) *server {
	var best *server
	bestFree := math.Inf(-1)
	for _, z := range sc.zones {
		state := sc.measure(now, z, urgency)
		if all {
			state.Free = z.free
		}
		free := float64(state.Free-state.Waiting) / float64(max(state.Slots, 1))
		if z == own || !flow.Accepts(state, claim) || best != nil && free <= bestFree {
			continue
		}
		if s := sc.bestOf(now, z, w, false, bestBusy); s != nil {
			best, bestFree = s, free
		}
	}
	return best
}

// isLate reports whether a request has waited for so long that it takes the slots that other zones keep free.
func (sc *Scheduler) isLate(now time.Time, w *waitingRequest) bool {
	share := zoneLateShare
	if w.Priority == 0 {
		share = urgentLateShare
	}
	return now.Sub(w.enqueued) >= time.Duration(share*float64(w.queueDeadline.Sub(w.enqueued)))
}

// bestOf returns the server of a zone with the highest score for a request, or nil. It raises bestBusy to the value of the best
// server without a free slot.
func (sc *Scheduler) bestOf(now time.Time, z *zoneServers, w *waitingRequest, preferUnused bool, bestBusy *float64) *server {
	var best *server
	bestScore := math.Inf(-1)
	if z == nil {
		return nil
	}
	for _, s := range z.servers {
		if len(w.Tried) > 0 && slices.Contains(w.Tried, s.ID) || !s.availableTo(w.Key.From, now) || s.Trial && !sc.mayExpose(now, s, w) {
			continue
		}
		if s.freeCapacity(now) <= 0 {
			if s.acceptsRequests(now) {
				*bestBusy = max(*bestBusy, sc.value(now, s, w))
			}
			continue
		}
		if score := sc.score(now, s, w, preferUnused); score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// value returns the expected share of the value of a response that a request gets from a server, without the cost of crossing.
func (sc *Scheduler) value(now time.Time, s *server, w *waitingRequest) float64 {
	value := 1 - sc.failureRisk(now, s, w)
	if now.Before(s.ColdUntil) {
		value -= coldPenalty
	}
	return value
}

// zonesNeedCoverage returns needsCoverage and reuses a negative result for a short time.
func (sc *Scheduler) zonesNeedCoverage(now time.Time) bool {
	if now.Before(sc.coverageSufficesUntil) {
		return false
	}
	if sc.needsCoverage(now) {
		return true
	}
	sc.coverageSufficesUntil = now.Add(coverageCheckInterval)
	return false
}

// lacksUse reports whether a server is healthy but got no request within coverageWindow.
func (sc *Scheduler) lacksUse(now time.Time, s *server) bool {
	return now.Sub(s.lastRequestStart) > coverageWindow && s.healthy(now, recoveredAfter)
}

// uncovered returns a server that must be kept in use in another zone whose own requests are too few for that, or nil.
func (sc *Scheduler) uncovered(now time.Time, own *zoneServers, w *waitingRequest) *server {
	for _, z := range sc.zones {
		if z == own || float64(z.explorers.count(now)) >= minExplorersPerServer*float64(len(z.servers)) {
			continue
		}
		for _, s := range z.servers {
			if !s.Trial && sc.lacksUse(now, s) && s.freeCapacity(now) > 0 && s.availableTo(w.Key.From, now) && !slices.Contains(w.Tried, s.ID) {
				return s
			}
		}
	}
	return nil
}
