package edge

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/datagram"
	"github.com/azuretiller/azuretiller/pkg/gateway"
	"github.com/azuretiller/azuretiller/pkg/leader"
	"github.com/azuretiller/azuretiller/pkg/member"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/platform"
)

// leaderReadResult is the result of reading the leader record for the membership of this VM.
type leaderReadResult struct {
	record azuretiller.LeaderRecord
	next   azuretiller.Position
	err    error
}

// leaderConfirmation is the result of reading the leader record for the leader role, which checks that its term is still the newest.
type leaderConfirmation struct {
	leaderReadResult
	took time.Duration
}

// ratesResult is the result of writing the shares of the rates for the leader of a term.
type ratesResult struct {
	term azuretiller.Term
	err  error
}

// claimResult is the result of writing the leader record to the store.
type claimResult struct {
	term azuretiller.Term
	err  error
}

// control runs the event loop of the control goroutine, which is the only one that accesses the control state.
func (e *Edge) control(ctx context.Context, reload <-chan platform.Settings) {
	ticks := e.timer.Subscribe(tickInterval)
	for {
		select {
		case event := <-e.urgent:
			e.handle(ctx, e.common.Clock.Now(), event)
			continue
		default:
		}
		select {
		case <-ctx.Done():
			return
		case event := <-e.urgent:
			e.handle(ctx, e.common.Clock.Now(), event)
		case s := <-reload:
			e.reload(s)
		case <-ticks:
			e.tick(ctx, e.common.Clock.Now())
		case event := <-e.inbox:
			e.handle(ctx, e.common.Clock.Now(), event)
		}
	}
}

func (e *Edge) tick(ctx context.Context, now time.Time) {
	e.member.SetReady(e.State().Ready(), e.revision())
	view := e.member.View()
	e.gate.SetView(view, now.Add(leader.MaxViewUse-e.member.ViewLeaseAge(now)))
	if e.gate.Drained() {
		e.member.SetDrained(view.Term, view.Version)
	}
	e.runMember(ctx, e.member.Tick(now))
	if e.leader != nil {
		if now.Sub(e.reads.leaderRefreshedAt) >= leaderRefreshInterval {
			e.refreshLeader(now)
		}
		e.runLeader(e.leader.Tick(now))
		if e.leader.SetResigned(e.leaving || e.storeUnavailable(now) || e.leader.ShouldHandOver(now)) {
			e.runLeader(e.leader.Announce())
		}
	}
	for _, change := range e.gate.Expire(now, e.State().Servers) {
		e.logEvent("server "+change.Verdict.String(), log.Fields{"server": change.Server.ID, "service": change.Server.Service, "incarnation": change.Server.Incarnation})
	}
	e.startReads(ctx, now)
	e.startFetch(ctx, now)
	e.publish(now)
}

func (e *Edge) revision() uint64 {
	if e.config == nil {
		return 0
	}
	return e.config.Revision
}

func (e *Edge) handle(ctx context.Context, now time.Time, event any) {
	switch v := event.(type) {
	case func():
		v()
	case datagram.Incoming:
		e.receive(ctx, now, v)
	case settingsResult:
		e.reads.settingsPending = false
		if v.err != nil {
			e.reads.nextSettingsRead = now.Add(readRetryInterval)
		}
		e.trackStoreHealth(now, v.err)
		if v.err == nil {
			e.trackEra(ctx, v.page.Next.Era)
			e.reads.lastSettingsRead = now
			e.reportOrders(v.page)
			if data := e.registryCache.ApplySettings(now, v.page); data != nil {
				e.applyConfig(now, data, "store")
			}
			e.refreshLeader(now)
		}
	case serversResult:
		e.reads.serversPending = false
		e.trackStoreHealth(now, v.err)
		if v.err != nil {
			e.registryCache.ReadFailed()
		} else {
			e.trackEra(ctx, v.page.Next.Era)
			e.reads.lastServersRead = now
			e.reportInvalidEntries(now, v.page)
			e.registryCache.ApplyServers(now, v.page)
			e.registryCache.PruneRemoved(now)
			e.refreshLeader(now)
		}
	case fetchResult:
		e.reads.fetchPending = false
		e.applyFetched(ctx, now, v)
	case leaderReadResult:
		e.runMember(ctx, e.member.LeaderRead(now, v.record, v.next, v.err))
	case leaderConfirmation:
		if v.err == nil {
			e.observeLeaderRecord(ctx, now, v)
		}
	case ratesResult:
		if e.leader != nil && e.leader.Term() == v.term {
			e.leader.RatesWritten(now, v.err)
		}
		if v.err != nil {
			e.common.Log.WithError(v.err).Warn("failed to write the shares of the rates")
		}
	case claimResult:
		e.runMember(ctx, e.member.Claimed(now, v.term, v.err))
	default:
		e.handleRollouts(now, v)
	}
	e.publish(now)
}

