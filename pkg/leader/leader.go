package leader

import (
	"cmp"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/crash"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/rollout"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
	"github.com/azuretiller/azuretiller/pkg/shareledger"
	"github.com/azuretiller/azuretiller/pkg/tokenbucket"
)

// Leader holds the shared state of the fleet during one term.
type Leader struct {
	params Params
	check  *invariant.Checker
	term   azuretiller.Term
	// self and address are the id and the host:port of this VM.
	self     azuretiller.VMID
	address  string
	resigned bool
	// startedAt is when this VM became leader, and first means that it is the first leader of the deployment.
	startedAt time.Time
	first     bool

	config *config.Config
	// members maps the host:port of each VM that sends heartbeats to its state.
	members map[string]*member
	// lost maps the host:port of each VM that stopped sending heartbeats to the time at which it was found missing. It also holds
	// the VMs known from earlier terms that have not joined this leader.
	lost map[string]time.Time
	// capacities holds the CPU capacities of the VMs that could succeed this leader as of capacitiesAt, the smallest first.
	capacities   []int
	capacitiesAt time.Time
	// lostContactedAt is when the lost VMs were last sent a message.
	lostContactedAt time.Time
	// peakMembers is the largest number of members since peakAt, when it was last reached. It is reset after peakWindow.
	peakMembers int
	peakAt      time.Time
	// recordReadAt is when a read of the leader record was last requested.
	recordReadAt time.Time
	schedulers   map[azuretiller.ServiceID]*scheduler.Scheduler
	tickets      *scheduler.Tickets
	limiter      *tokenbucket.Limiter
	ledger       *shareledger.Ledger
	// handedOver holds the terms whose leaders handed over their tokens.
	handedOver map[azuretiller.Term]bool
	// loggedShare is the share of the rates in the last log line about it.
	loggedShare azuretiller.RateShare
	crashes     *crash.Tracker
	roundRobins map[azuretiller.RouteID]*weightedRoundRobin
	// recentResponses caches the latest response of each call, so that a retransmitted PlaceRequest gets the same response.
	recentResponses map[scheduler.Key]*cachedResponse
	runningAttempts map[message.TicketID]runningAttempt

	// serversAwaitedUntil is until when requests wait for the first call of SetServers.
	serversAwaitedUntil time.Time
	// registered are the servers that SetServers received last.
	registered map[azuretiller.ServiceID][]scheduler.Server
	// inheritedUses are the uses of the servers of the former leader's view, nil after the first call of SetServers.
	inheritedUses map[azuretiller.InstanceID]message.RolloutUse
	rollouts      *rollouts
	// serversKnown means that SetServers has been called.
	serversKnown bool
	// tickedAt is when Tick was last called.
	tickedAt time.Time
	// confirmedAt is when the store last confirmed the term, zero if it has not.
	confirmedAt time.Time
	// drainedBefore maps the host:port of each lost VM to the newest view that it had drained.
	drainedBefore map[string]uint64
	// silentSince maps it to the time of its last heartbeat, and probedAt is when lost VMs were last probed.
	silentSince map[string]time.Time
	probedAt    time.Time
	// leaving are the servers that told a VM that they are about to stop.
	leaving map[azuretiller.InstanceID]leavingServer
	// servers are the entries of the servers in the view.
	servers []message.Server
	// sentView is the view that was sent last.
	sentView    message.View
	viewVersion uint64
	viewChanged bool
	viewSentAt  time.Time
	// zonesRefreshedAt is when refreshZones last looked for VMs that lack the newest views.
	zonesRefreshedAt time.Time
	// recentViews are the views sent within viewResendInterval and the one before them, oldest first.
	recentViews []viewSending
	// resendTokens is a token bucket for resending full views, as of resendRefilledAt. A token is one view entry.
	resendTokens     float64
	resendRefilledAt time.Time
}

type member struct {
	heartbeat   message.Heartbeat
	heartbeatAt time.Time
	joinedAt    time.Time
	// drainedView is the newest view of this term that the VM has drained, see Heartbeat.
	drainedView uint64
	// fullViewSentAt is when the full view was last sent to this VM alone.
	fullViewSentAt time.Time
}

// viewSending records when a version of the view was sent.
type viewSending struct {
	version uint64
	at      time.Time
}

