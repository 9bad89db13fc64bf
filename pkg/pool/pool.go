package pool

import (
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/detector"
	"github.com/azuretiller/azuretiller/pkg/fairqueue"
	"github.com/azuretiller/azuretiller/pkg/forward"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/ramp"
	"github.com/azuretiller/azuretiller/pkg/retrybudget"
)

const (
	// maxWaitShare is the share of a request's remaining time that it may spend waiting for a slot.
	maxWaitShare = 0.4
	// maxWait is the longest time that any request waits for a slot.
	maxWait = 3 * time.Second
	// heavyFactor is the multiple of the lightest route's slot time above which a route counts as heavy.
	heavyFactor = 8
	// heavyShare is the share of the slots that heavy routes may take together.
	heavyShare = 2.0 / 3
	// slotTimeWeight is the weight of the newest value in the average slot time.
	slotTimeWeight = 0.1
	// defaultSlotTime is the slot time that is assumed for a route without results.
	defaultSlotTime = 25 * time.Millisecond
	// suspectThreshold is the suspicion from which idempotent requests test a server and other requests avoid it. A server on
	// trial whose suspicion exceeds it fails the trial.
	suspectThreshold = 0.15
	// coldThreshold is the suspicion of slowness from which a server is treated as cold.
	coldThreshold = 0.4
	// retryShare is the share of a service's retry budget for retries of requests; rechecks get the rest.
	retryShare = 0.7
	// retryReserve is how many retries may be saved up.
	retryReserve = 10
	// maxVerifications is the number of requests on a suspected server at which no more are directed to it to test it.
	maxVerifications = 2
)

// Pool holds the servers of one pool and the requests that run or wait. It has no clock; callers pass the current time.
type Pool struct {
	service  config.Service
	check    *invariant.Checker
	servers  []*server
	queue    *fairqueue.Queue[azuretiller.TeamID, azuretiller.RouteID, *requestState]
	requests map[TicketID]*requestState
	rechecks map[RecheckID]*recheck
	// knownGood is the newest read that can be run again on any server. Its ticket is zero if there is none.
	knownGood   knownGoodRead
	lastRecheck RecheckID
	// moved means that the pool was handed over to another VM, which is now its owner.
	moved bool
	// heldUntil is the time from which requests start even if the former owner has not answered.
	heldUntil time.Time
	detector  *detector.Detector
	// retryBudget limits the load that retries of requests add, and recheckBudget the load that rechecks add.
	retryBudget   *retrybudget.Budget
	recheckBudget *retrybudget.Budget
	// slotTime is the average time that a request of each route occupies a slot.
	slotTime map[azuretiller.RouteID]time.Duration
	// lightestSlotTime is the slot time of the lightest route, the one with the shortest slot time.
	lightestSlotTime time.Duration
	// heavyRunning is how many requests of heavy routes are running.
	heavyRunning int
	// lastIndex is the index of the newest server; the detector identifies servers by their index.
	lastIndex int
	// startCount is how many attempts the pool has started.
	startCount uint64
}

// New returns a pool without servers.
func New(service config.Service, check *invariant.Checker) *Pool {
	return &Pool{
		service:       service,
		check:         check,
		queue:         fairqueue.New[azuretiller.TeamID, azuretiller.RouteID, *requestState](),
		requests:      map[TicketID]*requestState{},
		rechecks:      map[RecheckID]*recheck{},
		detector:      detector.New(detector.DefaultParams()),
		retryBudget:   retrybudget.New(retryShare*service.RetryRatio, retryReserve, 1),
		recheckBudget: retrybudget.New((1-retryShare)*service.RetryRatio, recheckReserve, recheckReserve),
		slotTime:      map[azuretiller.RouteID]time.Duration{},
	}
}

// Configure replaces the configuration of the service and the servers. A server that stays keeps its state; a new one starts cold.
func (p *Pool) Configure(now time.Time, service config.Service, servers []config.Server) []Action {
	p.service = service
	p.retryBudget.SetRatio(retryShare * service.RetryRatio)
	p.recheckBudget.SetRatio((1 - retryShare) * service.RetryRatio)
	var next []*server
	for _, c := range servers {
		s := p.find(c.ID)
		if s == nil {
			p.lastIndex++
			s = &server{id: c.ID, index: p.lastIndex, ramp: ramp.New(service.Slots, now), phase: active}
		}
		s.draining = c.Draining
		s.ramp.SetSlots(service.Slots)
		next = append(next, s)
	}
	for _, s := range p.servers {
		if !slices.Contains(next, s) {
			s.draining = true
			p.detector.Reset(s.index)
		}
	}
	p.servers = next
	return p.startQueued(now)
}

