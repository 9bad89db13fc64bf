package pool_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/pool"
	"github.com/azuretiller/azuretiller/pkg/virtualtime"
)

const (
	testSlots    = 3
	tickInterval = 20 * time.Millisecond
	probeLatency = 25 * time.Millisecond
	// coldFactor is how many times longer a request takes on a completely cold server than on a warm one.
	coldFactor = 4
)

// fakeServer is a backend server of the simulation.
type fakeServer struct {
	id          azuretiller.ServerID
	failureRate float64
	slowFactor  float64
	unreachable bool
	running     int
	// warmth rises from 0 to 1 with the work done. It determines the speed and the capacity of the server.
	warmth       float64
	warmupWork   time.Duration
	overloadRuns int
	runs         int
	// faultActive reports whether the faults are active at a time, for servers that flap; nil means always.
	faultActive func(now time.Time) bool
}

// capacity returns how many requests the server can run at once without overload.
func (s *fakeServer) capacity() int { return 1 + int(float64(testSlots-1)*s.warmth) }

// simRequest is one request of the simulation.
type simRequest struct {
	team       azuretiller.TeamID
	route      azuretiller.RouteID
	idempotent bool
	readOnly   bool
	retries    int
	work       time.Duration
	// broken requests fail wherever they run.
	broken  bool
	timeout time.Duration
	started time.Time
	kind    pool.ResultKind
	runs    int
}

// sim drives one pool with fake servers in virtual time.
type sim struct {
	*virtualtime.Schedule
	random *rand.Rand
	pool   *pool.Pool
	pools  []*pool.Pool
	// former is the former owner of the pool while some senders still send requests to it.
	former   *pool.Pool
	servers  map[azuretiller.ServerID]*fakeServer
	requests map[pool.TicketID]*simRequest
	// retainedRequest is the request that each pool has retained for rechecks.
	retainedRequest map[*pool.Pool]*simRequest
	rechecks        map[recheckKey]*simRequest
	// enforceSlots means that no server may run more requests than its slots, counted over all pools.
	enforceSlots bool
	lastID       pool.TicketID
	logLines     []pool.LogLine
	// ejectedAt is when each server was first ejected.
	ejectedAt map[azuretiller.ServerID]time.Time
	ejections int
	onDone    func(req *simRequest, ok bool, code azuretiller.Code)
	sent      int
	cancelled map[pool.TicketID]bool
}

// recheckKey identifies a recheck of one pool.
type recheckKey struct {
	pool *pool.Pool
	id   pool.RecheckID
}

func serviceConfig(servers int) (config.Service, []config.Server) {
	service := config.Service{ID: "orders", Slots: testSlots, QueueLimit: 64, EjectionFloor: 0.5, RetryRatio: 0.1, Warmup: 10 * time.Second}
	for i := range servers {
		service.Servers = append(service.Servers, config.Server{ID: azuretiller.ServerID(fmt.Sprintf("s%d:80", i)), Zone: "a"})
	}
	return service, service.Servers
}

func newSim(seed uint64, serverCount int) *sim {
	s := &sim{
		Schedule:        virtualtime.New(time.Unix(1_700_000_000, 0)),
		random:          rand.New(rand.NewPCG(seed, 3)),
		servers:         map[azuretiller.ServerID]*fakeServer{},
		requests:        map[pool.TicketID]*simRequest{},
		retainedRequest: map[*pool.Pool]*simRequest{},
		rechecks:        map[recheckKey]*simRequest{},
		enforceSlots:    true,
		ejectedAt:       map[azuretiller.ServerID]time.Time{},
		cancelled:       map[pool.TicketID]bool{},
		onDone:          func(*simRequest, bool, azuretiller.Code) {},
	}
	service, servers := serviceConfig(serverCount)
	for _, c := range servers {
		s.servers[c.ID] = &fakeServer{id: c.ID, warmth: 1}
	}
	s.pool = pool.New(service, invariant.NewPanicking())
	s.addPool(s.pool, service, servers)
	return s
}

// addPool configures a pool, makes it the current owner and calls its Tick at every tickInterval.
func (s *sim) addPool(p *pool.Pool, service config.Service, servers []config.Server) {
	s.pool = p
	s.pools = append(s.pools, p)
	s.apply(p, p.Configure(s.Now(), service, servers))
	s.After(tickInterval, func() { s.tick(p) })
}

func (s *sim) tick(p *pool.Pool) {
	s.apply(p, p.Tick(s.Now()))
	s.After(tickInterval, func() { s.tick(p) })
}

func (s *sim) apply(p *pool.Pool, actions []pool.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case pool.Start:
			s.start(p, a)
		case pool.Refuse:
			req := s.requests[a.Ticket]
			delete(s.requests, a.Ticket)
			if a.Code == azuretiller.CodePoolMoved && p != s.pool {
				s.offerTo(s.pool, req)
				continue
			}
			s.onDone(req, false, a.Code)
		case pool.Deliver:
			req := s.requests[a.Ticket]
			delete(s.requests, a.Ticket)
			s.onDone(req, req.kind == pool.Succeeded, azuretiller.CodeOK)
		case pool.Retain:
			s.retainedRequest[p] = s.requests[a.Ticket]
		case pool.Recheck:
			s.recheck(p, a)
		case pool.Probe:
			server := s.servers[a.Server]
			s.After(probeLatency, func() { s.apply(p, p.FinishProbe(s.Now(), a.Server, !server.unreachable)) })
		case pool.LogLine:
			s.addLogLine(a)
		}
	}
}

