package rollout

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

const (
	// serverStates are the states of one server: healthy, failing a third, failing three quarters, and slow.
	serverStates = 4
	// stateRate is the rate in 1/s at which the knowledge of a server's state is lost. Gray periods last some seconds.
	stateRate = 0.25
	// onsetInterval is the interval of the times at which a version may turn bad.
	onsetInterval = time.Second
	// laterOnset is the prior probability that a version turns bad in a given interval after the start of the trial.
	laterOnset = 0.03
	// initialOnset is the prior probability that a version is bad from the start.
	initialOnset = 0.7
	// allRoutes is the route of hypotheses that concern all routes, and allRoutesWeight their prior probability.
	allRoutes       = -1
	allRoutesWeight = 0.7
	// maxWeighedRoutes is the number of routes up to which the prior probability that only one route is concerned grows with each.
	maxWeighedRoutes = 4
	// maxHypotheses limits the memory and the time of an observation.
	maxHypotheses = 700
)

// serverState describes what a server does on its own, whatever its version: a share of its responses fails, or takes slowFactor
// times longer.
type serverState struct{ probability, failureRate, slowShare, slowFactor float64 }

// states returns the states with their probabilities, given the share of gray servers.
func states(grayShare float64) [serverStates]serverState {
	return [serverStates]serverState{{1 - grayShare, 0, 0, 1}, {0.4 * grayShare, 0.35, 0, 1}, {0.5 * grayShare, 0.75, 0, 1}, {0.1 * grayShare, 0, 0.75, 4}}
}

// fault is a way in which a version may be bad on all of its servers.
type fault struct{ weight, failureRate, slowShare, slowFactor float64 }

// faults returns the kinds of bad versions that are considered.
func faults() []fault {
	return []fault{
		{0.05, 0.15, 0, 1}, {0.2, 0.3, 0, 1}, {0.22, 0.6, 0, 1}, {0.2, 0.95, 0, 1},
		{0.13, 0, 0.97, 3}, {0.13, 0, 0.97, 5}, {0.07, 0, 0.5, 4},
	}
}

// hypothesis is one way in which the version may be bad.
type hypothesis struct {
	fault, route int
	// onset is the time from which the version is bad.
	onset time.Time
	// logPrior is the logarithm of its prior probability, given that the version is bad and, unless all routes are concerned, that its
	// route is.
	logPrior float64
	// logRatio is the logarithm of the likelihood of the responses relative to that of a good version.
	logRatio float64
}

type stateVector [serverStates]float64

// serverEvidence is what is known of the states of one server.
type serverEvidence struct {
	at   time.Time
	good stateVector
	// byHypothesis are the states under the hypotheses with the same index. Hypotheses that are younger than the newest response have
	// the state of a good version and are missing.
	byHypothesis []stateVector
}

// evidence weighs the hypotheses that the target version is bad against the hypothesis that only single servers are gray.
type evidence struct {
	states     [serverStates]serverState
	faults     []fault
	hypotheses []hypothesis
	routes     map[azuretiller.RouteID]int
	// counts are the numbers of responses by route.
	counts []int
	// short are the routes whose durations are too short to show that only they are slower. Nothing could refute that.
	short     []bool
	servers   map[azuretiller.InstanceID]*serverEvidence
	started   time.Time
	nextOnset time.Time
	prior     float64
	responses int
	// owned are the servers that are not shared with another evidence. It is nil if none is shared.
	owned map[azuretiller.InstanceID]bool
	// logGood is the log likelihood of the responses if the version is good.
	logGood float64
}

// newEvidence returns evidence without responses. The prior log odds are those of a version that is bad from the start.
func newEvidence(now time.Time, priorLogOdds float64, states [serverStates]serverState) *evidence {
	e := &evidence{
		states: states, faults: faults(), routes: map[azuretiller.RouteID]int{},
		servers: map[azuretiller.InstanceID]*serverEvidence{}, started: now, nextOnset: now.Add(onsetInterval), prior: priorLogOdds,
	}
	e.addHypotheses(allRoutes, time.Time{}, math.Log(initialOnset)+priorLogOdds)
	return e
}

