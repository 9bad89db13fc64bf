package pool

import (
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/budget"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/detector"
	"github.com/azuretiller/azuretiller/pkg/exchange"
	"github.com/azuretiller/azuretiller/pkg/fairqueue"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/ramp"
)

const (
	// waitShare is the share of a request's time that it may spend waiting for a slot.
	waitShare = 0.4
	longWait  = 3 * time.Second
	// heavyFactor is the multiple of the usual slot time from which a route counts as heavy.
	heavyFactor = 8
	// heavyShare is the share of the slots that heavy routes may take together.
	heavyShare = 2.0 / 3
	// slotTimeWeight is the weight of the newest value in the average slot time.
	slotTimeWeight  = 0.1
	defaultSlotTime = 25 * time.Millisecond
	// suspect is the suspicion from which a server is kept away from requests that may run only once.
	suspect = 0.15
	// coldSuspicion is the evidence for slowness from which a server is treated as cold.
	coldSuspicion = 0.4
	// retryShare is the part of a service's retry budget that serves callers; rechecks get the rest.
	retryShare   = 0.7
	retryReserve = 10
	// verifying is how many idempotent requests at once a suspected server is given to settle the matter.
	verifying = 2
)

// Pool holds the servers of one pool and the requests that run or wait; it has no clock of its own.
type Pool struct {
	rules    config.Service
	check    *invariant.Checker
	servers  []*server
	queue    *fairqueue.Queue[azuretiller.TeamID, azuretiller.RouteID, *request]
	requests map[TicketID]*request
	rechecks map[RecheckID]*recheck
	// sound is the newest request that can be run again anywhere; its ticket is zero when there is none.
	sound       soundRead
	lastRecheck RecheckID
	// moved means that another VM decides for the pool now.
	moved bool
	// heldUntil is when requests are started even if the former home has not answered.
	heldUntil time.Time
	detector  *detector.Detector
	// retries and spare are what callers' retries and rechecks may add to the load.
	retries  *budget.Budget
	spare    *budget.Budget
	slotTime map[azuretiller.RouteID]time.Duration
	usual    time.Duration
	heavy    int
	indexes  int
	starts   uint64
}

// New returns a pool without servers.
func New(rules config.Service, check *invariant.Checker) *Pool {
	return &Pool{
		rules:    rules,
		check:    check,
		queue:    fairqueue.New[azuretiller.TeamID, azuretiller.RouteID, *request](),
		requests: map[TicketID]*request{},
		rechecks: map[RecheckID]*recheck{},
		detector: detector.New(detector.DefaultParams()),
		retries:  budget.New(retryShare*rules.Budget, retryReserve, 1),
		spare:    budget.New((1-retryShare)*rules.Budget, recheckReserve, recheckReserve),
		slotTime: map[azuretiller.RouteID]time.Duration{},
	}
}

// Configure replaces the rules and servers; a server that stays keeps its state, a new one starts cold.
func (p *Pool) Configure(now time.Time, rules config.Service, servers []config.Server) []Action {
	p.rules = rules
	p.retries.SetRatio(retryShare * rules.Budget)
	p.spare.SetRatio((1 - retryShare) * rules.Budget)
	var next []*server
	for _, c := range servers {
		s := p.find(c.ID)
		if s == nil {
			p.indexes++
			s = &server{id: c.ID, index: p.indexes, ramp: ramp.New(rules.Slots, now), phase: active}
		}
		s.draining = c.Drain
		s.ramp.SetSlots(rules.Slots)
		next = append(next, s)
	}
	for _, s := range p.servers {
		if !slices.Contains(next, s) {
			s.draining = true
			p.detector.Forget(s.index)
		}
	}
	p.servers = next
	return p.pump(now)
}

