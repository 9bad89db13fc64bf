package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller/pkg/zoneflow"
)

const (
	// zonePassInterval is the least time between two passes over the queues of all zones. A pass tries requests of each queue, which is too
	// expensive for each request and result.
	zonePassInterval = 10 * time.Millisecond
)

func (z *zoneServers) hasFreeCapacity(now time.Time) bool {
	return slices.ContainsFunc(z.servers, func(s *server) bool { return s.freeCapacity(now) > 0 })
}

// assignByZone assigns waiting requests to servers, the most urgent first. Among requests of the same priority, those that get a server of
// their own zone come before those that leave their zone.
func (sc *Scheduler) assignByZone(now time.Time) []Decision {
	sc.zonesPassedAt = now
	for _, z := range sc.zones {
		// Slots may have become free at the same time.
		z.measuredAt = time.Time{}
	}
	var decisions []Decision
	for rest := sc.queues; len(rest) > 0; {
		var sameUrgency []*queue
		sameUrgency, rest = splitUrgency(rest)
		// Requests without servers in their own zone get every n-th slot before the requests of the n-1 zones with servers.
		if int(sc.tickets.last)%(len(sc.zones)+1) == 0 {
			decisions = sc.drainUnserved(now, sameUrgency, decisions)
		}
		for _, q := range sameUrgency {
			if z := sc.zone(q.zone); q.requests.Len() > 0 && z != nil && z.hasFreeCapacity(now) && sc.mayStay(now, z) {
				decisions = sc.drain(now, q, z, math.MaxInt, decisions)
			}
		}
		// The zone that comes first gets the free slots of others first, so the order changes.
		for i := range sameUrgency {
			q := sameUrgency[(i+int(sc.tickets.last))%len(sameUrgency)]
			if q.requests.Len() > 0 && sc.hasFreeCapacity(now) {
				decisions = sc.drain(now, q, nil, math.MaxInt, decisions)
			}
		}
	}
	return decisions
}

// splitUrgency divides the queues into those of the most urgent requests and the others.
func splitUrgency(queues []*queue) (first, rest []*queue) {
	n := 0
	for n < len(queues) && queues[n].urgency == queues[0].urgency {
		n++
	}
	return queues[:n], queues[n:]
}

// assignSubmitted assigns waiting requests after a request was added to its queue. Between two passes over all queues only that request is
// tried. The others waited for a better server or for a slot of their zone when they were tried last.
func (sc *Scheduler) assignSubmitted(now time.Time, w *waitingRequest) []Decision {
	if sc.mayPassZones(now) {
		return sc.assignQueued(now)
	}
	for _, q := range sc.queues {
		if q.urgency != w.urgency() || q.zone != w.Zone {
			continue
		}
		if q.requests.Len() > maxMisses || !sc.hasFreeCapacity(now) {
			return nil
		}
		chosen := sc.chooseByZone(now, w, false)
		if chosen == nil {
			return nil
		}
		return sc.tryNext(now, q, func(next *waitingRequest) *server {
			if next != w {
				return nil
			}
			return chosen
		}, nil)
	}
	return nil
}

// assignFreed assigns a waiting request after a slot of a server became free. Between two passes over all queues, only requests of the
// server's zone are tried, and after them those of other zones with the same urgency.
func (sc *Scheduler) assignFreed(now time.Time, s *server) []Decision {
	if sc.mayPassZones(now) {
		return sc.assignQueued(now)
	}
	z := sc.zone(s.Zone)
	if z == nil || s.freeCapacity(now) <= 0 {
		return nil
	}
	z.addFree(now, s, 1)
	if z.refresh(now); z.measured.Free > 1 {
		// Other slots were free, so requests that wait do so for a better server, and lose little until the next pass.
		return nil
	}
	for rest := sc.queues; len(rest) > 0; {
		var sameUrgency []*queue
		sameUrgency, rest = splitUrgency(rest)
		if int(sc.tickets.last)%(len(sc.zones)+1) == 0 {
			if decisions := sc.drainUnserved(now, sameUrgency, nil); len(decisions) > 0 {
				return decisions
			}
		}
		for _, q := range sameUrgency {
			if q.zone != s.Zone || q.requests.Len() == 0 {
				continue
			}
			for _, only := range []*zoneServers{z, nil} {
				if only != nil && !sc.mayStay(now, z) {
					continue
				}
				if decisions := sc.drain(now, q, only, 1, nil); len(decisions) > 0 {
					return decisions
				}
			}
		}
		for i := range sameUrgency {
			q := sameUrgency[(i+int(sc.tickets.last))%len(sameUrgency)]
			if q.zone == s.Zone || q.requests.Len() == 0 || !sc.mayEnter(now, q, z) {
				continue
			}
			if decisions := sc.drain(now, q, nil, 1, nil); len(decisions) > 0 {
				return decisions
			}
		}
	}
	return nil
}

// mayStay reports whether some request of a zone may prefer its best server to any server elsewhere, by the largest bodies.
func (sc *Scheduler) mayStay(now time.Time, z *zoneServers) bool {
	if sc.zonesNeedCoverage(now) {
		return true
	}
	size := 0.0
	for _, s := range sc.meanSize {
		size = max(size, s)
	}
	z.refresh(now)
	return sc.flow().Decide(zoneflow.Request{Size: size, Idempotent: true}, z.bestCandidates(), false) == zoneflow.Stay
}

