package leader

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/crash"
	"github.com/azuretiller/azuretiller/pkg/desk"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/meter"
)

// Leader holds the shared state of the fleet during one term.
type Leader struct {
	params   Params
	check    *invariant.Checker
	term     azuretiller.Term
	self     azuretiller.VMID
	address  string
	resigned bool

	config  *config.Config
	members map[string]*member
	// lost has the VMs that stopped sending heartbeats.
	lost   map[string]time.Time
	lostAt time.Time
	// peak is the largest number of members since peakAt.
	peak   int
	peakAt time.Time
	// confirmed is when the leader record last named this term, and asked when it was read.
	confirmed time.Time
	asked     time.Time
	desks     map[azuretiller.ServiceID]*desk.Desk
	tickets   *desk.Tickets
	meter     *meter.Meter
	crashes   *crash.Register
	shares    map[azuretiller.RouteID]*share
	// answered has the newest decision on each call, for questions that come twice.
	answered map[desk.Key]*answered
	requests map[message.TicketID]granted

	servers []message.Server
	// sent is the newest view that was sent.
	sent     message.View
	version  uint64
	changed  bool
	viewSent time.Time
}

type member struct {
	beat   message.Beat
	heard  time.Time
	since  time.Time
	viewAt time.Time
}

type answered struct {
	at    time.Time
	grant message.Grant
}

// granted is what the leader must know of a running attempt beyond its desk.
type granted struct {
	service     azuretiller.ServiceID
	server      azuretiller.InstanceID
	request     string
	fingerprint crash.Fingerprint
	until       time.Time
}

// New returns the leader of a term; peers are the VMs that there were in the term before.
func New(now time.Time, p Params, check *invariant.Checker, term azuretiller.Term, self azuretiller.VMID, address string, peers []string) *Leader {
	l := &Leader{
		params:    p,
		check:     check,
		term:      term,
		self:      self,
		address:   address,
		members:   map[string]*member{},
		lost:      map[string]time.Time{},
		confirmed: now,
		desks:     map[azuretiller.ServiceID]*desk.Desk{},
		tickets:   desk.NewTickets(0),
		crashes:   crash.New(),
		shares:    map[azuretiller.RouteID]*share{},
		answered:  map[desk.Key]*answered{},
		requests:  map[message.TicketID]granted{},
	}
	for _, peer := range peers {
		l.lost[peer] = now
	}
	l.meter = meter.New(l.firstTokens)
	return l
}

// Term returns the term of the leader.
func (l *Leader) Term() azuretiller.Term { return l.term }

// SetResigned tells whether the other VMs are asked to choose a new leader; this one goes on deciding until there is one.
// It reports whether that is new.
func (l *Leader) SetResigned(resigned bool) bool {
	changed := resigned != l.resigned
	l.resigned = resigned
	return changed
}

// TooWeak reports whether a VM with much more processor time could lead, and has been there for some time.
func (l *Leader) TooWeak(now time.Time) bool {
	own, most := 0, 0
	for _, m := range l.members {
		if m.beat.VM == l.self {
			own = m.beat.Power
		}
		if m.beat.Ready && !m.beat.Leaving && now.Sub(m.since) > steadyFor {
			most = max(most, m.beat.Power)
		}
	}
	return own > 0 && most >= strongerBy*own
}

// Announce tells all VMs which configuration there is.
func (l *Leader) Announce() []Effect {
	known := l.hello()
	known.Known = true
	var effects []Effect
	for to := range l.members {
		effects = append(effects, Send{To: to, Message: message.Envelope{Body: known}})
	}
	return effects
}

func (l *Leader) hello() message.BeatAnswer {
	answer := message.BeatAnswer{Term: l.term, Leads: true, Leader: l.self, Address: l.address, Resigned: l.resigned}
	if l.config != nil {
		answer.Settings = l.config.Revision
	}
	return answer
}

