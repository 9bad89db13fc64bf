package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

const (
	// referenceMemory is the time in which the counts of old servers decay to 1/e. It is short, as both versions are compared at
	// the same time.
	referenceMemory = 3 * time.Second
	// trimmedShare is the share of the old servers, those that fail most, that do not count towards the normal failure rate. At most 3
	// in 10 servers are gray.
	trimmedShare = 0.35
	// wholeFailureRate is the failure rate of all old servers together that gray servers do not explain.
	wholeFailureRate = 0.3
	// priorFailureRate, priorSlowShare and priorResponses are the assumed failure rate and share of slow responses, and the
	// number of responses that they are worth.
	priorFailureRate = 0.015
	priorSlowShare   = 0.03
	priorResponses   = 15
	// keptDurations is the number of durations for each route from which the threshold of slow responses is computed.
	keptDurations = 200
	// slowFactor and slowOffset define a slow response by the median of the old servers: a response of a bad version takes several
	// times longer, and links add some time.
	slowFactor = 2.2
	slowOffset = 30 * time.Millisecond
	// minDurations is the number of durations below which no response counts as slow.
	minDurations = 5
	// minTally is the decayed number of responses of a server below which it does not count.
	minTally = 0.2
	// shedMemory is the time in which the counts of shed attempts decay to 1/e.
	shedMemory = 500 * time.Millisecond
)

// reference is what the old servers did recently, by route.
type reference struct {
	routes map[azuretiller.RouteID]*routeReference
	// longest is the longest duration of an attempt on an old server.
	longest time.Duration
	shed    tally
}

type routeReference struct {
	durations []time.Duration
	next      int
	// threshold is the duration from which a response is slow, or 0 if too few are known.
	threshold time.Duration
	// failureRate and slowShare are those of healthy old servers.
	failureRate, slowShare float64
	servers                []*serverTally
	byID                   map[azuretiller.InstanceID]*serverTally
}

type serverTally struct {
	id azuretiller.InstanceID
	tally
}

// tally holds counts that decay.
type tally struct {
	at                  time.Time
	count, failed, slow float64
}

func (t *tally) decay(now time.Time, memory time.Duration) {
	if elapsed := now.Sub(t.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / memory.Seconds())
		t.count, t.failed, t.slow = t.count*factor, t.failed*factor, t.slow*factor
		t.at = now
	}
}

func newReference() *reference {
	return &reference{routes: map[azuretiller.RouteID]*routeReference{}}
}

func (r *reference) route(id azuretiller.RouteID) *routeReference {
	route := r.routes[id]
	if route == nil {
		route = &routeReference{failureRate: priorFailureRate, slowShare: priorSlowShare, byID: map[azuretiller.InstanceID]*serverTally{}}
		r.routes[id] = route
	}
	return route
}

// observe records the result of an attempt on an old server.
func (r *reference) observe(now time.Time, o Outcome) {
	r.longest = max(r.longest, o.Took)
	kind := r.classify(o)
	if kind == shedResponse || kind.evidence() {
		r.shed.decay(now, shedMemory)
		r.shed.count++
		if kind == shedResponse {
			r.shed.failed++
		}
	}
	if !kind.evidence() {
		return
	}
	route := r.route(o.Route)
	server := route.byID[o.Server]
	if server == nil {
		server = &serverTally{id: o.Server, tally: tally{at: now}}
		route.byID[o.Server] = server
		route.servers = append(route.servers, server)
	}
	server.decay(now, referenceMemory)
	server.count++
	switch kind {
	case failedResponse:
		server.failed++
	case slowResponse:
		server.slow++
	}
	if o.Result == message.Succeeded {
		if len(route.durations) < keptDurations {
			route.durations = append(route.durations, o.Took)
		} else {
			route.durations[route.next] = o.Took
			route.next = (route.next + 1) % keptDurations
		}
	}
}

// refresh computes the rates and thresholds from what was observed.
func (r *reference) refresh(now time.Time) {
	for _, route := range r.routes {
		route.refresh(now)
	}
}

func (route *routeReference) refresh(now time.Time) {
	if len(route.durations) >= minDurations {
		sorted := slices.Clone(route.durations)
		slices.Sort(sorted)
		route.threshold = time.Duration(slowFactor*float64(sorted[len(sorted)/2])) + slowOffset
	}
	var counted []*serverTally
	var total tally
	for _, s := range route.servers {
		s.decay(now, referenceMemory)
		if s.count < minTally {
			continue
		}
		counted = append(counted, s)
		total.count += s.count
		total.failed += s.failed
		total.slow += s.slow
	}
	route.slowShare = (total.slow + priorSlowShare*priorResponses) / (total.count + priorResponses)
	whole := (total.failed + priorFailureRate*priorResponses) / (total.count + priorResponses)
	if whole >= wholeFailureRate {
		route.failureRate = whole
		return
	}
	slices.SortStableFunc(counted, func(a, b *serverTally) int { return cmp.Compare(b.failed/b.count, a.failed/a.count) })
	var kept tally
	for _, s := range counted[int(trimmedShare*float64(len(counted))):] {
		kept.count += s.count
		kept.failed += s.failed
	}
	route.failureRate = (kept.failed + priorFailureRate*priorResponses) / (kept.count + priorResponses)
}

// removeServers forgets old servers that no longer exist.
func (r *reference) removeServers(exists map[azuretiller.InstanceID]bool) {
	for _, route := range r.routes {
		route.servers = slices.DeleteFunc(route.servers, func(s *serverTally) bool {
			if exists[s.id] {
				return false
			}
			delete(route.byID, s.id)
			return true
		})
	}
}

// shedding reports whether the old servers shed many of their attempts.
func (r *reference) shedding(now time.Time) bool {
	r.shed.decay(now, shedMemory)
	return r.shed.count >= 1 && r.shed.failed > sheddingShare*r.shed.count
}

// responseKind is what an attempt says about its server.
type responseKind int

const (
	// noResponse says nothing about the server: it got no request, or the caller gave up.
	noResponse responseKind = iota
	goodResponse
	failedResponse
	slowResponse
	// shedResponse says that the server refused the request; all servers of a service may do so at the same time.
	shedResponse
)

// evidence reports whether the response counts for or against the version.
func (k responseKind) evidence() bool { return k == goodResponse || k.bad() }

func (k responseKind) bad() bool { return k == failedResponse || k == slowResponse }

func (r *reference) classify(o Outcome) responseKind {
	switch o.Result {
	case message.Succeeded:
		if threshold := r.threshold(o.Route); threshold > 0 && o.Took > threshold {
			return slowResponse
		}
		return goodResponse
	case message.Failed, message.Reset, message.TimedOut:
		return failedResponse
	case message.Shed:
		return shedResponse
	default:
		return noResponse
	}
}

func (r *reference) threshold(id azuretiller.RouteID) time.Duration {
	if route := r.routes[id]; route != nil {
		return route.threshold
	}
	return 0
}

// meanDuration returns the mean duration of recent successful attempts on old servers.
func (r *reference) meanDuration() time.Duration {
	var sum time.Duration
	count := 0
	for _, route := range r.routes {
		for _, d := range route.durations {
			sum += d
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}
