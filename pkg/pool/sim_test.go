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
	testSlots = 3
	poolTick  = 20 * time.Millisecond
	probeTime = 25 * time.Millisecond
	// coldFactor is how many times longer work takes on a server that is all cold.
	coldFactor = 4
)

// fakeServer is a backend server of the simulation.
type fakeServer struct {
	id      azuretiller.ServerID
	fail    float64
	slow    float64
	dead    bool
	running int
	// warmth goes from 0 to 1 with the work done; a server that is not warm bears fewer requests at once.
	warmth   float64
	warmWork time.Duration
	overload int
	runs     int
	// failing tells for each time whether the faults are on, for servers that flap.
	failing func(now time.Time) bool
}

// bears returns how many requests at once the server can run without strain.
func (s *fakeServer) bears() int { return 1 + int(float64(testSlots-1)*s.warmth) }

// order is one request of the simulation.
type order struct {
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
	// former is the former home of the pool while senders still know it as the home.
	former  *pool.Pool
	servers map[azuretiller.ServerID]*fakeServer
	orders  map[pool.TicketID]*order
	// kept is the order that the pool wants kept for rechecks.
	kept     map[*pool.Pool]*order
	checking map[check]*order
	// exact means that no server may run more than its slots, whichever pools send it work.
	exact   bool
	next    pool.TicketID
	notices []pool.Notice
	// ejectedAt is when each server was first ejected.
	ejectedAt map[azuretiller.ServerID]time.Time
	ejections int
	done      func(o *order, ok bool, code azuretiller.Code)
	sent      int
	cancelled map[pool.TicketID]bool
}

// check is one recheck of one pool.
type check struct {
	pool *pool.Pool
	id   pool.RecheckID
}

func rules(servers int) (config.Service, []config.Server) {
	r := config.Service{ID: "orders", Slots: testSlots, Queue: 64, Floor: 0.5, Budget: 0.1, Warmup: 10 * time.Second}
	for i := range servers {
		r.Servers = append(r.Servers, config.Server{ID: azuretiller.ServerID(fmt.Sprintf("s%d:80", i)), Zone: "a"})
	}
	return r, r.Servers
}

func newSim(seed uint64, count int) *sim {
	s := &sim{
		Schedule:  virtualtime.New(time.Unix(1_700_000_000, 0)),
		random:    rand.New(rand.NewPCG(seed, 3)),
		servers:   map[azuretiller.ServerID]*fakeServer{},
		orders:    map[pool.TicketID]*order{},
		kept:      map[*pool.Pool]*order{},
		checking:  map[check]*order{},
		exact:     true,
		ejectedAt: map[azuretiller.ServerID]time.Time{},
		cancelled: map[pool.TicketID]bool{},
		done:      func(*order, bool, azuretiller.Code) {},
	}
	service, servers := rules(count)
	for _, c := range servers {
		s.servers[c.ID] = &fakeServer{id: c.ID, warmth: 1}
	}
	s.pool = pool.New(service, invariant.NewPanicking())
	s.adopt(s.pool, service, servers)
	return s
}

// adopt configures a pool and drives its time.
func (s *sim) adopt(p *pool.Pool, service config.Service, servers []config.Server) {
	s.pool = p
	s.pools = append(s.pools, p)
	s.act(p, p.Configure(s.Now(), service, servers))
	s.After(poolTick, func() { s.tick(p) })
}

func (s *sim) tick(p *pool.Pool) {
	s.act(p, p.Tick(s.Now()))
	s.After(poolTick, func() { s.tick(p) })
}

func (s *sim) act(p *pool.Pool, actions []pool.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case pool.Start:
			s.start(p, a)
		case pool.Refuse:
			o := s.orders[a.Ticket]
			delete(s.orders, a.Ticket)
			if a.Code == azuretiller.CodePoolMoved && p != s.pool {
				s.offerTo(s.pool, o)
				continue
			}
			s.done(o, false, a.Code)
		case pool.Deliver:
			o := s.orders[a.Ticket]
			delete(s.orders, a.Ticket)
			s.done(o, o.kind == pool.Succeeded, azuretiller.CodeOK)
		case pool.Keep:
			s.kept[p] = s.orders[a.Ticket]
		case pool.Recheck:
			s.recheck(p, a)
		case pool.Probe:
			server := s.servers[a.Server]
			s.After(probeTime, func() { s.act(p, p.Probed(s.Now(), a.Server, !server.dead)) })
		case pool.Notice:
			s.notice(a)
		}
	}
}

func (s *sim) notice(n pool.Notice) {
	s.notices = append(s.notices, n)
	if n.Name != "server ejected" {
		return
	}
	s.ejections++
	if _, ok := s.ejectedAt[n.Server]; !ok {
		s.ejectedAt[n.Server] = s.Now()
	}
}