// firstTokens is what a team may spend at the beginning of a term.
func (l *Leader) firstTokens(_ azuretiller.TeamID, limit meter.Limit) azuretiller.Millitokens {
	window := float64(limit.Rate)*l.params.RateWindow.Seconds() + float64(limit.Burst)
	tolerance := l.params.RateOver*window + l.params.RateSlack*float64(azuretiller.TokenCost)
	return min(limit.Burst, azuretiller.Millitokens(startShare*tolerance))
}

// SetParams replaces the tolerances.
func (l *Leader) SetParams(p Params) {
	l.params = p
	for _, d := range l.desks {
		d.SetParams(p.Desk)
	}
}

// SetConfig replaces the configuration.
func (l *Leader) SetConfig(c *config.Config) { l.config = c }

// SetServers replaces the backend servers of all services.
func (l *Leader) SetServers(now time.Time, services map[azuretiller.ServiceID][]desk.Server) []Effect {
	var effects []Effect
	for service := range l.desks {
		if _, ok := services[service]; !ok {
			effects = append(effects, l.carryOut(now, service, l.desks[service].SetServers(now, nil))...)
		}
	}
	for service, servers := range services {
		effects = append(effects, l.carryOut(now, service, l.desk(service).SetServers(now, servers))...)
	}
	l.refreshServers(now, services)
	return effects
}

// refreshServers notes a change of the view if VMs would place work differently on their own.
func (l *Leader) refreshServers(now time.Time, services map[azuretiller.ServiceID][]desk.Server) {
	var list []message.Server
	for service, servers := range services {
		for _, s := range servers {
			list = append(list, message.Server{
				ID:      s.ID,
				Service: service,
				Address: s.Address,
				Zone:    s.Zone,
				Slots:   s.Slots,
				Closed:  s.Closed || now.Before(s.ColdUntil),
			})
		}
	}
	slices.SortFunc(list, func(a, b message.Server) int { return cmp.Compare(a.ID, b.ID) })
	if !slices.EqualFunc(list, l.servers, func(a, b message.Server) bool {
		a.Success, b.Success = 0, 0
		return a == b
	}) {
		l.changed = true
	}
	l.servers = list
}

func (l *Leader) desk(service azuretiller.ServiceID) *desk.Desk {
	d := l.desks[service]
	if d == nil {
		d = desk.New(l.params.Desk, l.check, l.tickets)
		l.desks[service] = d
	}
	return d
}

// Receive takes a message of a VM.
func (l *Leader) Receive(now time.Time, from string, e message.Envelope) []Effect {
	switch b := e.Body.(type) {
	case message.Beat:
		return l.beat(now, from, e.Call, b)
	case message.Ask:
		return l.ask(now, from, e.Call, b)
	case message.Report:
		effects := []Effect{Send{To: from, Message: message.Envelope{Call: e.Call, Body: message.Seen{Term: l.term}}}}
		return append(effects, l.report(now, b)...)
	}
	return nil
}

func (l *Leader) beat(now time.Time, from string, call uint64, b message.Beat) []Effect {
	var effects []Effect
	m := l.members[from]
	switch {
	case m == nil && b.VM == "":
		// The VM thinks that it is known: the answer asks for the whole heartbeat.
		return []Effect{Send{To: from, Message: message.Envelope{Call: call, Body: l.hello()}}}
	case m == nil:
		m = &member{since: now}
		l.members[from] = m
		l.changed = true
		effects = append(effects, Note{"vm joined", log.Fields{"vm": b.VM, "zone": b.Zone, "term": l.term}})
	case m.beat.Incarnation != b.Incarnation:
		effects = append(effects, l.forget(now, from)...)
		l.changed = true
	case m.beat.Ready != b.Ready || m.beat.Leaving != b.Leaving:
		l.changed = true
	}
	if b.VM == "" {
		b.VM, b.Zone, b.Callers, b.Power = m.beat.VM, m.beat.Zone, m.beat.Callers, m.beat.Power
	}
	m.beat = b
	m.heard = now
	delete(l.lost, from)
	answer := l.hello()
	answer.Known = true
	effects = append(effects, Send{To: from, Message: message.Envelope{Call: call, Body: answer}})
	if b.View != l.version && now.Sub(m.viewAt) > viewRepeat && !l.changed && l.version > 0 {
		m.viewAt = now
		effects = append(effects, sendParts(from, l.sent)...)
	}
	return effects
}