// addHypotheses adds the hypotheses that the version is bad on a route from the onset on.
func (e *evidence) addHypotheses(route int, onset time.Time, logPrior float64) {
	if len(e.hypotheses) >= maxHypotheses && route != allRoutes {
		return
	}
	if route == allRoutes {
		logPrior += math.Log(allRoutesWeight)
	}
	for i, f := range e.faults {
		e.hypotheses = append(e.hypotheses, hypothesis{fault: i, route: route, onset: onset, logPrior: logPrior + math.Log(f.weight)})
	}
}

// advance adds the hypotheses that the version turns bad now.
func (e *evidence) advance(now time.Time) {
	for !now.Before(e.nextOnset) {
		e.addHypotheses(allRoutes, e.nextOnset, math.Log(laterOnset))
		for route, count := range e.counts {
			if e.responses > minResponses && float64(count) < rareRouteShare/2*float64(e.responses) {
				// A late fault of a rare route would not be noticed.
				continue
			}
			e.addHypotheses(route, e.nextOnset, math.Log(laterOnset))
		}
		e.nextOnset = e.nextOnset.Add(onsetInterval)
	}
}

func (e *evidence) route(id azuretiller.RouteID) int {
	index, ok := e.routes[id]
	if !ok {
		index = len(e.routes)
		e.routes[id] = index
		e.counts = append(e.counts, 0)
		e.short = append(e.short, false)
		e.addHypotheses(index, time.Time{}, math.Log(initialOnset)+e.prior)
	}
	return index
}

// observe takes an attempt on a target server into account, compared with what is normal for its route. The attempts of a server
// are passed in the order in which they were sent.
func (e *evidence) observe(server azuretiller.InstanceID, a attempt, normal *routeReference) {
	e.advance(a.sent)
	e.own(server)
	route := e.route(a.route)
	s := e.servers[server]
	if s == nil {
		s = e.newServer(a.sent)
		e.servers[server] = s
		if e.owned != nil {
			e.owned[server] = true
		}
	}
	for len(s.byHypothesis) < len(e.hypotheses) {
		s.byHypothesis = append(s.byHypothesis, s.good)
	}
	decay := s.elapse(a.sent)
	e.responses++
	e.counts[route]++
	e.short[route] = normal.durations.short()

	good := e.likelihoods(a, fault{slowFactor: 1}, normal)
	goodLikelihood := s.good.update(decay, &e.states, &good)
	faulty := make([]stateVector, len(e.faults))
	e.logGood += math.Log(goodLikelihood)
	for i, f := range e.faults {
		faulty[i] = e.likelihoods(a, f, normal)
	}
	for i := range e.hypotheses {
		h := &e.hypotheses[i]
		likelihoods := &good
		if (h.route == allRoutes || h.route == route) && !a.sent.Before(h.onset) {
			likelihoods = &faulty[h.fault]
		}
		h.logRatio += math.Log(s.byHypothesis[i].update(decay, &e.states, likelihoods) / goodLikelihood)
	}
}

func (e *evidence) newServer(now time.Time) *serverEvidence {
	s := &serverEvidence{at: now}
	for i, state := range e.states {
		s.good[i] = state.probability
	}
	return s
}

// elapse moves the time of the server to now and returns the factor by which the knowledge of its state decays.
func (s *serverEvidence) elapse(now time.Time) float64 {
	elapsed := max(0, now.Sub(s.at).Seconds())
	s.at = now
	return math.Exp(-stateRate * elapsed)
}