func (s *sim) addLogLine(line pool.LogLine) {
	s.logLines = append(s.logLines, line)
	if line.Name != "server ejected" {
		return
	}
	s.ejections++
	if _, ok := s.ejectedAt[line.Server]; !ok {
		s.ejectedAt[line.Server] = s.Now()
	}
}

// offer sends a request to the current owner of the pool or, while some senders still use it, to the former owner.
func (s *sim) offer(req *simRequest) {
	if s.former != nil && s.random.IntN(2) == 0 {
		s.offerTo(s.former, req)
		return
	}
	s.offerTo(s.pool, req)
}

func (s *sim) offerTo(p *pool.Pool, req *simRequest) {
	s.lastID++
	id := s.lastID
	if req.started.IsZero() {
		req.started = s.Now()
	}
	if req.timeout == 0 {
		req.timeout = 3 * time.Second
	}
	s.requests[id] = req
	s.apply(p, p.Submit(s.Now(), pool.Ticket{
		ID:         id,
		Team:       req.team,
		Route:      req.route,
		Idempotent: req.idempotent,
		ReadOnly:   req.readOnly,
		Retries:    req.retries,
		Deadline:   req.started.Add(req.timeout),
	}))
}

func (s *sim) start(p *pool.Pool, a pool.Start) {
	req := s.requests[a.Ticket]
	s.run(req, a.Server, req.started.Add(req.timeout).Sub(s.Now()), func(kind pool.ResultKind, took time.Duration) {
		req.kind = kind
		s.apply(p, p.Finish(s.Now(), a.Ticket, pool.Result{Kind: kind, Latency: took, Replayable: true}))
	})
}

// recheck runs a successfully answered read once more.
func (s *sim) recheck(p *pool.Pool, a pool.Recheck) {
	key := recheckKey{p, a.ID}
	req, ok := s.rechecks[key]
	if !ok {
		req = s.retainedRequest[p]
		if !req.readOnly || req.kind != pool.Succeeded {
			panic("recheck of a request that was not retained or must not run again")
		}
	}
	s.rechecks[key] = req
	s.run(req, a.Server, req.timeout, func(kind pool.ResultKind, _ time.Duration) {
		s.apply(p, p.FinishRecheck(s.Now(), a.ID, kind))
	})
}

// run executes a request on a server and reports the kind of result and the latency.
func (s *sim) run(req *simRequest, id azuretiller.ServerID, timeout time.Duration, done func(pool.ResultKind, time.Duration)) {
	server := s.servers[id]
	s.sent++
	server.running++
	if s.enforceSlots && server.running > testSlots {
		panic("a server runs more requests than it has slots")
	}
	faulty := server.faultActive == nil || server.faultActive(s.Now())
	took := time.Duration(float64(req.work) * (1 + (coldFactor-1)*(1-server.warmth)))
	if faulty && server.slowFactor > 1 {
		took = time.Duration(float64(took) * server.slowFactor)
	}
	if server.running > server.capacity() {
		// An overloaded server becomes colder and slower.
		server.overloadRuns++
		server.warmth /= 2
		took *= 3
	}
	kind := pool.Succeeded
	if req.broken || faulty && s.random.Float64() < server.failureRate {
		kind = pool.Failed
	}
	if server.unreachable {
		kind = pool.Unreachable
		took = time.Millisecond
	} else {
		req.runs++
		server.runs++
	}
	if took > timeout {
		took = timeout
		kind = pool.TimedOut
	}
	s.After(took, func() {
		server.running--
		if server.warmupWork > 0 {
			server.warmth = min(1, server.warmth+float64(req.work)/float64(server.warmupWork))
		}
		done(kind, took)
	})
}

// arrivals offers requests as a Poisson process with the given mean rate until the end.
func (s *sim) arrivals(perSecond float64, end time.Time, make func() *simRequest) {
	gap := time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
	s.After(gap, func() {
		if s.Now().After(end) {
			return
		}
		s.offer(make())
		s.arrivals(perSecond, end, make)
	})
}

// warmUp sends requests that are not read-only until all servers count as warm, and resets the run counts.
func (s *sim) warmUp() {
	lookup := s.lookups(4, 0, 0.1)
	s.arrivals(60, s.Now().Add(30*time.Second), func() *simRequest {
		req := lookup()
		req.readOnly = false
		return req
	})
	s.Run(31 * time.Second)
	for _, server := range s.servers {
		server.runs = 0
	}
}

// heavyTailed returns a log-normally distributed duration of work with the given median.
func (s *sim) heavyTailed(median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*s.random.NormFloat64()))
}

func teamName(i int) azuretiller.TeamID { return azuretiller.TeamID(fmt.Sprintf("team%d", i)) }

// lookups returns a generator of requests of several teams. All are idempotent except for a share that may run only once.
func (s *sim) lookups(teams int, onceShare float64, sigma float64) func() *simRequest {
	return func() *simRequest {
		req := &simRequest{
			team:       teamName(s.random.IntN(teams)),
			route:      "orders/status",
			idempotent: s.random.Float64() >= onceShare,
			retries:    2,
			work:       s.heavyTailed(10*time.Millisecond, sigma),
		}
		req.readOnly = req.idempotent
		if !req.idempotent {
			req.route = "orders/confirm"
		}
		return req
	}
}