// Submit queues a request and starts it if a server has a free slot. If the queue is full, a request of the team with the
// largest backlog is refused.
func (p *Pool) Submit(now time.Time, t Ticket) []Action {
	if p.moved {
		return []Action{Refuse{Ticket: t.ID, Code: azuretiller.CodePoolMoved, RetryAfter: movedRetryAfter}}
	}
	if !p.anyUsable() {
		return []Action{Refuse{Ticket: t.ID, Code: azuretiller.CodeNoServer, RetryAfter: p.timeToNextServer(now)}}
	}
	if t.IsRetry && !p.retryBudget.Withdraw() {
		return []Action{Refuse{Ticket: t.ID, Code: azuretiller.CodeOverloaded, RetryAfter: time.Second}}
	}
	if !t.IsRetry {
		p.retryBudget.Deposit()
		p.recheckBudget.Deposit()
	}
	r := &requestState{ticket: t, queued: now, waitUntil: waitLimit(now, t.Deadline)}
	var actions []Action
	if p.queue.Len() >= p.service.QueueLimit && len(p.freeServers(now)) == 0 {
		evictedTeam := p.largestBacklog(t)
		if evictedTeam == t.Team {
			return []Action{Refuse{Ticket: t.ID, Code: azuretiller.CodeOverloaded, RetryAfter: p.drainTime()}}
		}
		actions = p.evict(evictedTeam)
	}
	p.requests[t.ID] = r
	p.queue.Push(t.Team, t.Weight, t.Route, r)
	return append(actions, p.startQueued(now)...)
}

// waitLimit returns the time until which a request may wait for a slot.
func waitLimit(now, deadline time.Time) time.Time {
	wait := time.Duration(float64(deadline.Sub(now)) * maxWaitShare)
	return now.Add(min(wait, maxWait))
}

// Cancel removes a request that is waiting. A request that runs ends with its result.
func (p *Pool) Cancel(now time.Time, id TicketID) []Action {
	removed := p.queue.Remove(func(r *requestState) bool { return r.ticket.ID == id })
	for _, r := range removed {
		delete(p.requests, r.ticket.ID)
	}
	return p.startQueued(now)
}

// Finish takes the result of an attempt and frees its slot.
func (p *Pool) Finish(now time.Time, id TicketID, result Result) []Action {
	r, ok := p.requests[id]
	p.check.Assert(ok && r.server != nil, "result for request %d, which is not running", id)
	if !ok || r.server == nil {
		return nil
	}
	s := r.server
	r.server = nil
	s.busy--
	p.updateSlotTime(r, now.Sub(r.started))
	if r.heavy {
		p.heavyRunning--
		r.heavy = false
	}
	actions := p.observeResult(now, r, s, result)
	retried := p.retry(now, r, result)
	if result.Kind.IsServerFault() {
		actions = append(actions, p.observeFailure(now, r, s, retried)...)
	}
	if !retried {
		delete(p.requests, id)
		actions = append(actions, Deliver{Ticket: id})
	}
	return append(actions, p.startQueued(now)...)
}

// retry puts a request back into the queue if it may be sent again and another server can run it.
func (p *Pool) retry(now time.Time, r *requestState, result Result) bool {
	if p.moved || !result.Replayable || r.ticket.Retries <= 0 || result.Kind == Succeeded || result.Kind == Cancelled {
		return false
	}
	if !r.ticket.Idempotent && !result.Kind.NotRun() {
		return false
	}
	remaining := r.ticket.Deadline.Sub(now)
	if remaining < p.expectedSlotTime(r.ticket.Route) || !p.hasAlternative(r) {
		return false
	}
	if result.Kind != Unreachable && !p.retryBudget.Withdraw() {
		return false
	}
	r.ticket.Retries--
	r.queued = now
	r.waitUntil = waitLimit(now, r.ticket.Deadline)
	p.queue.Push(r.ticket.Team, r.ticket.Weight, r.ticket.Route, r)
	return true
}

// hasAlternative reports whether there is a usable server to which the request has not been sent.
func (p *Pool) hasAlternative(r *requestState) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return s.usable() && !r.triedOn(s)
	})
}