func (e *Edge) observeLeaderRecord(ctx context.Context, now time.Time, c leaderConfirmation) {
	var rates azuretiller.RateLedger
	if e.leader != nil {
		rates = e.leader.Rates()
	}
	e.runMember(ctx, e.member.ObserveLeaderRecord(now, c.record, c.next, rates))
	if e.leader != nil && c.record.Term == e.leader.Term() {
		e.leader.ConfirmTerm(now, c.took, c.record.Rates)
	}
}

// refreshLeader passes the newest backend servers to the leader role of this VM, if it has one and has read the servers in this term. Until it
// has read the settings too, only servers that were in use when the term began are open, since the zones of others may be out of service.
func (e *Edge) refreshLeader(now time.Time) {
	if e.leader == nil || e.reads.lastServersRead.IsZero() {
		return
	}
	settingsUnknown := e.reads.lastSettingsRead.IsZero()
	if settingsUnknown && len(e.reads.inheritedServers) == 0 {
		return
	}
	e.reads.leaderRefreshedAt = now
	services := e.registryCache.ServersByService(now, e.config)
	if settingsUnknown {
		closeServersExcept(services, e.reads.inheritedServers)
	}
	e.runLeader(e.leader.SetServers(now, services))
	if !settingsUnknown {
		e.runLeader(e.leader.SetOrders(now, e.registryCache.Orders(now)))
		e.measureRollouts(now)
	}
}

func (e *Edge) receive(ctx context.Context, now time.Time, in datagram.Incoming) {
	switch b := in.Body.(type) {
	case message.Heartbeat:
		if e.leader != nil {
			if b.Term <= e.member.Term() {
				e.runLeader(e.leader.Receive(now, in.From, in.Envelope))
				// A restored store may have an older configuration than the members read before.
				e.noteRevision(now, in.From, b.ConfigRevision)
				e.startFetch(ctx, now)
				return
			}
		}
		e.runMember(ctx, e.member.Receive(now, in.From, in.Call, in.Body))
	case message.PlaceRequest:
		if now.Sub(in.ReceivedAt) > maxPlaceRequestAge {
			e.common.Metrics.Counter("asks_expired").Inc(1)
			return
		}
		if e.leader == nil {
			rejected := message.PlaceResponse{Code: azuretiller.CodePoolMoved, Term: e.member.Term()}
			e.send(in.From, message.Envelope{Call: in.Call, Body: rejected})
			return
		}
		e.runLeader(e.leader.Receive(now, in.From, in.Envelope))
	case message.HandOver:
		if e.leader != nil {
			e.runLeader(e.leader.ReceiveHandOver(now, b))
		}
	case message.Report:
		if e.leader != nil {
			e.runLeader(e.leader.Receive(now, in.From, in.Envelope))
		}
	case message.PlaceResponse:
		// Responses that arrive in time go to the request that waits for them. This one is late, so its ticket is returned.
		if b.Ticket != 0 && b.Server != "" {
			e.send(in.From, message.Envelope{Body: message.Report{Ticket: b.Ticket, Result: message.Cancelled, Term: b.Term}})
		}
	case message.HeartbeatResponse:
		e.runMember(ctx, e.member.Receive(now, in.From, in.Call, in.Body))
		if b.IsLeader {
			e.noteRevision(now, in.From, b.ConfigRevision)
		}
		e.startFetch(ctx, now)
	default:
		e.runMember(ctx, e.member.Receive(now, in.From, in.Call, in.Body))
	}
}

func (e *Edge) runMember(ctx context.Context, effects []member.Effect) {
	// The effects may pledge the share of this VM to a leader.
	e.updateShare(e.common.Clock.Now())
	for _, effect := range effects {
		switch v := effect.(type) {
		case member.Send:
			e.send(v.To, v.Message)
		case member.ReadLeader:
			go func() { e.deliver(ctx, e.readLeader(ctx)) }()
		case member.Claim:
			go e.claim(ctx, v)
		case member.BecomeLeader:
			e.becomeLeader(v.Term, v.Rates)
		case member.StepDown:
			e.logEvent("stepping down", log.Fields{"newer": v.Newer})
			e.stepDown()
		case member.LogLine:
			e.logEvent(v.Name, v.Fields)
		}
	}
	e.sendHandOver()
}

func (e *Edge) readLeader(ctx context.Context) leaderReadResult {
	ctx, cancel := context.WithTimeout(ctx, leaderRecordTimeout)
	defer cancel()
	record, next, err := e.registry.ReadLeader(ctx)
	return leaderReadResult{record, next, err}
}

func (e *Edge) claim(ctx context.Context, c member.Claim) {
	callCtx, cancel := context.WithTimeout(ctx, leaderRecordTimeout)
	defer cancel()
	err := e.registry.ClaimLeader(callCtx, c.At, c.Record)
	e.deliver(ctx, claimResult{c.Record.Term, err})
}