// bestCandidates returns the highest possible values of the servers of the zone and of those elsewhere.
func (z *zoneServers) bestCandidates() zoneflow.Candidates {
	return zoneflow.Candidates{Own: 1 - retryableDiscount*(1-z.bestSuccess), Elsewhere: 1}
}

// mayEnter reports whether a zone with at most one free slot may accept requests of the queue of another zone. It has no slots for requests of other zones.
func (sc *Scheduler) mayEnter(now time.Time, q *queue, z *zoneServers) bool {
	return z.free > sc.measure(now, z, q.urgency).Waiting || sc.lacksServers(now, sc.zone(q.zone))
}

// addFree adds to the number of free slots after one of a server was taken or freed.
func (z *zoneServers) addFree(now time.Time, s *server, n int) {
	z.free = max(z.free+n, 0)
	if s.success.SuccessProbability(now) >= minTrustedSuccess {
		z.measured.Free = max(z.measured.Free+n, 0)
	}
}

// mayPassZones reports whether all queues are passed over at each event, or the last pass was long enough ago.
func (sc *Scheduler) mayPassZones(now time.Time) bool {
	return !sc.params.KeepInZone || now.Sub(sc.zonesPassedAt) >= zonePassInterval
}

// drainUnserved assigns at most one request of each queue whose zone has no usable servers.
func (sc *Scheduler) drainUnserved(now time.Time, queues []*queue, decisions []Decision) []Decision {
	for _, q := range queues {
		if q.requests.Len() > 0 && sc.lacksServers(now, sc.zone(q.zone)) && sc.hasFreeCapacity(now) {
			decisions = sc.drain(now, q, nil, 1, decisions)
		}
	}
	return decisions
}

// lacksServers reports whether a zone, which may be nil, has no server that is likely to run a request.
func (sc *Scheduler) lacksServers(now time.Time, z *zoneServers) bool {
	if z == nil {
		return true
	}
	z.refresh(now)
	return z.measured.Slots == 0
}

// drain assigns requests of one queue until none can be assigned or the limit is reached. With a zone, only servers of that zone are used.
func (sc *Scheduler) drain(now time.Time, q *queue, only *zoneServers, limit int, decisions []Decision) []Decision {
	missed := missedRequests{}
	for ; limit > 0 && q.requests.Len() > 0 && missed.count < maxMisses && (only == nil || only.hasFreeCapacity(now)); limit-- {
		before := len(decisions)
		decisions = sc.tryNext(now, q, func(w *waitingRequest) *server {
			return sc.chooseUnlessMissed(now, w, only != nil, &missed)
		}, decisions)
		if len(decisions) == before {
			break
		}
	}
	return decisions
}

// tryNext assigns the first request in the order of a queue for which a server is chosen.
func (sc *Scheduler) tryNext(now time.Time, q *queue, choose func(*waitingRequest) *server, decisions []Decision) []Decision {
	var chosen *server
	w, ok := q.requests.Pop(func(w *waitingRequest) (float64, bool) {
		chosen = choose(w)
		return sc.serviceTimeOf(w.Route).Seconds(), chosen != nil
	})
	if !ok {
		return decisions
	}
	sc.zone(chosen.Zone).addFree(now, chosen, -1)
	return append(decisions, sc.assign(now, w, chosen))
}

// hasRestrictedServers reports whether some VMs may not send requests to some servers.
func (sc *Scheduler) hasRestrictedServers() bool {
	return slices.ContainsFunc(sc.servers, func(s *server) bool { return len(s.unreachableUntil)+len(s.pausedFor) > 0 })
}

// missedRequests are the requests of one queue for which no server was chosen in a pass.
type missedRequests struct {
	// count is the number of requests without a server, including those that were not tried.
	count int
	tried []missedRequest
	// restricted is hasRestrictedServers at the time of the first of them.
	restricted bool
}

type missedRequest struct {
	*waitingRequest
	stage waitStage
}

// waitStage tells which servers a request accepts by the time that it has waited.
type waitStage struct{ patient, late, awaitsBetter bool }

func (sc *Scheduler) stageOf(now time.Time, w *waitingRequest) waitStage {
	return waitStage{patient: sc.isPatient(now, w, sc.zone(w.Zone)), late: sc.isLate(now, w), awaitsBetter: now.Before(w.awaitsBetterUntil())}
}

// chooseUnlessMissed returns the server for a request, or nil if the request should wait. It does not try a request if no server was chosen
// for one like it.
func (sc *Scheduler) chooseUnlessMissed(now time.Time, w *waitingRequest, stay bool, missed *missedRequests) *server {
	if missed.count >= maxMisses {
		return nil
	}
	stage := sc.stageOf(now, w)
	alike := func(m missedRequest) bool {
		return m.stage == stage && m.Route == w.Route && m.Idempotent == w.Idempotent && m.PreviouslySent == w.PreviouslySent &&
			(m.Key.From == w.Key.From || !missed.restricted)
	}
	if len(w.Tried) == 0 && slices.ContainsFunc(missed.tried, alike) {
		missed.count++
		return nil
	}
	chosen := sc.chooseByZone(now, w, stay)
	if chosen == nil {
		missed.count++
		if len(w.Tried) == 0 {
			missed.restricted = missed.restricted || len(missed.tried) == 0 && sc.hasRestrictedServers()
			missed.tried = append(missed.tried, missedRequest{waitingRequest: w, stage: stage})
		}
	}
	return chosen
}