// Tick advances time: it ends waits that took too long, probes servers whose ejection is over and starts waiting
// requests.
func (p *Pool) Tick(now time.Time) []Action {
	var actions []Action
	for _, r := range p.queue.Remove(func(r *requestState) bool { return !now.Before(r.waitUntil) }) {
		delete(p.requests, r.ticket.ID)
		actions = append(actions, p.endWait(r, azuretiller.CodeQueueTimeout)...)
	}
	for _, s := range p.servers {
		if s.phase == ejected && !s.draining && !now.Before(s.ejectedUntil) {
			s.phase = probing
			actions = append(actions, Probe{Server: s.id})
		}
	}
	return append(actions, p.startQueued(now)...)
}

// endWait refuses a request that was never executed, and delivers the earlier result of one that waited for a retry.
func (p *Pool) endWait(r *requestState, code azuretiller.Code) []Action {
	p.observeDeferredFailure(r)
	if r.starts > r.notExecuted {
		return []Action{Deliver{Ticket: r.ticket.ID}}
	}
	return []Action{Refuse{Ticket: r.ticket.ID, Code: code, RetryAfter: p.drainTime()}}
}

// startQueued starts waiting requests while servers have free slots.
func (p *Pool) startQueued(now time.Time) []Action {
	var actions []Action
	for p.queue.Len() > 0 {
		free := p.freeServers(now)
		if len(free) == 0 {
			break
		}
		var chosen *server
		r, ok := p.queue.Pop(func(r *requestState) (float64, bool) {
			if p.isHeavy(r.ticket.Route) && p.heavyRunning >= p.heavyLimit() {
				return 0, false
			}
			chosen = p.chooseServer(now, free, r)
			return p.expectedSlotTime(r.ticket.Route).Seconds(), chosen != nil
		})
		if !ok {
			break
		}
		actions = append(actions, p.start(now, r, chosen))
	}
	return actions
}

func (p *Pool) start(now time.Time, r *requestState, s *server) Action {
	p.check.Assert(s.usedSlots() < p.service.Slots, "start would make server %s run %d requests with %d slots", s.id, s.usedSlots()+1, p.service.Slots)
	p.check.Assert(!p.moved, "start of request %d in a pool that has a new owner", r.ticket.ID)
	p.check.Assert(s.usable(), "start of a request on server %s in phase %s; the server must be active or on trial, and not draining", s.id, s.phase)
	p.check.Assert(r.ticket.Idempotent || r.starts == r.notExecuted, "start would execute non-idempotent request %d twice", r.ticket.ID)
	s.busy++
	p.startCount++
	s.lastStart = p.startCount
	r.server = s
	r.starts++
	r.started = now
	r.tried = append(r.tried, s)
	if p.isHeavy(r.ticket.Route) {
		r.heavy = true
		p.heavyRunning++
	}
	return Start{Ticket: r.ticket.ID, Server: s.id, QueueTime: now.Sub(r.queued)}
}

// expectedSlotTime returns the average slot time of a route, or defaultSlotTime if there is none yet.
func (p *Pool) expectedSlotTime(route azuretiller.RouteID) time.Duration {
	if t, ok := p.slotTime[route]; ok {
		return t
	}
	return defaultSlotTime
}

func (p *Pool) updateSlotTime(r *requestState, took time.Duration) {
	route := r.ticket.Route
	old, ok := p.slotTime[route]
	if !ok {
		old = took
	}
	p.slotTime[route] = time.Duration((1-slotTimeWeight)*float64(old) + slotTimeWeight*float64(took))
	// Routes are compared with the lightest one, so that heavy routes cannot raise the threshold that applies to them.
	p.lightestSlotTime = p.slotTime[route]
	for _, t := range p.slotTime {
		p.lightestSlotTime = min(p.lightestSlotTime, t)
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

// timeToNextServer returns the time until an ejected server may return to service.
func (p *Pool) timeToNextServer(now time.Time) time.Duration {
	wait := maxEjection
	for _, s := range p.servers {
		if s.phase == ejected && !s.draining {
			wait = min(wait, s.ejectionLeft(now)+unreachableProbeDelay)
		}
	}
	return wait
}

// drainTime estimates how long the queue takes to empty.
func (p *Pool) drainTime() time.Duration {
	load := p.Load()
	work := time.Duration(load.Queued+load.Running) * max(p.lightestSlotTime, defaultSlotTime)
	return work / time.Duration(max(load.Capacity, 1))
}

// Load returns the load of the pool, which responses carry to the entry VMs, the VMs that hold the callers' connections.
func (p *Pool) Load() forward.Load {
	load := forward.Load{Queued: p.queue.Len()}
	for _, s := range p.servers {
		load.Running += s.busy
		if s.usable() {
			load.Capacity += s.ramp.BaseLimit()
		}
	}
	return load
}
