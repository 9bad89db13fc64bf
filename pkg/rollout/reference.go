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
	// priorFailureRate is the assumed failure rate, and priorResponses the number of responses that it is worth.
	priorFailureRate = 0.015
	priorResponses   = 15
	// minFailureRate is the least failure rate that counts as normal, as the servers that are left out also have normal failures.
	minFailureRate = 0.02
	// slowFactor and slowOffset define a slow response by the median of the old servers: a response of a bad version takes several
	// times longer, and links add some time.
	slowFactor = 2.2
	// slowQuantile is the least share of the responses of the old servers that are not slow.
	slowQuantile = 0.93
	slowOffset   = 30 * time.Millisecond
	// minRouteResponses is the number of responses of old servers on a route from which it is exposed. Without them, a route on which all
	// requests fail, whatever the version, would look like a fault of the target version.
	minRouteResponses = 3
	// failingShare is the share of failures from which few responses are enough to know that a route fails on the old servers too, and
	// failingPriorResponses the number of responses that priorFailureRate is worth then.
	failingShare          = 0.5
	failingPriorResponses = 2
	// rareRouteShare is the share of the responses below which a route gets less than an even share of the exposure.
	rareRouteShare = 0.1
	// minTally is the decayed number of responses of a server below which it does not count.
	minTally = 0.2
	// shedMemory is the time in which the counts of shed attempts decay to 1/e.
	shedMemory = 500 * time.Millisecond
)

// reference is what the old servers did recently, by route.
type reference struct {
	routes map[azuretiller.RouteID]*routeReference
	// longest and longestBefore are the longest durations of attempts on old servers in this window and in the one before.
	longest, longestBefore time.Duration
	windowEnd              time.Time
	shed                   tally
}

type routeReference struct {
	durations durations
	// threshold is the duration from which a response is slow, or 0 if too few are known.
	threshold time.Duration
	// failureRate is that of healthy old servers.
	failureRate float64
	// responses counts those of old servers, and exposed the attempts on target servers.
	responses, exposed int
	servers            []*serverTally
	byID               map[azuretiller.InstanceID]*serverTally
}

type serverTally struct {
	id azuretiller.InstanceID
	tally
}

// tally holds counts that decay.
type tally struct {
	at            time.Time
	count, failed float64
}

func (t *tally) decay(now time.Time, memory time.Duration) {
	if elapsed := now.Sub(t.at); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / memory.Seconds())
		t.count, t.failed = t.count*factor, t.failed*factor
		t.at = now
	}
}

func newReference() *reference {
	return &reference{routes: map[azuretiller.RouteID]*routeReference{}}
}

func (r *reference) route(id azuretiller.RouteID) *routeReference {
	route := r.routes[id]
	if route == nil {
		route = &routeReference{failureRate: priorFailureRate, byID: map[azuretiller.InstanceID]*serverTally{}}
		r.routes[id] = route
	}
	return route
}

// observe records the result of an attempt on an old server.
func (r *reference) observe(now time.Time, o Outcome) {
	if now.After(r.windowEnd) {
		r.longest, r.longestBefore = 0, r.longest
		r.windowEnd = now.Add(drainWindow)
	}
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
	route.responses++
	server.decay(now, referenceMemory)
	server.count++
	if kind.unsuccessful() {
		server.failed++
	} else {
		route.durations.add(now, o.Took)
	}
}

// refresh computes the rates and thresholds from what was observed.
func (r *reference) refresh(now time.Time) {
	for _, route := range r.routes {
		route.refresh(now)
	}
}

func (route *routeReference) refresh(now time.Time) {
	route.durations.refresh(now)
	if route.durations.known() {
		route.threshold = slowOffset + max(time.Duration(slowFactor*float64(route.durations.quantile(0.5))), route.durations.quantile(slowQuantile))
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
	}
	prior := float64(priorResponses)
	if total.failed > failingShare*total.count {
		prior = failingPriorResponses
	}
	whole := (total.failed + priorFailureRate*prior) / (total.count + prior)
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
	route.failureRate = max(minFailureRate, (kept.failed+priorFailureRate*priorResponses)/(kept.count+priorResponses))
}

// allows reports whether a further attempt on a route may go to a target server: the old servers get at least as many, and most of
// their responses are successful, since a route that fails on them too says nothing about the target version.
func (r *reference) allows(id azuretiller.RouteID) bool {
	route := r.routes[id]
	return route != nil && route.responses >= minRouteResponses && route.exposed < route.responses && route.failureRate < failingShare
}

// share returns the share of the exposure that a route gets. It is the same for all routes but rare ones, which would otherwise take most of
// the exposure if there are many.
func (r *reference) share(id azuretiller.RouteID) float64 {
	responses := 0
	for _, route := range r.routes {
		responses += route.responses
	}
	weight, sum := 0.0, 0.0
	for other, route := range r.routes {
		w := min(1, float64(route.responses)/(rareRouteShare*float64(max(responses, 1))))
		sum += w
		if other == id {
			weight = w
		}
	}
	return weight / max(sum, weight, math.SmallestNonzeroFloat64)
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
	// overdueResponse has not come although it takes too long.
	overdueResponse
	// shedResponse says that the server refused the request; all servers of a service may do so at the same time.
	shedResponse
)

// evidence reports whether the response counts for or against the version.
func (k responseKind) evidence() bool { return k == goodResponse || k.bad() }

// unsuccessful reports whether there was no successful response.
func (k responseKind) unsuccessful() bool { return k == failedResponse || k == overdueResponse }

func (k responseKind) bad() bool {
	return k == failedResponse || k == slowResponse || k == overdueResponse
}

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
	case message.Cancelled:
		if o.Took >= unansweredAfter {
			return overdueResponse
		}
		return noResponse
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

// meanDuration returns the mean duration of recent successful attempts on old servers, weighed by the requests of the routes.
func (r *reference) meanDuration() time.Duration {
	sum, count := 0.0, 0
	for _, route := range r.routes {
		kept := 0.0
		for _, d := range route.durations.kept {
			kept += float64(d)
		}
		if n := len(route.durations.kept); n > 0 {
			sum += kept / float64(n) * float64(route.responses)
			count += route.responses
		}
	}
	if count == 0 {
		return 0
	}
	return time.Duration(sum / float64(count))
}