func (l *Leader) ask(now time.Time, from string, call uint64, a message.Ask) []Effect {
	key := desk.Key{From: from, Call: call}
	if before, ok := l.answered[key]; ok {
		return []Effect{Send{To: from, Message: message.Envelope{Call: call, Body: before.grant}}}
	}
	var effects []Effect
	if a.Last != nil {
		effects = l.report(now, *a.Last)
	}
	refuse := func(code azuretiller.Code, wait time.Duration) []Effect {
		grant := message.Grant{Code: code, RetryAfter: wait, Term: l.term}
		l.answered[key] = &answered{at: now, grant: grant}
		fields := log.Fields{"request": a.Request, "code": int(code), "retry_after": wait, "attempt": a.Attempt, "team": a.Team, "term": l.term}
		return append(effects,
			Send{To: from, Message: message.Envelope{Call: call, Body: grant}},
			Note{"refused", fields})
	}
	fingerprint := crash.Fingerprint(strconv.FormatUint(a.Fingerprint, 16))
	if admitted, wait := l.crashes.Admit(fingerprint, now); !admitted {
		return refuse(azuretiller.CodeHeldBack, wait)
	}
	if a.Attempt <= 1 {
		if wait, ok := l.meter.Spend(now, a.Team, l.limit(now, a.Team)); !ok {
			for _, b := range a.Backends {
				l.desk(b.Service).Turned(now)
			}
			return refuse(azuretiller.CodeRateExceeded, wait)
		}
	}
	service := l.pick(a.Route, a.Backends)
	zone := azuretiller.Zone("")
	if m := l.members[from]; m != nil {
		zone = m.beat.Zone
	}
	r := desk.Request{
		Key:         key,
		ID:          a.Request,
		Zone:        zone,
		Team:        a.Team,
		Route:       a.Route,
		Priority:    a.Priority,
		Idempotent:  a.Idempotent,
		Repeat:      a.Attempt > 1 && (a.Hedge || a.Last == nil || a.Last.Result != message.Unreachable),
		Tried:       a.Tried,
		Deadline:    now.Add(a.Deadline),
		Objective:   now.Add(a.Objective),
		Fingerprint: a.Fingerprint,
	}
	decisions := l.desk(service).Offer(now, r)
	for _, d := range decisions {
		if d.Key == key && d.Code != azuretiller.CodeOK && a.Attempt <= 1 {
			l.meter.Refund(a.Team)
		}
	}
	return append(effects, l.carryOut(now, service, decisions)...)
}

func (l *Leader) limit(now time.Time, team azuretiller.TeamID) meter.Limit {
	if l.config == nil {
		return meter.Limit{}
	}
	t := l.config.Teams[team]
	share := l.share(now)
	return meter.Limit{
		Rate:  azuretiller.Millitokens(share * float64(t.Rate)),
		Burst: azuretiller.Millitokens(share * float64(t.Burst)),
	}
}

// share is the part of the rates that this leader may hand out: all, unless it may be cut off from a newer leader.
func (l *Leader) share(now time.Time) float64 {
	if !l.few() || now.Sub(l.confirmed) < confirmedFor {
		return 1
	}
	return float64(max(len(l.members), 1)) / float64(l.peak)
}

// few reports whether so few VMs follow that there may be a newer leader.
func (l *Leader) few() bool {
	return len(l.members) <= 1 || float64(len(l.members)) < fewShare*float64(l.peak)
}

