package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/fairqueue"
	"github.com/azuretiller/azuretiller/pkg/health"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/retrybudget"
)

// Scheduler is the request scheduler of one service. It holds the backend servers and the queued and running requests.
type Scheduler struct {
	params          Params
	check           *invariant.Checker
	tickets         *Tickets
	successModel    *health.Model
	acceptanceModel *health.Model
	servers         []*server
	// zones are the servers by availability zone.
	zones []*zoneServers
	// coverageSufficesUntil is the time until which requests that are kept in their zones need not be spread over more servers.
	coverageSufficesUntil time.Time
	// zonesPassedAt is the time of the last pass over the queues of all zones.
	zonesPassedAt time.Time
	// queues are the waiting requests by urgency. The most urgent come first.
	queues  []*queue
	running map[message.TicketID]*attempt
	// serviceTimes are the moving averages of the service time of each route.
	serviceTimes map[azuretiller.RouteID]time.Duration
	// meanSize is the moving average of the size of the bodies of request and answer of each route, in bytes.
	meanSize    map[azuretiller.RouteID]float64
	retryBudget *retrybudget.Budget
	// demands are the recent demands by urgency, the most urgent first.
	demands  []*demand
	outcomes outcomeWindow
	// idempotentStarts are the recent starts of idempotent requests.
	idempotentStarts eventWindow
	// exposer admits attempts on servers with Trial; it is nil if there are none.
	exposer Exposer
}

type queue struct {
	urgency  int
	zone     azuretiller.Zone
	requests *fairqueue.Queue[azuretiller.TeamID, azuretiller.RouteID, *waitingRequest]
}

type waitingRequest struct {
	Request
	enqueued      time.Time
	queueDeadline time.Time
	// betterServerUntil is the time until which the request waits for a server that is more likely to succeed.
	betterServerUntil time.Time
	// zoneWait is the wait for a slot of the request's own zone, if requests are kept in their zones.
	zoneWait zoneWait
}

// attempt is a request that runs on a server.
type attempt struct {
	Request
	server  *server
	started time.Time
	// previousStart is the start of the server's previous attempt.
	previousStart time.Time
	// overdue means that the attempt runs for much longer than usual, which Tick has counted as evidence of a failure.
	overdue bool
}

// Tickets numbers the attempts of all services of a leader.
type Tickets struct{ last message.TicketID }

// NewTickets returns a source of ticket numbers. The first ticket is last + 1.
func NewTickets(last message.TicketID) *Tickets { return &Tickets{last: last} }

func (t *Tickets) next() message.TicketID {
	t.last++
	return t.last
}

// New returns a scheduler without servers.
func New(p Params, check *invariant.Checker, tickets *Tickets) *Scheduler {
	return &Scheduler{
		params:          p,
		check:           check,
		tickets:         tickets,
		successModel:    health.NewModel(),
		acceptanceModel: health.NewModel(),
		running:         map[message.TicketID]*attempt{},
		serviceTimes:    map[azuretiller.RouteID]time.Duration{},
		meanSize:        map[azuretiller.RouteID]float64{},
		retryBudget:     retrybudget.New(retryShare*p.RetryRatio, retryCapacity*p.RetrySlack, initialRetries*p.RetrySlack),
	}
}

// SetParams replaces the parameters. The balance of the retry budget stays.
func (sc *Scheduler) SetParams(p Params) {
	sc.params = p
	sc.retryBudget.SetRatio(retryShare * p.RetryRatio)
}

// SetServers replaces the servers. Servers with the same id, address and incarnation keep their state.
func (sc *Scheduler) SetServers(now time.Time, servers []Server) []Decision {
	next := make([]*server, 0, len(servers))
	for _, update := range servers {
		s := sc.find(update.ID)
		if s == nil || s.Incarnation != update.Incarnation || s.Address != update.Address {
			s = &server{success: sc.successModel.NewEstimate(now), acceptance: sc.acceptanceModel.NewEstimate(now), unreachableUntil: map[string]time.Time{}, pausedFor: map[string]time.Time{}}
		}
		s.Server = update
		next = append(next, s)
	}
	sc.servers = next
	sc.groupByZone()
	return sc.assignQueued(now)
}

// Submit submits a request, which is assigned to a server, queued or rejected. It also returns the decisions on requests
// that were waiting.
func (sc *Scheduler) Submit(now time.Time, r Request) []Decision {
	if !r.PreviouslySent && !r.SubmittedBefore {
		sc.retryBudget.Deposit()
	}
	if code := sc.serverCode(r, now); code != azuretiller.CodeOK {
		return []Decision{sc.reject(now, r, code, noServerWait)}
	}
	if r.PreviouslySent {
		if why := sc.withdrawRetry(now, r); why != "" {
			return []Decision{sc.refuse(now, r, why, sc.drainTime())}
		}
	}
	w := &waitingRequest{Request: r, enqueued: now, queueDeadline: queueDeadline(now, r), betterServerUntil: now.Add(betterServerWait)}
	if wait := sc.expectedWait(now, r); now.Add(wait).After(w.queueDeadline) {
		return []Decision{sc.refuse(now, r, WaitTooLong, sc.retryAfter(wait))}
	}
	sc.countDemand(now, r)
	sc.queue(r.urgency(), sc.queueZone(now, r)).Push(r.Team, 1, r.Route, w)
	decisions := sc.assignSubmitted(now, w)
	if !slices.ContainsFunc(decisions, func(decision Decision) bool { return decision.Key == r.Key }) {
		decisions = append(decisions, Decision{Key: r.Key, ID: r.ID, Code: azuretiller.CodeOK, Queued: true})
	}
	return decisions
}

