package leader

import (
	"cmp"
	"slices"
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
	// repairs is the number of entries of whole views that may be sent now, as of repairsAt.
	repairs   float64
	repairsAt time.Time
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
		repairs:   repairRate,
		repairsAt: now,
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
	list := ViewServers(now, services)
	if !slices.Equal(list, l.servers) {
		l.changed = true
	}
	l.servers = list
}

// ViewServers returns servers as VMs need to know them when no leader answers, ordered by id.
func ViewServers(now time.Time, services map[azuretiller.ServiceID][]desk.Server) []message.Server {
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
	return list
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