// Confirmed notes that the leader record names this leader's term.
func (l *Leader) Confirmed(now time.Time) { l.confirmed = now }

// watch counts the members, asks for the leader record when there are few, and calls those that were lost.
func (l *Leader) watch(now time.Time) []Effect {
	if len(l.members) >= l.peak || now.Sub(l.peakAt) > peakMemory {
		l.peak = len(l.members)
		l.peakAt = now
	}
	var effects []Effect
	gap := confirmAlways
	if l.few() {
		gap = confirmGap
	}
	if now.Sub(l.asked) >= gap {
		l.asked = now
		effects = append(effects, Confirm{})
	}
	if now.Sub(l.lostAt) < lostGap {
		return effects
	}
	l.lostAt = now
	for to, since := range l.lost {
		if now.Sub(since) > lostMemory {
			delete(l.lost, to)
			continue
		}
		effects = append(effects, Send{To: to, Message: message.Envelope{Body: l.hello()}})
	}
	return effects
}

// carryOut turns decisions of a desk into messages.
func (l *Leader) carryOut(now time.Time, service azuretiller.ServiceID, decisions []desk.Decision) []Effect {
	var effects []Effect
	for _, d := range decisions {
		grant := message.Grant{
			Ticket:     d.Ticket,
			Server:     d.Server.ID,
			Address:    d.Server.Address,
			Service:    service,
			Code:       d.Code,
			RetryAfter: d.RetryAfter,
			Waiting:    d.Waiting,
			Term:       l.term,
		}
		l.answered[d.Key] = &answered{at: now, grant: grant}
		effects = append(effects, Send{To: d.Key.From, Message: message.Envelope{Call: d.Key.Call, Body: grant}})
		if d.Code == azuretiller.CodeOK && !d.Waiting {
			l.requests[d.Ticket] = granted{
				service:     service,
				server:      d.Server.ID,
				request:     d.ID,
				fingerprint: crash.Fingerprint(strconv.FormatUint(d.Fingerprint, 16)),
				until:       d.Deadline.Add(answerMemory),
			}
		}
		effects = append(effects, l.noteDecision(service, d))
	}
	return effects
}

func (l *Leader) noteDecision(service azuretiller.ServiceID, d desk.Decision) Effect {
	fields := log.Fields{"request": d.ID, "service": service, "term": l.term, "code": int(d.Code)}
	switch {
	case d.Waiting:
		return Note{"queued", fields}
	case d.Code != azuretiller.CodeOK:
		fields["retry_after"] = d.RetryAfter
		return Note{"refused", fields}
	}
	fields["ticket"] = d.Ticket
	fields["server"] = d.Server.ID
	fields["chance"] = math.Round(d.Success*100) / 100
	fields["busy"] = d.Busy
	fields["queued"] = d.Queued
	fields["crossed"] = d.Crossed
	return Note{"placed", fields}
}

func (l *Leader) report(now time.Time, r message.Report) []Effect {
	if r.Ticket == 0 {
		for _, d := range l.desks {
			d.Observe(now, r.Server, r.Result != message.Succeeded)
		}
		return nil
	}
	if r.Term != l.term {
		return nil
	}
	g, ok := l.requests[r.Ticket]
	if !ok {
		return nil
	}
	delete(l.requests, r.Ticket)
	var effects []Effect
	switch r.Result {
	case message.Reset:
		if l.crashes.Crashed(g.fingerprint, azuretiller.ServerID(g.server), now) {
			effects = append(effects, Note{"request held back", log.Fields{"request": g.request, "server": g.server, "term": l.term}})
		}
	case message.Succeeded:
		l.crashes.Succeeded(g.fingerprint)
	default:
		l.crashes.Released(g.fingerprint)
	}
	decisions, _ := l.desks[g.service].Finish(now, r.Ticket, r.Result, r.Took, r.Bytes)
	if r.Result != message.Succeeded && r.Result != message.Cancelled {
		chance, _ := l.desks[g.service].Success(now, g.server)
		effects = append(effects, Note{"server doubted", log.Fields{
			"request": g.request, "server": g.server, "service": g.service, "result": r.Result, "took": r.Took,
			"chance": math.Round(chance*100) / 100, "term": l.term,
		}})
	}
	return append(effects, l.carryOut(now, g.service, decisions)...)
}