// offer sends an order to the pool, or to its former home while the sender does not know better.
func (s *sim) offer(o *order) {
	if s.former != nil && s.random.IntN(2) == 0 {
		s.offerTo(s.former, o)
		return
	}
	s.offerTo(s.pool, o)
}

func (s *sim) offerTo(p *pool.Pool, o *order) {
	s.next++
	id := s.next
	if o.started.IsZero() {
		o.started = s.Now()
	}
	if o.timeout == 0 {
		o.timeout = 3 * time.Second
	}
	s.orders[id] = o
	s.act(p, p.Offer(s.Now(), pool.Ticket{
		ID:         id,
		Team:       o.team,
		Route:      o.route,
		Idempotent: o.idempotent,
		ReadOnly:   o.readOnly,
		Retries:    o.retries,
		Deadline:   o.started.Add(o.timeout),
	}))
}

func (s *sim) start(p *pool.Pool, a pool.Start) {
	o := s.orders[a.Ticket]
	s.run(o, a.Server, o.started.Add(o.timeout).Sub(s.Now()), func(kind pool.ResultKind, took time.Duration) {
		o.kind = kind
		s.act(p, p.Finish(s.Now(), a.Ticket, pool.Result{Kind: kind, Latency: took, Replayable: true}))
	})
}

// recheck runs a read that was answered well once more.
func (s *sim) recheck(p *pool.Pool, a pool.Recheck) {
	key := check{p, a.ID}
	o, ok := s.checking[key]
	if !ok {
		o = s.kept[p]
		if !o.readOnly || o.kind != pool.Succeeded {
			panic("recheck of an order that is not kept or must not run again")
		}
	}
	s.checking[key] = o
	s.run(o, a.Server, o.timeout, func(kind pool.ResultKind, _ time.Duration) {
		s.act(p, p.Rechecked(s.Now(), a.ID, kind))
	})
}

// run lets a server work on an order and tells what came of it.
func (s *sim) run(o *order, id azuretiller.ServerID, limit time.Duration, done func(pool.ResultKind, time.Duration)) {
	server := s.servers[id]
	s.sent++
	server.running++
	if s.exact && server.running > testSlots {
		panic("a server runs more than its slots")
	}
	faulty := server.failing == nil || server.failing(s.Now())
	took := time.Duration(float64(o.work) * (1 + (coldFactor-1)*(1-server.warmth)))
	if faulty && server.slow > 1 {
		took = time.Duration(float64(took) * server.slow)
	}
	if server.running > server.bears() {
		// A server with more than it bears falls back.
		server.overload++
		server.warmth /= 2
		took *= 3
	}
	kind := pool.Succeeded
	if o.broken || faulty && s.random.Float64() < server.fail {
		kind = pool.Failed
	}
	if server.dead {
		kind = pool.Unreachable
		took = time.Millisecond
	} else {
		o.runs++
		server.runs++
	}
	if took > limit {
		took = limit
		kind = pool.TimedOut
	}
	s.After(took, func() {
		server.running--
		if server.warmWork > 0 {
			server.warmth = min(1, server.warmth+float64(o.work)/float64(server.warmWork))
		}
		done(kind, took)
	})
}

// arrivals offers orders at random times with a mean rate until an end.
func (s *sim) arrivals(perSecond float64, end time.Time, make func() *order) {
	gap := time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
	s.After(gap, func() {
		if s.Now().After(end) {
			return
		}
		s.offer(make())
		s.arrivals(perSecond, end, make)
	})
}

// warmUp runs traffic of writes until all servers count as warm, and forgets their runs.
func (s *sim) warmUp() {
	lookup := s.lookups(4, 0, 0.1)
	s.arrivals(60, s.Now().Add(30*time.Second), func() *order {
		o := lookup()
		o.readOnly = false
		return o
	})
	s.Run(31 * time.Second)
	for _, server := range s.servers {
		server.runs = 0
	}
}

// heavyTailed returns a time of work with a log-normal distribution around a median.
func (s *sim) heavyTailed(median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*s.random.NormFloat64()))
}

func teamName(i int) azuretiller.TeamID { return azuretiller.TeamID(fmt.Sprintf("team%d", i)) }

// lookups makes idempotent requests of several teams, of which a share may run only once.
func (s *sim) lookups(teams int, once float64, sigma float64) func() *order {
	return func() *order {
		o := &order{
			team:       teamName(s.random.IntN(teams)),
			route:      "orders/status",
			idempotent: s.random.Float64() >= once,
			retries:    2,
			work:       s.heavyTailed(10*time.Millisecond, sigma),
		}
		o.readOnly = o.idempotent
		if !o.idempotent {
			o.route = "orders/confirm"
		}
		return o
	}
}
