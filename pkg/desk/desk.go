package desk

import (
	"maps"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/belief"
	"github.com/azuretiller/azuretiller/pkg/budget"
	"github.com/azuretiller/azuretiller/pkg/fairqueue"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// Desk holds the servers of one service, and the requests that wait for them or run.
type Desk struct {
	params  Params
	check   *invariant.Checker
	tickets *Tickets
	model   *belief.Model
	sheds   *belief.Model
	servers []*server
	// queues has the waiting requests by priority, the most urgent first.
	queues  []*queue
	running map[message.TicketID]*attempt
	typical map[azuretiller.RouteID]time.Duration
	// size is the average size of the answers of each route, in bytes.
	size    map[azuretiller.RouteID]float64
	retries *budget.Budget
	recent  recent
	// reads are the starts of requests that may run again.
	reads starts
}

type queue struct {
	priority int
	waiting  *fairqueue.Queue[azuretiller.TeamID, azuretiller.RouteID, *waiter]
}

type waiter struct {
	Request
	since time.Time
	until time.Time
	// better is until when the request waits for a trusted server.
	better time.Time
}

type attempt struct {
	Request
	server  *server
	started time.Time
	// before is the start of the server's attempt before this one.
	before  time.Time
	overdue bool
}

// Tickets numbers the attempts of all desks of a leader.
type Tickets struct{ last message.TicketID }

// NewTickets returns a source of numbers that begin after a first one.
func NewTickets(first message.TicketID) *Tickets { return &Tickets{last: first} }

func (t *Tickets) next() message.TicketID {
	t.last++
	return t.last
}

// New returns a desk without servers.
func New(p Params, check *invariant.Checker, tickets *Tickets) *Desk {
	return &Desk{
		params:  p,
		check:   check,
		tickets: tickets,
		model:   belief.NewModel(),
		sheds:   belief.NewModel(),
		running: map[message.TicketID]*attempt{},
		typical: map[azuretiller.RouteID]time.Duration{},
		size:    map[azuretiller.RouteID]float64{},
		retries: budget.New(retryShare*p.RetryRatio, retryReserve*p.RetrySlack, retryStart*p.RetrySlack),
	}
}

// SetParams replaces the tolerances; what was saved up of the retry budget stays.
func (d *Desk) SetParams(p Params) {
	d.params = p
	d.retries.SetRatio(retryShare * p.RetryRatio)
}

// SetServers replaces the servers; those that stay keep what is known of them.
func (d *Desk) SetServers(now time.Time, servers []Server) []Decision {
	next := make([]*server, 0, len(servers))
	for _, c := range servers {
		s := d.find(c.ID)
		if s == nil || s.Born != c.Born || s.Address != c.Address {
			s = &server{belief: d.model.NewEstimate(now), shedding: d.sheds.NewEstimate(now), blocked: map[string]time.Time{}}
		}
		s.Server = c
		next = append(next, s)
	}
	d.servers = next
	return d.pump(now)
}

// Offer asks for a server for a request.
func (d *Desk) Offer(now time.Time, r Request) []Decision {
	if r.Repeat {
		if !d.retries.Spend() {
			return []Decision{d.refuse(now, r, azuretiller.CodeOverloaded, d.drainTime())}
		}
	} else {
		d.retries.Request()
	}
	if !slices.ContainsFunc(d.servers, func(s *server) bool { return !s.Closed && !s.moved }) {
		return []Decision{d.refuse(now, r, azuretiller.CodeNoServer, time.Second)}
	}
	w := &waiter{Request: r, since: now, until: waitLimit(now, r), better: now.Add(betterWait)}
	if wait := d.expectedWait(r.Priority); now.Add(wait).After(w.until) {
		return []Decision{d.refuse(now, r, azuretiller.CodeOverloaded, wait)}
	}
	d.queue(r.Priority).Push(r.Team, 1, r.Route, w)
	decisions := d.pump(now)
	if !slices.ContainsFunc(decisions, func(c Decision) bool { return c.Key == r.Key }) {
		decisions = append(decisions, Decision{Key: r.Key, ID: r.ID, Code: azuretiller.CodeOK, Waiting: true})
	}
	return decisions
}

func waitLimit(now time.Time, r Request) time.Time {
	wait := time.Duration(float64(r.Deadline.Sub(now)) * deadlineShare)
	if objective := r.Objective.Sub(now); objective > 0 {
		wait = min(wait, time.Duration(float64(objective)*waitShare))
	}
	return now.Add(wait)
}

// expectedWait estimates how long a new request of a priority would wait for a slot.
func (d *Desk) expectedWait(priority int) time.Duration {
	ahead := 0
	for _, q := range d.queues {
		if q.priority <= priority {
			ahead += q.waiting.Len()
		}
	}
	if ahead == 0 {
		return 0
	}
	return d.serviceTime() * time.Duration(ahead+1) / time.Duration(max(d.slots(), 1))
}

func (d *Desk) slots() int {
	slots := 0
	for _, s := range d.servers {
		if !s.Closed && !s.moved {
			slots += s.Slots
		}
	}
	return slots
}

// drainTime estimates how long the running and waiting work takes.
func (d *Desk) drainTime() time.Duration {
	work := len(d.running) + d.waiting()
	return max(d.serviceTime()*time.Duration(work)/time.Duration(max(d.slots(), 1)), d.serviceTime()/2)
}

func (d *Desk) waiting() int {
	n := 0
	for _, q := range d.queues {
		n += q.waiting.Len()
	}
	return n
}

// serviceTime is the mean over the routes.
func (d *Desk) serviceTime() time.Duration {
	if len(d.typical) == 0 {
		return firstTypical
	}
	sum := time.Duration(0)
	for _, t := range d.typical {
		sum += t
	}
	return sum / time.Duration(len(d.typical))
}

func (d *Desk) usual(route azuretiller.RouteID) time.Duration {
	if t, ok := d.typical[route]; ok {
		return t
	}
	return firstTypical
}

func (d *Desk) queue(priority int) *fairqueue.Queue[azuretiller.TeamID, azuretiller.RouteID, *waiter] {
	i, found := slices.BinarySearchFunc(d.queues, priority, func(q *queue, p int) int { return q.priority - p })
	if !found {
		d.queues = slices.Insert(d.queues, i, &queue{
			priority: priority,
			waiting:  fairqueue.New[azuretiller.TeamID, azuretiller.RouteID, *waiter](),
		})
	}
	return d.queues[i].waiting
}

func (d *Desk) anyRoom(now time.Time) bool {
	return slices.ContainsFunc(d.servers, func(s *server) bool { return s.room(now) > 0 })
}

// pump gives waiting requests to servers, the most urgent first.
func (d *Desk) pump(now time.Time) []Decision {
	var decisions []Decision
	misses := 0
	for _, q := range d.queues {
		for q.waiting.Len() > 0 && misses < mostMisses && d.anyRoom(now) {
			var chosen *server
			w, ok := q.waiting.Pop(func(w *waiter) (float64, bool) {
				if misses >= mostMisses {
					return 0, false
				}
				chosen = d.choose(now, w)
				if chosen == nil {
					misses++
				}
				return d.usual(w.Route).Seconds(), chosen != nil
			})
			if !ok {
				break
			}
			decisions = append(decisions, d.grant(now, w, chosen))
		}
	}
	return decisions
}

func (d *Desk) grant(now time.Time, w *waiter, s *server) Decision {
	d.check.That(s.busy < s.Slots, "server %s would run %d requests with %d slots", s.ID, s.busy+1, s.Slots)
	d.check.That(!s.Closed, "server %s is closed and would get work", s.ID)
	decision := Decision{
		Key:     w.Key,
		ID:      w.ID,
		Ticket:  d.tickets.next(),
		Server:  s.Server,
		Code:    azuretiller.CodeOK,
		Success: s.success(now),
		Busy:    s.busy,
		Queued:  now.Sub(w.since),
		Crossed: s.Zone != w.Zone,

		Deadline:    w.Deadline,
		Fingerprint: w.Fingerprint,
	}
	before := s.lastStart
	s.start(now)
	if w.Idempotent {
		d.reads.add(now)
	}
	d.check.That(!now.Before(s.ColdUntil) || s.ColdRate <= 0 || len(s.coldStarts) <= int(s.ColdRate),
		"cold server %s would get %d requests in a second", s.ID, len(s.coldStarts))
	d.running[decision.Ticket] = &attempt{Request: w.Request, server: s, started: now, before: before}
	return decision
}

func (d *Desk) refuse(now time.Time, r Request, code azuretiller.Code, wait time.Duration) Decision {
	d.recent.add(now, false)
	return Decision{Key: r.Key, ID: r.ID, Code: code, RetryAfter: wait}
}

// Finish takes the result of an attempt and frees its slot; it reports false for a ticket that it does not know.
func (d *Desk) Finish(now time.Time, ticket message.TicketID, result message.Result, took time.Duration, bytes int) ([]Decision, bool) {
	a, ok := d.running[ticket]
	if !ok {
		return nil, false
	}
	delete(d.running, ticket)
	a.server.busy--
	d.learn(now, a, result, took)
	if result == message.Succeeded {
		d.size[a.Route] += typicalWeight * (float64(bytes) - d.size[a.Route])
		if d.size[a.Route] < firstSize*float64(bytes) {
			d.size[a.Route] = float64(bytes)
		}
	}
	return d.pump(now), true
}

// learn draws conclusions about the server and the usual service time.
func (d *Desk) learn(now time.Time, a *attempt, result message.Result, took time.Duration) {
	s := a.server
	if result != message.Succeeded && result != message.Shed && result != message.Cancelled && result != message.Unreachable {
		s.lastFailure = now
	}
	if !result.Sent() && s.lastStart.Equal(a.started) {
		// The server got nothing.
		s.lastStart = a.before
	}
	if result.Reached() {
		s.shedding.Observe(now, result == message.Shed, 1)
	}
	switch result {
	case message.Succeeded:
		if !a.overdue {
			s.belief.Observe(now, false, 1)
		}
		old := d.usual(a.Route)
		d.typical[a.Route] = time.Duration((1-typicalWeight)*float64(old) + typicalWeight*float64(took))
	case message.Failed, message.Reset:
		s.belief.Observe(now, true, 1)
	case message.TimedOut:
		s.belief.Observe(now, true, 1)
	case message.Unreachable:
		s.belief.Observe(now, true, pathEvidence)
		s.blocked[a.Key.From] = now.Add(pathBlock)
	case message.Down:
		s.belief.Observe(now, true, 1)
		s.downUntil = now.Add(downTime)
	case message.Misdirected:
		s.moved = true
	case message.Shed, message.Cancelled:
	}
	if result != message.Cancelled {
		d.recent.add(now, result == message.Succeeded)
	}
}

// Tick ends waits that take too long and notices attempts that do.
func (d *Desk) Tick(now time.Time) []Decision {
	for _, ticket := range slices.Sorted(maps.Keys(d.running)) {
		a := d.running[ticket]
		switch {
		case now.After(a.Deadline.Add(ticketSlack)):
			delete(d.running, ticket)
			a.server.busy--
		case !a.overdue && now.Sub(a.started) > max(overdueFactor*d.usual(a.Route), leastOverdue):
			a.overdue = true
			a.server.belief.Observe(now, true, overdueEvidence)
		}
	}
	var decisions []Decision
	for _, q := range d.queues {
		for _, w := range q.waiting.Remove(func(w *waiter) bool { return !now.Before(w.until) }) {
			decisions = append(decisions, d.refuse(now, w.Request, azuretiller.CodeQueueTimeout, d.drainTime()))
		}
	}
	return append(decisions, d.pump(now)...)
}

// Turned notes a request of the service that was turned away before it came to the desk.
func (d *Desk) Turned(now time.Time) { d.recent.add(now, false) }

// Forget frees what a VM that is down had waiting or running.
func (d *Desk) Forget(now time.Time, vm string) []Decision {
	for ticket, a := range d.running {
		if a.Key.From == vm {
			delete(d.running, ticket)
			a.server.busy--
		}
	}
	for _, q := range d.queues {
		q.waiting.Remove(func(w *waiter) bool { return w.Key.From == vm })
	}
	return d.pump(now)
}

// Success returns the chance that a server answers a request well, and whether the desk knows the server.
func (d *Desk) Success(now time.Time, id azuretiller.InstanceID) (float64, bool) {
	s := d.find(id)
	if s == nil {
		return 0, false
	}
	return s.success(now), true
}

// Observe takes the result of an attempt that a VM made on its own.
func (d *Desk) Observe(now time.Time, id azuretiller.InstanceID, failed bool) {
	if s := d.find(id); s != nil {
		s.belief.Observe(now, failed, 1)
	}
}

func (d *Desk) find(id azuretiller.InstanceID) *server {
	for _, s := range d.servers {
		if s.ID == id {
			return s
		}
	}
	return nil
}