type cachedResponse struct {
	at       time.Time
	response message.PlaceResponse
}

// runningAttempt is what the leader keeps about a placed attempt, in addition to the state in the scheduler of its service.
type runningAttempt struct {
	service     azuretiller.ServiceID
	server      azuretiller.InstanceID
	requestID   string
	fingerprint crash.Fingerprint
	expiresAt   time.Time
	// vm is the host:port of the VM that makes the attempt.
	vm       string
	route    azuretiller.RouteID
	version  azuretiller.Version
	deadline time.Time
	// furtherAttempt means that it is not the first attempt of its request.
	furtherAttempt bool
	// controller is that of the service's rollout when the attempt was placed, and nil without one.
	controller *rollout.Controller
}

// New returns the leader of a term, which was claimed with the given record of the shares of the rates. peers are the host:port of the VMs
// known from earlier terms. The leader contacts them like lost members, until they join it or lostContactPeriod ends.
func New(now time.Time, p Params, check *invariant.Checker, term azuretiller.Term, self azuretiller.VMID, address string, rates azuretiller.RateLedger, peers []string) *Leader {
	l := &Leader{
		params:           p,
		check:            check,
		term:             term,
		self:             self,
		address:          address,
		startedAt:        now,
		tickedAt:         now,
		first:            isFirst(rates),
		members:          map[string]*member{},
		lost:             map[string]time.Time{},
		resendTokens:     resendEntriesPerSecond,
		resendRefilledAt: now,
		schedulers:       map[azuretiller.ServiceID]*scheduler.Scheduler{},
		tickets:          scheduler.NewTickets(0),
		crashes:          crash.New(),
		roundRobins:      map[azuretiller.RouteID]*weightedRoundRobin{},
		recentResponses:  map[scheduler.Key]*cachedResponse{},
		runningAttempts:  map[message.TicketID]runningAttempt{},
		leaving:          map[azuretiller.InstanceID]leavingServer{},
		limiter:          newLimiter(rates, p),
		ledger:           shareledger.New(now, term, self, rates),
		loggedShare:      azuretiller.WholeRate,
		handedOver:       map[azuretiller.Term]bool{},
		rollouts:         newRollouts(p.Rollout, term),
		drainedBefore:    map[string]uint64{},
		silentSince:      map[string]time.Time{},
	}
	l.ledger.SetWindow(p.RateTolerance.Window)
	for _, peer := range peers {
		l.lost[peer] = now
	}
	return l
}

// Term returns the term of the leader.
func (l *Leader) Term() azuretiller.Term { return l.term }

// SetResigned sets whether this leader asks the other VMs to elect a successor. It keeps making decisions until there is one.
// SetResigned reports whether the value changed.
func (l *Leader) SetResigned(resigned bool) bool {
	changed := resigned != l.resigned
	l.resigned = resigned
	return changed
}

// SetParams replaces the parameters of the leader and of its schedulers.
func (l *Leader) SetParams(p Params) {
	l.params = p
	l.enableRollouts(p.Rollout)
	l.limiter.SetTolerance(p.RateTolerance, tolerancePart)
	l.ledger.SetWindow(p.RateTolerance.Window)
	for _, s := range l.schedulers {
		s.SetParams(p.Scheduler)
	}
}

// SetConfig replaces the configuration, which holds the rates of the teams.
func (l *Leader) SetConfig(now time.Time, c *config.Config) {
	l.config = c
	if c != nil {
		l.limiter.SetLimits(now, tokenbucket.Limits(c))
	}
	l.updateShare(now)
}

// AwaitServers lets requests wait until SetServers is called, at most until the given time.
func (l *Leader) AwaitServers(until time.Time) { l.serversAwaitedUntil = until }

// SetServers replaces the backend servers of all services.
func (l *Leader) SetServers(now time.Time, services map[azuretiller.ServiceID][]scheduler.Server) []Effect {
	l.serversAwaitedUntil = time.Time{}
	l.registered, l.inheritedUses, l.serversKnown = services, nil, true
	return l.applyServers(now)
}