// serverCode returns CodeOK if a server may run the request, at a time or later when it has a free slot. Otherwise it returns the code of
// the rejection.
func (sc *Scheduler) serverCode(r Request, at time.Time) azuretiller.Code {
	code := azuretiller.CodeNoServer
	for _, s := range sc.servers {
		switch {
		case s.Closed || s.misdirected || s.Trial:
		case slices.Contains(r.Tried, s.ID) || s.pauses(r.Key.From, at):
			code = azuretiller.CodeServersPaused
		default:
			return azuretiller.CodeOK
		}
	}
	return code
}

// assignQueued assigns waiting requests to servers, the most urgent first.
func (sc *Scheduler) assignQueued(now time.Time) []Decision {
	if sc.params.KeepInZone {
		return sc.assignByZone(now)
	}
	var decisions []Decision
	misses := 0
	for _, q := range sc.queues {
		for q.requests.Len() > 0 && misses < maxMisses && sc.hasFreeCapacity(now) {
			var chosen *server
			w, ok := q.requests.Pop(func(w *waitingRequest) (float64, bool) {
				if misses >= maxMisses {
					return 0, false
				}
				chosen = sc.choose(now, w)
				if chosen == nil {
					misses++
				}
				return sc.serviceTimeOf(w.Route).Seconds(), chosen != nil
			})
			if !ok {
				break
			}
			decisions = append(decisions, sc.assign(now, w, chosen))
		}
	}
	return decisions
}

func (sc *Scheduler) assign(now time.Time, w *waitingRequest, s *server) Decision {
	sc.check.Assert(s.busy < s.Slots, "server %s would run %d requests with %d slots", s.ID, s.busy+1, s.Slots)
	sc.check.Assert(!s.Closed, "server %s is closed but would get a request", s.ID)
	decision := Decision{
		Key:                w.Key,
		ID:                 w.ID,
		Ticket:             sc.tickets.next(),
		Server:             s.Server,
		Code:               azuretiller.CodeOK,
		SuccessProbability: s.successProbability(now),
		Busy:               s.busy,
		QueueTime:          now.Sub(w.enqueued),
		CrossZone:          s.Zone != w.Zone,
		Crossing:           w.zoneWait.verdict,

		Route:           w.Route,
		SubmittedBefore: w.SubmittedBefore,
		Deadline:        w.Deadline,
		Fingerprint:     w.Fingerprint,
	}
	if s.Trial {
		sc.check.Assert(sc.exposer.Expose(now, w.Route, s.ID), "server %s is on trial but would get a request that is not admitted", s.ID)
	}
	previousStart := s.lastRequestStart
	s.startRequest(now)
	if w.Idempotent {
		sc.idempotentStarts.add(now)
	}
	sc.check.Assert(!now.Before(s.ColdUntil) || s.ColdRate <= 0 || len(s.recentStarts) <= int(s.ColdRate),
		"cold server %s would get %d requests within the cold window", s.ID, len(s.recentStarts))
	sc.running[decision.Ticket] = &attempt{Request: w.Request, server: s, started: now, previousStart: previousStart}
	return decision
}

func (sc *Scheduler) reject(now time.Time, r Request, code azuretiller.Code, wait time.Duration) Decision {
	sc.outcomes.add(now, false)
	return Decision{Key: r.Key, ID: r.ID, Code: code, RetryAfter: wait}
}

// Finish records the result of an attempt and frees its slot. It reports false for an unknown ticket.
func (sc *Scheduler) Finish(now time.Time, ticket message.TicketID, result message.Result, took time.Duration, bytes int) ([]Decision, bool) {
	a, ok := sc.running[ticket]
	if !ok {
		return nil, false
	}
	delete(sc.running, ticket)
	a.server.busy--
	sc.recordResult(now, a, result, took)
	if result == message.Succeeded {
		sc.meanSize[a.Route] += averageWeight * (float64(bytes) - sc.meanSize[a.Route])
		if sc.meanSize[a.Route] < minSizeRatio*float64(bytes) {
			sc.meanSize[a.Route] = float64(bytes)
		}
	}
	return sc.assignFreed(now, a.server), true
}