// forget frees what a VM had running.
func (l *Leader) forget(now time.Time, from string) []Effect {
	var effects []Effect
	for service, d := range l.desks {
		effects = append(effects, l.carryOut(now, service, d.Forget(now, from))...)
	}
	return effects
}

// Tick advances time: it ends waits, notices VMs that are down and sends the view.
func (l *Leader) Tick(now time.Time) []Effect {
	var effects []Effect
	for service, d := range l.desks {
		effects = append(effects, l.carryOut(now, service, d.Tick(now))...)
	}
	for from, m := range l.members {
		if now.Sub(m.heard) > silence {
			delete(l.members, from)
			l.lost[from] = now
			l.changed = true
			effects = append(effects, Note{"vm lost", log.Fields{"vm": m.beat.VM, "silent": now.Sub(m.heard), "term": l.term}})
			effects = append(effects, l.forget(now, from)...)
		}
	}
	effects = append(effects, l.watch(now)...)
	for key, a := range l.answered {
		if now.Sub(a.at) > answerMemory {
			delete(l.answered, key)
		}
	}
	for ticket, g := range l.requests {
		if now.After(g.until) {
			delete(l.requests, ticket)
		}
	}
	if l.changed && now.Sub(l.viewSent) >= viewGap {
		l.changed = false
		effects = append(effects, l.sendView(now)...)
	}
	return effects
}

// sendView sends what changed in the view to one VM of each zone, which passes it on; VMs that miss it get the whole view after
// a later heartbeat.
func (l *Leader) sendView(now time.Time) []Effect {
	l.version++
	view := l.view(now)
	change := l.sent.Change(view)
	if change.Entries() == 0 && l.version > 1 {
		l.version--
		return nil
	}
	l.viewSent = now
	l.sent = view
	if 2*change.Entries() < view.Entries() && l.version > 1 {
		view = change
	}
	view.Relay = true
	heads := map[azuretiller.Zone]string{}
	for from, m := range l.members {
		m.viewAt = now
		head, ok := heads[m.beat.Zone]
		if !ok || from < head {
			heads[m.beat.Zone] = from
		}
	}
	effects := []Effect{Note{"view", log.Fields{"term": l.term, "version": l.version, "members": len(l.sent.Members), "servers": len(l.sent.Servers), "entries": view.Entries()}}}
	for _, head := range heads {
		effects = append(effects, sendParts(head, view)...)
	}
	return effects
}

func sendParts(to string, v message.View) []Effect {
	var effects []Effect
	for _, part := range v.Split() {
		effects = append(effects, Send{To: to, Message: message.Envelope{Body: part}})
	}
	return effects
}

func (l *Leader) view(now time.Time) message.View {
	v := message.View{Term: l.term, Version: l.version, Servers: slices.Clone(l.servers)}
	for i, s := range v.Servers {
		if chance, ok := l.desk(s.Service).Success(now, s.ID); ok {
			v.Servers[i].Success = int(math.Round(chance*100/successStep)) * successStep
		}
	}
	for from, m := range l.members {
		v.Members = append(v.Members, message.Member{
			VM:      m.beat.VM,
			Zone:    m.beat.Zone,
			Callers: m.beat.Callers,
			Peer:    from,
			Ready:   m.beat.Ready && !m.beat.Leaving,
			Power:   m.beat.Power,
		})
	}
	slices.SortFunc(v.Members, func(a, b message.Member) int { return cmp.Compare(a.VM, b.VM) })
	return v
}

// Members returns the number of VMs that send heartbeats.
func (l *Leader) Members() int { return len(l.members) }