func (e *Edge) becomeLeader(term azuretiller.Term, rates azuretiller.RateLedger) {
	now := e.common.Clock.Now()
	e.leader = leader.New(now, e.params(), e.check, term, e.self.ID, e.self.PeerAddress, rates, e.member.Peers())
	e.leader.SetConfig(now, e.config)
	// What this VM read before this term may be outdated, so the servers of the view are used until the first read of the term. If this
	// VM was cut off from the former leader, the view may be outdated as well, and requests wait for the read.
	e.reads.lastServersRead, e.reads.lastSettingsRead = time.Time{}, time.Time{}
	if e.member.ViewAge(now) > maxInheritedViewAge {
		e.reads.inheritedServers = nil
		e.leader.AwaitServers(now.Add(firstReadTimeout))
	} else {
		view := e.member.View()
		e.reads.inheritedServers = formerServers(view).InUse
		e.runLeader(e.leader.InheritServers(now, view.Servers, serversByService(view)))
	}
	e.reads.nextSettingsRead, e.reads.nextServersRead = time.Time{}, time.Time{}
	e.logEvent("leading", log.Fields{"term": term, "version": e.revision()})
}

// reload applies new bounds. The settings outside Bounds change only at a restart.
func (e *Edge) reload(s platform.Settings) {
	e.processSettings.Bounds = s.Bounds
	e.grace.Store(int64(s.Bounds.Grace))
	e.ttl.Store(int64(addressTTL(s.Bounds)))
	e.placer.SetTolerance(rateTolerance(s.Bounds))
	if e.leader != nil {
		e.leader.SetParams(e.params())
	}
	e.logEvent("reload", log.Fields{"vm": e.self.ID, "retry_ratio": s.Bounds.RetryRatio, "rate_over": s.Bounds.RateTolerance, "grace": s.Bounds.Grace})
}

func (e *Edge) runLeader(effects []leader.Effect) {
	for _, effect := range effects {
		switch v := effect.(type) {
		case leader.Send:
			e.send(v.To, v.Message)
		case leader.ReadLeader:
			e.confirmTerm(e.runCtx)
		case leader.WriteRates:
			go e.writeRates(e.runCtx, e.leader.Term(), v.Rates)
		case leader.ProbeVM:
			e.probeVM(e.runCtx, e.leader.Term(), v.Address)
		case leader.ReadRollouts, leader.StoreRollout, leader.ReportRollout:
			e.callRollouts(e.runCtx, e.leader.Term(), v)
		case leader.CountCrossing:
			e.common.Metrics.Tagged(map[string]string{"reason": v.Reason}).Counter("zone_crossings").Inc(1)
		case leader.CountRefusal:
			e.common.Metrics.Tagged(map[string]string{"reason": v.Reason}).Counter("refusals").Inc(1)
		case leader.LogLine:
			e.logEvent(v.Name, v.Fields)
		}
	}
}

// confirmTerm reads the leader record for the leader role.
func (e *Edge) confirmTerm(ctx context.Context) {
	go func() { e.deliver(ctx, e.readConfirmation(ctx)) }()
}

func (e *Edge) readConfirmation(ctx context.Context) leaderConfirmation {
	started := e.common.Clock.Now()
	result := e.readLeader(ctx)
	return leaderConfirmation{result, e.common.Clock.Now().Sub(started)}
}

func (e *Edge) startLeaving() {
	now := e.common.Clock.Now()
	e.leaving = true
	e.runMember(context.Background(), e.member.Leave(now))
	e.publish(now)
}

// publish makes the current state available to the request handlers.
func (e *Edge) publish(now time.Time) {
	_, address := e.member.Leader()
	view := e.member.View()
	s := &gateway.State{
		VM:              e.self.ID,
		Zone:            e.self.Zone,
		Config:          e.config,
		Term:            e.member.Term(),
		LeaderAddress:   address,
		LeaderReachable: e.member.LeaderReachable(now),
		Isolated:        e.member.LeaderUnreachableFor(now) > isolatedAfter,
		// The time counts from the start of the VM if no leader has answered yet; requests then also wait for the first configuration.
		LeaderExpected:   e.member.LeaderUnreachableFor(now) < leaderExpectedFor,
		Leaving:          e.leaving,
		SpreadRetryAfter: e.processSettings.FavorUrgent,
		Members:          view.Members,
		Servers:          closeUnrenewed(view.Servers, e.member.ViewLeaseAge(now)),
	}
	listed := listedServers{term: view.Term, version: view.Version}
	if !s.LeaderReachable && now.Sub(e.reads.lastRegistryRead()) < maxOwnServersAge && e.member.LeaderUnreachableFor(now) > leaderlessReadAfter {
		s.Servers = closeUnrenewed(e.ownServers(now), e.member.ViewLeaseAge(now))
		listed = listedServers{readAt: e.reads.lastServersRead}
	}
	if listed != e.listed {
		e.listed = listed
		e.gate.SetListed(now, s.Servers)
	}
	e.state.Store(s)
}
