package detector

import (
	"math"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

const (
	// maxTeams bounds the number of teams whose results are counted for each server.
	maxTeams = 512
	// failurePriorWeight is the number of failure-free prior trials that is added to the peers' counts. It is small, so
	// that even a few failures on other servers attribute a failure to the request rather than to the server.
	failurePriorWeight = 2
	// slowPriorWeight is the number of prior trials in the estimated share of slow responses.
	slowPriorWeight = 20
	// minPeerSuccesses is the number of successes on other servers that show that a team's requests are valid.
	minPeerSuccesses = 3
	// minFailedRequests is the number of distinct requests that must fail before a server is ejected, so that a single
	// request that the server cannot handle does not eject it.
	minFailedRequests = 2
	// minLatencySamples is the number of latencies that a server needs before other servers are compared with it.
	minLatencySamples = 8
)

// Detector accumulates evidence that servers of one pool are failing or slow. The caller identifies each server by a number.
type Detector struct {
	params  Params
	servers map[int]*server
	routes  map[azuretiller.RouteID]*route
	teams   map[azuretiller.TeamID]serverTallies
	// teamOrder lists the teams in the order in which they were added.
	teamOrder []azuretiller.TeamID
}

type server struct {
	// failureEvidence and slowEvidence are cumulative log-likelihood ratios, in nats, of a faulty to a healthy server.
	failureEvidence float64
	slowEvidence    float64
	// failedTeams holds the teams whose failed requests make up failureEvidence.
	failedTeams map[azuretiller.TeamID]bool
	// failedRequests counts the distinct requests whose failures make up failureEvidence. A request that failed several
	// times counts once.
	failedRequests int
}

type route struct {
	failures      serverTallies
	slowResponses serverTallies
	medians       map[int]*median
}

// Sample is the result of one request on one server.
type Sample struct {
	// Server is the number by which the caller identifies the server.
	Server int
	Team   azuretiller.TeamID
	Route  azuretiller.RouteID
	Failed bool
	// RanBefore means that the request ran in this pool before. Its result is not independent evidence: the latency is
	// ignored, and a failure does not count as one more failed request.
	RanBefore bool
	Latency   time.Duration
	// Cold means that the server may be slow because it is cold.
	Cold bool
}

// New returns a detector without evidence.
func New(params Params) *Detector {
	return &Detector{
		params:  params,
		servers: map[int]*server{},
		routes:  map[azuretiller.RouteID]*route{},
		teams:   map[azuretiller.TeamID]serverTallies{},
	}
}

// Observe adds the evidence of one result.
func (d *Detector) Observe(s Sample) {
	r := d.route(s.Route)
	team := d.team(s.Team)
	d.addFailureEvidence(s, r, team)
	r.failures.forServer(s.Server).add(s.Failed)
	team.forServer(s.Server).add(s.Failed)
	if s.Failed || s.RanBefore {
		return
	}
	d.addLatencyEvidence(s, r)
}

// ObserveFaultyRequest records a request that failed on two servers. The failures are attributed to the request: they
// raise the team's failure counts and are no evidence against either server.
func (d *Detector) ObserveFaultyRequest(teamID azuretiller.TeamID, first, second int) {
	team := d.team(teamID)
	team.forServer(first).add(true)
	team.forServer(second).add(true)
}

// addFailureEvidence adds the evidence of a success or a failure. The failure rate of the route and of the team on the other
// servers serves as the baseline.
func (d *Detector) addFailureEvidence(s Sample, r *route, team serverTallies) {
	byRoute := r.failures.sumExcept(s.Server)
	byTeam := team.sumExcept(s.Server)
	baselineRate := max(d.params.BackgroundRate, byRoute.rate(0, failurePriorWeight), byTeam.rate(0, failurePriorWeight))
	faultyRate := max(d.params.FaultyRate, baselineRate)
	state := d.server(s.Server)
	if !s.Failed {
		state.failureEvidence = max(0, state.failureEvidence+math.Log((1-d.params.FaultyRate)/(1-d.params.BackgroundRate)))
		if state.failureEvidence == 0 {
			clear(state.failedTeams)
			state.failedRequests = 0
		}
		return
	}
	logRatio := math.Log(faultyRate / baselineRate)
	if logRatio <= 0 {
		return
	}
	state.failedTeams[s.Team] = true
	if !s.RanBefore {
		state.failedRequests++
	}
	state.failureEvidence = min(state.failureEvidence+logRatio, 2*d.params.FailureThreshold)
}

// addLatencyEvidence adds the evidence of the latency of a successful response, compared with the route's latencies on the
// other servers.
func (d *Detector) addLatencyEvidence(s Sample, r *route) {
	peerMedian, ok := r.peerMedian(s.Server)
	m := r.medians[s.Server]
	if m == nil {
		m = &median{}
		r.medians[s.Server] = m
	}
	m.add(s.Latency)
	if !ok {
		return
	}
	factor := d.params.SlowFactor
	if s.Cold {
		factor *= d.params.ColdFactor
	}
	slow := s.Latency > peerMedian+d.params.SlowMargin && float64(s.Latency) > factor*float64(peerMedian)
	baselineRate := max(d.params.SlowBackgroundRate, r.slowResponses.sumExcept(s.Server).rate(d.params.SlowBackgroundRate, slowPriorWeight))
	r.slowResponses.forServer(s.Server).add(slow)
	state := d.server(s.Server)
	if baselineRate >= d.params.SlowFaultyRate {
		return
	}
	logRatio := math.Log((1 - d.params.SlowFaultyRate) / (1 - baselineRate))
	if slow {
		logRatio = math.Log(d.params.SlowFaultyRate / baselineRate)
	}
	state.slowEvidence = min(max(0, state.slowEvidence+logRatio), 2*d.params.SlowThreshold)
}

// peerMedian returns the lower median of the other servers' median latencies.
func (r *route) peerMedian(server int) (time.Duration, bool) {
	var values []time.Duration
	for i, m := range r.medians {
		if i != server && m.count >= minLatencySamples {
			values = append(values, m.value())
		}
	}
	if len(values) == 0 {
		return 0, false
	}
	slices.Sort(values)
	return values[(len(values)-1)/2], true
}

// SlowSuspicion returns the evidence that a server is slow, as a fraction of the ejection threshold.
func (d *Detector) SlowSuspicion(id int) float64 {
	s, ok := d.servers[id]
	if !ok {
		return 0
	}
	return s.slowEvidence / d.params.SlowThreshold
}

// Suspicion returns the evidence that a server is failing or slow, as a fraction of the ejection threshold.
func (d *Detector) Suspicion(id int) float64 {
	s, ok := d.servers[id]
	if !ok {
		return 0
	}
	return max(s.failureEvidence/d.params.FailureThreshold, s.slowEvidence/d.params.SlowThreshold)
}

// ShouldEject reports whether the evidence suffices to eject a server, and for what reason.
func (d *Detector) ShouldEject(id int) (reason string, eject bool) {
	s, found := d.servers[id]
	if !found {
		return "", false
	}
	switch {
	case s.failureEvidence >= d.params.FailureThreshold && d.attributable(id, s):
		return "failing", true
	case s.slowEvidence >= d.params.SlowThreshold:
		return "slow", true
	default:
		return "", false
	}
}

// attributable reports whether the failures can be attributed to the server: several requests failed, and they came from
// several teams or the only team affected has requests that succeed on other servers.
func (d *Detector) attributable(id int, s *server) bool {
	if s.failedRequests < minFailedRequests {
		return false
	}
	if len(s.failedTeams) > 1 {
		return true
	}
	for teamID := range s.failedTeams {
		peers := d.team(teamID).sumExcept(id)
		if peers.trials-peers.hits >= minPeerSuccesses {
			return true
		}
	}
	return false
}

// SetSuspicion replaces the evidence against a server, given as a fraction of the ejection threshold. Suspicion above zero
// counts as one failed request.
func (d *Detector) SetSuspicion(id int, suspicion float64) {
	s := d.server(id)
	s.failureEvidence = suspicion * d.params.FailureThreshold
	s.slowEvidence = suspicion * d.params.SlowThreshold
	s.failedRequests = 0
	if suspicion > 0 {
		s.failedRequests = 1
	}
}

// Reset removes the evidence and the counts of a server.
func (d *Detector) Reset(id int) {
	delete(d.servers, id)
	for _, r := range d.routes {
		delete(r.failures, id)
		delete(r.slowResponses, id)
		delete(r.medians, id)
	}
	for _, tallies := range d.teams {
		delete(tallies, id)
	}
}

func (d *Detector) server(id int) *server {
	s := d.servers[id]
	if s == nil {
		s = &server{failedTeams: map[azuretiller.TeamID]bool{}}
		d.servers[id] = s
	}
	return s
}

func (d *Detector) route(id azuretiller.RouteID) *route {
	r := d.routes[id]
	if r == nil {
		r = &route{failures: serverTallies{}, slowResponses: serverTallies{}, medians: map[int]*median{}}
		d.routes[id] = r
	}
	return r
}

// team returns the tallies of a team. To stay within maxTeams it removes the team that was added first.
func (d *Detector) team(id azuretiller.TeamID) serverTallies {
	tallies, ok := d.teams[id]
	if ok {
		return tallies
	}
	if len(d.teamOrder) >= maxTeams {
		delete(d.teams, d.teamOrder[0])
		d.teamOrder = d.teamOrder[1:]
	}
	tallies = serverTallies{}
	d.teams[id] = tallies
	d.teamOrder = append(d.teamOrder, id)
	return tallies
}
