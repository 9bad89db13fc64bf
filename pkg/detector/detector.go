package detector

import (
	"math"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

const (
	// maxTeams bounds the teams whose failures are compared between servers.
	maxTeams = 512
	// priorWeight makes a few failures elsewhere count against the request rather than the server.
	priorWeight = 2
	slowWeight  = 20
	// goodElsewhere is how many successes on other servers show that a team's requests are sound.
	goodElsewhere = 3
	// fewRequests keeps a single request that a server cannot serve from ejecting it.
	fewRequests = 2
	// fewSamples is how many latencies a server needs before it serves as a measure for others.
	fewSamples = 8
)

// Detector weighs the results of the servers of one pool, which are numbered by the caller.
type Detector struct {
	params  Params
	servers map[int]*server
	routes  map[azuretiller.RouteID]*route
	teams   map[azuretiller.TeamID]group
	order   []azuretiller.TeamID
}

type server struct {
	failure float64
	slow    float64
	// accusers are the teams whose failures make up the evidence.
	accusers map[azuretiller.TeamID]bool
	// requests counts the requests whose failures make it up, however often each of them failed.
	requests int
}

type route struct {
	failures group
	slow     group
	medians  map[int]*median
}

// Sample is the result of one request on one server.
type Sample struct {
	Server int
	Team   azuretiller.TeamID
	Route  azuretiller.RouteID
	Failed bool
	// Repeat means that the request ran in this pool before, so that its latency and further failures are no news.
	Repeat  bool
	Latency time.Duration
	// Cold means that the server may be slow because it is cold.
	Cold bool
}

// New returns a detector without evidence.
func New(params Params) *Detector {
	return &Detector{
		params:  params,
		servers: map[int]*server{},
		routes:  map[azuretiller.RouteID]*route{},
		teams:   map[azuretiller.TeamID]group{},
	}
}

// Observe weighs one result.
func (d *Detector) Observe(s Sample) {
	r := d.route(s.Route)
	team := d.team(s.Team)
	d.weighFailure(s, r, team)
	r.failures.of(s.Server).add(s.Failed)
	team.of(s.Server).add(s.Failed)
	if s.Failed || s.Repeat {
		return
	}
	d.weighLatency(s, r)
}

// Excuse notes a request that failed on two servers, so that it speaks against neither.
func (d *Detector) Excuse(teamID azuretiller.TeamID, first, second int) {
	team := d.team(teamID)
	team.of(first).add(true)
	team.of(second).add(true)
}

func (d *Detector) weighFailure(s Sample, r *route, team group) {
	byRoute := r.failures.others(s.Server)
	byTeam := team.others(s.Server)
	normal := max(d.params.Background, byRoute.rate(0, priorWeight), byTeam.rate(0, priorWeight))
	faulty := max(d.params.Faulty, normal)
	state := d.server(s.Server)
	if !s.Failed {
		state.failure = max(0, state.failure+math.Log((1-d.params.Faulty)/(1-d.params.Background)))
		if state.failure == 0 {
			clear(state.accusers)
			state.requests = 0
		}
		return
	}
	weight := math.Log(faulty / normal)
	if weight <= 0 {
		return
	}
	state.accusers[s.Team] = true
	if !s.Repeat {
		state.requests++
	}
	state.failure = min(state.failure+weight, 2*d.params.FailureLimit)
}

func (d *Detector) weighLatency(s Sample, r *route) {
	usual, ok := r.usual(s.Server)
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
		factor *= d.params.ColdAllowance
	}
	slow := s.Latency > usual+d.params.SlowMargin && float64(s.Latency) > factor*float64(usual)
	normal := max(d.params.SlowBackground, r.slow.others(s.Server).rate(d.params.SlowBackground, slowWeight))
	r.slow.of(s.Server).add(slow)
	state := d.server(s.Server)
	if normal >= d.params.SlowFaulty {
		return
	}
	weight := math.Log((1 - d.params.SlowFaulty) / (1 - normal))
	if slow {
		weight = math.Log(d.params.SlowFaulty / normal)
	}
	state.slow = min(max(0, state.slow+weight), 2*d.params.SlowLimit)
}

// usual returns the lower median of the other servers' median latencies.
func (r *route) usual(server int) (time.Duration, bool) {
	var values []time.Duration
	for i, m := range r.medians {
		if i != server && m.count >= fewSamples {
			values = append(values, m.value())
		}
	}
	if len(values) == 0 {
		return 0, false
	}
	slices.Sort(values)
	return values[(len(values)-1)/2], true
}

// Slowness returns the evidence that a server is slow as a share of what ejects it.
func (d *Detector) Slowness(id int) float64 {
	s, ok := d.servers[id]
	if !ok {
		return 0
	}
	return s.slow / d.params.SlowLimit
}

// Suspicion returns the evidence against a server as a share of what ejects it.
func (d *Detector) Suspicion(id int) float64 {
	s, ok := d.servers[id]
	if !ok {
		return 0
	}
	return max(s.failure/d.params.FailureLimit, s.slow/d.params.SlowLimit)
}

// Convicted reports whether the evidence suffices to eject a server, and why.
func (d *Detector) Convicted(id int) (reason string, ok bool) {
	s, known := d.servers[id]
	if !known {
		return "", false
	}
	switch {
	case s.failure >= d.params.FailureLimit && d.sound(id, s):
		return "failing", true
	case s.slow >= d.params.SlowLimit:
		return "slow", true
	default:
		return "", false
	}
}

// sound reports whether the failures can be the server's: several requests failed, and several teams saw it or the one
// team's requests succeed elsewhere.
func (d *Detector) sound(id int, s *server) bool {
	if s.requests < fewRequests {
		return false
	}
	if len(s.accusers) > 1 {
		return true
	}
	for teamID := range s.accusers {
		elsewhere := d.team(teamID).others(id)
		if elsewhere.trials-elsewhere.hits >= goodElsewhere {
			return true
		}
	}
	return false
}

// Prime sets the evidence against a server, as a share of what ejects it.
func (d *Detector) Prime(id int, share float64) {
	s := d.server(id)
	s.failure = share * d.params.FailureLimit
	s.slow = share * d.params.SlowLimit
	s.requests = 0
	if share > 0 {
		s.requests = 1
	}
}

// Forget drops a server.
func (d *Detector) Forget(id int) {
	delete(d.servers, id)
	for _, r := range d.routes {
		delete(r.failures, id)
		delete(r.slow, id)
		delete(r.medians, id)
	}
	for _, g := range d.teams {
		delete(g, id)
	}
}

func (d *Detector) server(id int) *server {
	s := d.servers[id]
	if s == nil {
		s = &server{accusers: map[azuretiller.TeamID]bool{}}
		d.servers[id] = s
	}
	return s
}

func (d *Detector) route(id azuretiller.RouteID) *route {
	r := d.routes[id]
	if r == nil {
		r = &route{failures: group{}, slow: group{}, medians: map[int]*median{}}
		d.routes[id] = r
	}
	return r
}

// team returns the tallies of a team and forgets the one that was added first when there are too many.
func (d *Detector) team(id azuretiller.TeamID) group {
	g, ok := d.teams[id]
	if ok {
		return g
	}
	if len(d.order) >= maxTeams {
		delete(d.teams, d.order[0])
		d.order = d.order[1:]
	}
	g = group{}
	d.teams[id] = g
	d.order = append(d.order, id)
	return g
}