// Offer asks for a request to be run.
func (p *Pool) Offer(now time.Time, t Ticket) []Action {
	if p.moved {
		return []Action{Refuse{Ticket: t.ID, Code: azuretiller.CodePoolMoved, RetryAfter: movedRetry}}
	}
	if !p.anyUsable() {
		return []Action{Refuse{Ticket: t.ID, Code: azuretiller.CodeNoServer, RetryAfter: p.soonest(now)}}
	}
	if t.Retry && !p.retries.Spend() {
		return []Action{Refuse{Ticket: t.ID, Code: azuretiller.CodeOverloaded, RetryAfter: time.Second}}
	}
	if !t.Retry {
		p.retries.Request()
		p.spare.Request()
	}
	r := &request{ticket: t, queued: now, waitUntil: waitLimit(now, t.Deadline)}
	var actions []Action
	if p.queue.Len() >= p.rules.Queue && len(p.pickFree(now)) == 0 {
		victim := p.longestFlow(t)
		if victim == t.Team {
			return []Action{Refuse{Ticket: t.ID, Code: azuretiller.CodeOverloaded, RetryAfter: p.drainTime()}}
		}
		actions = p.evict(victim)
	}
	p.requests[t.ID] = r
	p.queue.Push(t.Team, t.Weight, t.Route, r)
	return append(actions, p.pump(now)...)
}

func waitLimit(now, deadline time.Time) time.Time {
	wait := time.Duration(float64(deadline.Sub(now)) * waitShare)
	return now.Add(min(wait, longWait))
}

// Cancel ends a request that is waiting; one that runs is ended by its result.
func (p *Pool) Cancel(now time.Time, id TicketID) []Action {
	removed := p.queue.Remove(func(r *request) bool { return r.ticket.ID == id })
	for _, r := range removed {
		delete(p.requests, r.ticket.ID)
	}
	return p.pump(now)
}

// Finish takes the result of an attempt and frees its slot.
func (p *Pool) Finish(now time.Time, id TicketID, result Result) []Action {
	r, ok := p.requests[id]
	p.check.That(ok && r.server != nil, "result for request %d that does not run", id)
	if !ok || r.server == nil {
		return nil
	}
	s := r.server
	r.server = nil
	s.busy--
	p.learnSlotTime(r, now.Sub(r.started))
	if r.heavy {
		p.heavy--
		r.heavy = false
	}
	actions := p.judge(now, r, s, result)
	retried := p.retry(now, r, result)
	if result.Kind.Blames() {
		actions = append(actions, p.blame(now, r, s, retried)...)
	}
	if !retried {
		delete(p.requests, id)
		actions = append(actions, Deliver{Ticket: id})
	}
	return append(actions, p.pump(now)...)
}

// retry puts a request back into the queue when it may and can run on another server.
func (p *Pool) retry(now time.Time, r *request, result Result) bool {
	if p.moved || !result.Replayable || r.ticket.Retries <= 0 || result.Kind == Succeeded || result.Kind == Cancelled {
		return false
	}
	if !r.ticket.Idempotent && !result.Kind.NotRun() {
		return false
	}
	remaining := r.ticket.Deadline.Sub(now)
	if remaining < p.expected(r.ticket.Route) || !p.alternative(r) {
		return false
	}
	if result.Kind != Unreachable && !p.retries.Spend() {
		return false
	}
	r.ticket.Retries--
	r.queued = now
	r.waitUntil = waitLimit(now, r.ticket.Deadline)
	p.queue.Push(r.ticket.Team, r.ticket.Weight, r.ticket.Route, r)
	return true
}

// alternative reports whether a server is left that the request was not sent to.
func (p *Pool) alternative(r *request) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return s.usable() && !r.triedOn(s)
	})
}

// Tick advances time: it ends waits, ejections and pauses.
func (p *Pool) Tick(now time.Time) []Action {
	var actions []Action
	for _, r := range p.queue.Remove(func(r *request) bool { return !now.Before(r.waitUntil) }) {
		delete(p.requests, r.ticket.ID)
		actions = append(actions, p.endWait(r, azuretiller.CodeQueueTimeout)...)
	}
	for _, s := range p.servers {
		if s.phase == ejected && !s.draining && !now.Before(s.until) {
			s.phase = probing
			actions = append(actions, Probe{Server: s.id})
		}
	}
	return append(actions, p.pump(now)...)
}