// recordResult updates the state of the server and the average service time of the route.
func (sc *Scheduler) recordResult(now time.Time, a *attempt, result message.Result, took time.Duration) {
	s := a.server
	if result != message.Succeeded && result != message.Shed && result != message.Cancelled && result != message.Unreachable && result != message.Withheld {
		s.lastFailure = now
	}
	if !result.Sent() && s.lastRequestStart.Equal(a.started) {
		// The server did not receive the request, so the attempt does not count as use of the server.
		s.lastRequestStart = a.previousStart
	}
	if result.Reached() {
		s.acceptance.Observe(now, result == message.Shed, 1)
	}
	switch result {
	case message.Succeeded:
		if !a.overdue {
			s.success.Observe(now, false, 1)
		}
		average := sc.serviceTimeOf(a.Route)
		sc.serviceTimes[a.Route] = time.Duration((1-averageWeight)*float64(average) + averageWeight*float64(took))
	case message.Failed, message.Reset:
		s.success.Observe(now, true, 1)
	case message.TimedOut:
		s.success.Observe(now, true, 1)
	case message.Unreachable:
		s.success.Observe(now, true, unreachableWeight)
		s.unreachableUntil[a.Key.From] = now.Add(unreachableBackoff)
	case message.ConnectionRefused:
		s.success.Observe(now, true, 1)
		s.downUntil = now.Add(downBackoff)
	case message.Misdirected:
		s.misdirected = true
	case message.Shed, message.Cancelled, message.Withheld:
	}
	if result != message.Cancelled && result != message.Withheld {
		sc.outcomes.add(now, result == message.Succeeded)
	}
}

// Pause records that an incarnation of a server asked a VM, given by its host:port, for no requests until a time. It is no evidence
// about the server, and other VMs may send requests to it.
func (sc *Scheduler) Pause(now time.Time, id azuretiller.InstanceID, incarnation int64, vm string, until time.Time) {
	if s := sc.find(id); s != nil && (incarnation == 0 || s.Incarnation <= incarnation) {
		s.pause(now, vm, until)
	}
}

// Tick rejects requests that waited too long, detects overdue attempts and frees the slots of attempts without a report.
func (sc *Scheduler) Tick(now time.Time) []Decision {
	for _, ticket := range slices.Sorted(maps.Keys(sc.running)) {
		a := sc.running[ticket]
		switch {
		case now.After(a.Deadline.Add(ticketGrace)):
			delete(sc.running, ticket)
			a.server.busy--
		case !a.overdue && now.Sub(a.started) > max(overdueFactor*sc.serviceTimeOf(a.Route), minOverdue):
			a.overdue = true
			a.server.success.Observe(now, true, overdueWeight)
		}
	}
	var decisions []Decision
	for _, q := range sc.queues {
		for _, w := range q.requests.Remove(func(w *waitingRequest) bool { return !now.Before(w.queueDeadline) }) {
			decisions = append(decisions, sc.reject(now, w.Request, azuretiller.CodeQueueTimeout, sc.drainTime()))
		}
		for _, w := range q.requests.Remove(sc.pausedThroughout) {
			decisions = append(decisions, sc.reject(now, w.Request, azuretiller.CodeServersPaused, noServerWait))
		}
	}
	return append(decisions, sc.assignQueued(now)...)
}

// pausedThroughout reports whether all servers that could run a waiting request pause until it may no longer wait.
func (sc *Scheduler) pausedThroughout(w *waitingRequest) bool {
	return sc.serverCode(w.Request, w.queueDeadline) == azuretiller.CodeServersPaused
}

// RecordRejection records a request of the service that was rejected before it was submitted with Submit.
func (sc *Scheduler) RecordRejection(now time.Time) { sc.outcomes.add(now, false) }

// RemoveVM removes the waiting and running requests of a VM that is down, and frees their slots. The VM is given by its host:port,
// as in Key.From.
func (sc *Scheduler) RemoveVM(now time.Time, vm string) []Decision {
	for ticket, a := range sc.running {
		if a.Key.From == vm {
			delete(sc.running, ticket)
			a.server.busy--
		}
	}
	for _, q := range sc.queues {
		q.requests.Remove(func(w *waitingRequest) bool { return w.Key.From == vm })
	}
	return sc.assignQueued(now)
}

// SuccessProbability returns the probability that a request to a server succeeds, and whether the server is one of the service's.
func (sc *Scheduler) SuccessProbability(now time.Time, id azuretiller.InstanceID) (float64, bool) {
	s := sc.find(id)
	if s == nil {
		return 0, false
	}
	return s.successProbability(now), true
}

// Observe records the result of an attempt that a VM made without asking for a server.
func (sc *Scheduler) Observe(now time.Time, id azuretiller.InstanceID, result message.Result) {
	s := sc.find(id)
	if s == nil {
		return
	}
	if result == message.Shed {
		s.acceptance.Observe(now, true, 1)
		return
	}
	s.success.Observe(now, result != message.Succeeded, 1)
}

func (sc *Scheduler) find(id azuretiller.InstanceID) *server {
	for _, s := range sc.servers {
		if s.ID == id {
			return s
		}
	}
	return nil
}