// likelihoods returns the probability of the response in each state of the server. For a successful response it is the density of
// its duration.
func (e *evidence) likelihoods(a attempt, f fault, normal *routeReference) stateVector {
	duration := func(factor float64) float64 {
		if !normal.durations.known() {
			return 1
		}
		if a.cold && a.kind != overdueResponse {
			return 1
		}
		if a.cold {
			// A fault that makes responses slower would be favored by the attempts that run, while their results count for nothing.
			factor = coldSlowdown
		}
		scaled := time.Duration(float64(a.took) / factor)
		if a.kind == overdueResponse {
			return normal.durations.exceeds(scaled)
		}
		return normal.durations.densityAt(scaled)
	}
	unchanged, faulty := duration(1), duration(f.slowFactor)
	var v stateVector
	for i, s := range e.states {
		failed := 1 - (1-normal.failureRate)*(1-s.failureRate)*(1-f.failureRate)
		succeeded := unchanged
		if s.slowShare > 0 {
			succeeded += s.slowShare * (duration(s.slowFactor) - unchanged)
		}
		succeeded += f.slowShare * (faulty - succeeded)
		switch a.kind {
		case failedResponse:
			v[i] = failed
		case overdueResponse:
			v[i] = failed + (1-failed)*succeeded
		default:
			v[i] = (1 - failed) * succeeded
		}
	}
	return v
}

// update moves the probabilities of the states to the time of a response, takes the response into account, and returns its
// probability.
func (v *stateVector) update(decay float64, states *[serverStates]serverState, likelihoods *stateVector) float64 {
	sum := 0.0
	for i := range v {
		stationary := states[i].probability
		v[i] = (stationary + (v[i]-stationary)*decay) * likelihoods[i]
		sum += v[i]
	}
	for i := range v {
		v[i] /= sum
	}
	return sum
}

// logOdds returns the logarithm of the odds that the version is bad, if good and bad versions are equally frequent.
func (e *evidence) logOdds() float64 {
	priors := e.routePriors()
	weighed := make([]float64, len(e.hypotheses))
	largest := math.Inf(-1)
	for i, h := range e.hypotheses {
		weighed[i] = h.logPrior + h.logRatio
		if h.route != allRoutes && e.short[h.route] && e.faults[h.fault].slowFactor > 1 {
			weighed[i] = math.Inf(-1)
		}
		if h.route != allRoutes {
			weighed[i] += priors[h.route]
		}
		largest = max(largest, weighed[i])
	}
	sum := 0.0
	for _, w := range weighed {
		sum += math.Exp(w - largest)
	}
	return largest + math.Log(sum)
}

// routePriors returns the logarithms of the prior probabilities that only a certain route is concerned. That of a rare route is lower, as
// its few responses could otherwise never show that a version is good.
func (e *evidence) routePriors() []float64 {
	priors := make([]float64, len(e.counts))
	sum, whole := 0.0, 0.0
	for i, count := range e.counts {
		priors[i] = min(1, float64(count+1)/(rareRouteShare*float64(e.responses+len(e.counts))))
		sum += priors[i]
		if i < maxWeighedRoutes {
			whole += (1 - allRoutesWeight) / float64(i+1)
		}
	}
	for i := range priors {
		priors[i] = math.Log(priors[i] / sum * whole)
	}
	return priors
}

// clone returns a copy that changes independently. The servers are copied when they change.
func (e *evidence) clone() *evidence {
	c := *e
	c.hypotheses = slices.Clone(e.hypotheses)
	c.routes = maps.Clone(e.routes)
	c.counts = slices.Clone(e.counts)
	c.short = slices.Clone(e.short)
	c.servers = maps.Clone(e.servers)
	c.owned = map[azuretiller.InstanceID]bool{}
	return &c
}

// own copies a server that the evidence shares with the one that it was cloned from.
func (e *evidence) own(id azuretiller.InstanceID) {
	if s := e.servers[id]; e.owned != nil && !e.owned[id] && s != nil {
		copied := *s
		copied.byHypothesis = slices.Clone(s.byHypothesis)
		e.servers[id] = &copied
		e.owned[id] = true
	}
}