// endWait refuses a request that never ran, and delivers the earlier result of one that waited for a retry.
func (p *Pool) endWait(r *request, code azuretiller.Code) []Action {
	p.settleHeld(r)
	if r.starts > r.notRuns {
		return []Action{Deliver{Ticket: r.ticket.ID}}
	}
	return []Action{Refuse{Ticket: r.ticket.ID, Code: code, RetryAfter: p.drainTime()}}
}

// pump starts waiting requests while servers have room.
func (p *Pool) pump(now time.Time) []Action {
	var actions []Action
	for p.queue.Len() > 0 {
		free := p.pickFree(now)
		if len(free) == 0 {
			break
		}
		var chosen *server
		r, ok := p.queue.Pop(func(r *request) (float64, bool) {
			if p.isHeavy(r.ticket.Route) && p.heavy >= p.heavyLimit() {
				return 0, false
			}
			chosen = p.choose(now, free, r)
			return p.expected(r.ticket.Route).Seconds(), chosen != nil
		})
		if !ok {
			break
		}
		actions = append(actions, p.start(now, r, chosen))
	}
	return actions
}

func (p *Pool) start(now time.Time, r *request, s *server) Action {
	p.check.That(s.taken() < p.rules.Slots, "server %s would run %d requests with %d slots", s.id, s.taken()+1, p.rules.Slots)
	p.check.That(!p.moved, "a pool that moved would start request %d", r.ticket.ID)
	p.check.That(s.usable(), "server %s is %s or draining and would get work", s.id, s.phase)
	p.check.That(r.ticket.Idempotent || r.starts == r.notRuns, "request %d would run twice", r.ticket.ID)
	s.busy++
	p.starts++
	s.lastStart = p.starts
	r.server = s
	r.starts++
	r.started = now
	r.tried = append(r.tried, s)
	if p.isHeavy(r.ticket.Route) {
		r.heavy = true
		p.heavy++
	}
	return Start{Ticket: r.ticket.ID, Server: s.id, Queued: now.Sub(r.queued)}
}

func (p *Pool) expected(route azuretiller.RouteID) time.Duration {
	if t, ok := p.slotTime[route]; ok {
		return t
	}
	return defaultSlotTime
}

func (p *Pool) learnSlotTime(r *request, took time.Duration) {
	route := r.ticket.Route
	old, ok := p.slotTime[route]
	if !ok {
		old = took
	}
	p.slotTime[route] = time.Duration((1-slotTimeWeight)*float64(old) + slotTimeWeight*float64(took))
	// The usual slot time is that of the lightest route, so that heavy ones cannot raise the measure they are held to.
	p.usual = p.slotTime[route]
	for _, t := range p.slotTime {
		p.usual = min(p.usual, t)
	}
}

func (p *Pool) find(id azuretiller.ServerID) *server {
	for _, s := range p.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

func (p *Pool) anyUsable() bool {
	return slices.ContainsFunc(p.servers, (*server).usable)
}

// soonest returns the time until a server may come back.
func (p *Pool) soonest(now time.Time) time.Duration {
	wait := longestEjection
	for _, s := range p.servers {
		if s.phase == ejected && !s.draining {
			wait = min(wait, s.outFor(now)+reconnectAfter)
		}
	}
	return wait
}

// drainTime estimates how long the queue takes to empty.
func (p *Pool) drainTime() time.Duration {
	load := p.Load()
	work := time.Duration(load.Waiting+load.Busy) * max(p.usual, defaultSlotTime)
	return work / time.Duration(max(load.Capacity, 1))
}

// Load returns the state of the pool for entry VMs.
func (p *Pool) Load() exchange.Load {
	load := exchange.Load{Waiting: p.queue.Len()}
	for _, s := range p.servers {
		load.Busy += s.busy
		if s.usable() {
			load.Capacity += s.ramp.Size()
		}
	}
	return load
}