// applyServers passes the registered servers, with those that are leaving closed, to the schedulers and to the view.
func (l *Leader) applyServers(now time.Time) []Effect {
	services := l.openServers(now)
	for id, s := range l.rollouts.services {
		l.scheduler(id).SetExposer(s.exposer())
	}
	var effects []Effect
	for service := range l.schedulers {
		if _, ok := services[service]; !ok {
			effects = append(effects, l.applyDecisions(now, service, l.schedulers[service].SetServers(now, nil))...)
		}
	}
	for service, servers := range services {
		effects = append(effects, l.applyDecisions(now, service, l.scheduler(service).SetServers(now, servers))...)
	}
	l.updateViewServers(now, services)
	return effects
}

// updateViewServers updates the servers of the view. It schedules a new view only if an entry that VMs use for placement without
// a leader changed.
func (l *Leader) updateViewServers(now time.Time, services map[azuretiller.ServiceID][]scheduler.Server) {
	list := ViewServers(now, services)
	for i := range list {
		if l.inheritedUses != nil {
			list[i].Rollout = l.inheritedUses[list[i].ID]
			continue
		}
		l.rollouts.roles.restrict(&list[i])
	}
	if !slices.Equal(list, l.servers) {
		l.viewChanged = true
	}
	l.servers = list
}

// ViewServers returns the server entries that VMs use for placement while no leader answers, ordered by id.
func ViewServers(now time.Time, services map[azuretiller.ServiceID][]scheduler.Server) []message.Server {
	var list []message.Server
	for service, servers := range services {
		for _, s := range servers {
			list = append(list, message.Server{
				ID:          s.ID,
				Service:     service,
				Address:     s.Address,
				Zone:        s.Zone,
				Slots:       s.Slots,
				Closed:      s.Closed || now.Before(s.ColdUntil),
				Incarnation: s.Incarnation,
			})
		}
	}
	slices.SortFunc(list, func(a, b message.Server) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (l *Leader) scheduler(service azuretiller.ServiceID) *scheduler.Scheduler {
	s := l.schedulers[service]
	if s == nil {
		s = scheduler.New(l.params.Scheduler, l.check, l.tickets)
		l.schedulers[service] = s
	}
	return s
}

// Receive handles a message from a VM.
func (l *Leader) Receive(now time.Time, from string, e message.Envelope) []Effect {
	switch b := e.Body.(type) {
	case message.Heartbeat:
		return l.receiveHeartbeat(now, from, e.Call, b)
	case message.PlaceRequest:
		return l.receivePlaceRequest(now, from, e.Call, b)
	case message.Report:
		effects := []Effect{Send{To: from, Message: message.Envelope{Call: e.Call, Body: message.ReportAck{Term: l.term}}}}
		return append(effects, l.receiveReport(now, from, b)...)
	}
	return nil
}

// Tick advances time: it ends queue waits, removes members without heartbeats, expires cached state and sends a changed view.
func (l *Leader) Tick(now time.Time) []Effect {
	l.tickedAt = now
	var effects []Effect
	for service, s := range l.schedulers {
		effects = append(effects, l.applyDecisions(now, service, s.Tick(now))...)
	}
	for peer, m := range l.members {
		if now.Sub(m.heartbeatAt) > heartbeatTimeout {
			delete(l.members, peer)
			l.lost[peer] = now
			l.drainedBefore[peer], l.silentSince[peer] = m.drainedView, m.heartbeatAt
			l.viewChanged = true
			effects = append(effects, LogLine{"vm lost", log.Fields{"vm": m.heartbeat.VM, "silent": now.Sub(m.heartbeatAt), "term": l.term}})
			effects = append(effects, l.releaseAttempts(now, peer)...)
		}
	}
	effects = append(effects, l.checkMembership(now)...)
	effects = append(effects, l.checkRates(now)...)
	for key, cached := range l.recentResponses {
		if now.Sub(cached.at) > responseRetention {
			delete(l.recentResponses, key)
		}
	}
	for ticket, attempt := range l.runningAttempts {
		if now.After(attempt.expiresAt) {
			delete(l.runningAttempts, ticket)
			l.observeRollout(now, attempt, message.Cancelled, 0)
		}
	}
	effects = append(effects, l.runRollouts(now)...)
	if l.viewChanged && now.Sub(l.viewSentAt) >= viewMinInterval {
		l.viewChanged = false
		effects = append(effects, l.sendView(now)...)
	}
	l.noteWithdrawn()
	return append(effects, l.refreshZones(now)...)
}
