package leader

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/rollout"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
)

// rolloutWait is how long a new leader lets requests wait for the state of the rollouts, which the store returns in milliseconds.
const rolloutWait = time.Second

// InheritServers sets the servers of the view of the former leader, which are used until the first call of SetServers.
func (l *Leader) InheritServers(now time.Time, servers []message.Server, services map[azuretiller.ServiceID][]scheduler.Server) []Effect {
	l.rollouts.inherited = map[azuretiller.InstanceID]bool{}
	l.rollouts.withdrawnBefore = map[azuretiller.InstanceID]bool{}
	l.inheritedUses = map[azuretiller.InstanceID]message.RolloutUse{}
	for _, s := range servers {
		l.rollouts.inherited[s.ID] = !s.Closed
		l.rollouts.withdrawnBefore[s.ID] = s.Rollout == message.Withdrawn
		l.inheritedUses[s.ID] = s.Rollout
	}
	l.registered = services
	return l.applyServers(now)
}

// enableRollouts replaces the bounds on rollouts. If there were none before, the servers in use stay so until the rollouts are known.
func (l *Leader) enableRollouts(p rollout.Params) {
	if !l.rollouts.enabled() && p.ExposeShare > 0 {
		l.rollouts.inherited = map[azuretiller.InstanceID]bool{}
		for _, s := range l.servers {
			l.rollouts.inherited[s.ID] = !s.Closed
		}
	}
	l.rollouts.params = p
}

// SetOrders replaces the orders for rollouts, which were read in this term.
func (l *Leader) SetOrders(now time.Time, orders map[azuretiller.ServiceID]azuretiller.RecordedOrder) []Effect {
	if !l.rollouts.enabled() {
		return nil
	}
	l.rollouts.orders, l.rollouts.ordersKnown = orders, true
	return l.runRollouts(now)
}

// RolloutsRead handles the result of ReadRollouts.
func (l *Leader) RolloutsRead(now time.Time, stored azuretiller.StoredRollouts, err error) []Effect {
	l.rollouts.read(now, stored, err)
	effects := l.runRollouts(now)
	if l.rollouts.store.replaced {
		effects = append(effects, ReadLeader{})
	}
	return effects
}

// RolloutStored handles the result of StoreRollout.
func (l *Leader) RolloutStored(now time.Time, record azuretiller.RolloutRecord, err error) []Effect {
	l.rollouts.written(now, record, err)
	return l.runRollouts(now)
}

// RolloutReported handles the result of ReportRollout.
func (l *Leader) RolloutReported(now time.Time, service azuretiller.ServiceID, status azuretiller.RolloutStatus, err error) []Effect {
	l.rollouts.reported(now, service, status, err)
	return l.runRollouts(now)
}

// StoreRestored makes the leader compare the rollouts with the store again, which came back from a copy.
func (l *Leader) StoreRestored() { l.rollouts.store.known = false }

// runRollouts advances the rollouts, and applies the roles of the servers if they changed.
func (l *Leader) runRollouts(now time.Time) []Effect {
	r := l.rollouts
	if !r.enabled() {
		return nil
	}
	wasReady := r.wasReady
	if r.ready() && l.serversKnown {
		r.reconcile(now, l.registered)
		r.wasReady = true
	}
	effects := l.tickControllers(now)
	changed := l.suspendRollouts(now) || r.wasReady != wasReady
	for id, s := range r.services {
		s.settle(now, r.store.stored.Statuses[id] == azuretiller.RolloutStatus{Target: s.order.Target, State: azuretiller.RolloutActive})
		if phase := s.phase(); phase != s.appliedPhase {
			r.log("rollout phase", l.phaseFields(now, id, s))
			changed = true
		}
	}
	if changed {
		effects = append(effects, l.applyServers(now)...)
	}
	effects = append(effects, l.probeLost(now)...)
	effects = append(effects, r.nextCall(now)...)
	effects = append(effects, r.logs...)
	r.logs = nil
	return effects
}

func (l *Leader) phaseFields(now time.Time, id azuretiller.ServiceID, s *serviceRollout) log.Fields {
	fields := log.Fields{"service": id, "target": s.order.Target, "in_use": s.inUse, "before": s.appliedPhase, "phase": s.phase()}
	if s.controller != nil {
		status := s.controller.Status(now)
		fields["exposed"], fields["requests"], fields["bad"] = status.Progress.Reserved, status.Progress.Requests, status.Progress.Bad
		fields["left"], fields["log_odds"], fields["reason"] = status.TimeLeft, status.LogOdds, status.Reason
	}
	return fields
}

// tickControllers lets the controllers decide.
func (l *Leader) tickControllers(now time.Time) []Effect {
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(l.rollouts.services)) {
		s := l.rollouts.services[id]
		if s.controller == nil {
			continue
		}
		for _, effect := range s.controller.Tick(now, l.rolloutServers(now, id, s)) {
			switch v := effect.(type) {
			case rollout.StoreProgress:
				s.next = &v.Progress
			case rollout.LogLine:
				fields := log.Fields(maps.Clone(v.Fields))
				fields["term"] = l.term
				effects = append(effects, LogLine{v.Name, fields})
			}
		}
	}
	return effects
}

// rolloutServers returns the servers of both versions that may get attempts.
func (l *Leader) rolloutServers(now time.Time, id azuretiller.ServiceID, s *serviceRollout) rollout.Servers {
	servers := rollout.Servers{OldInUse: l.oldInUse(now, id, s)}
	for _, server := range l.registered[id] {
		leaving, told := l.leaving[server.ID]
		if server.Closed || told && leaving.matches(server) {
			continue
		}
		entry := rollout.Server{ID: server.ID, Slots: server.Slots, Cold: now.Before(server.ColdUntil)}
		switch server.Version {
		case s.order.Target:
			servers.Target = append(servers.Target, entry)
		case s.inUse:
			servers.Old = append(servers.Old, entry)
		}
	}
	return servers
}

// exposer returns what admits attempts on servers on trial, or nil if the rollout has no controller.
func (s *serviceRollout) exposer() scheduler.Exposer {
	if s.controller == nil {
		return nil
	}
	return s.controller
}

// countPlaced tells the controller of a service about an attempt that was placed on a server of the target version after the cutover. The
// scheduler has asked the controller about those before it.
func (l *Leader) countPlaced(now time.Time, service azuretiller.ServiceID, d scheduler.Decision) *rollout.Controller {
	s := l.rollouts.services[service]
	if s == nil || s.controller == nil {
		return nil
	}
	if d.Server.Version == s.order.Target && !d.Server.Trial {
		s.controller.Expose(now, d.Route, d.Server.ID)
	}
	return s.controller
}

// observeRollout passes the result of an attempt to the controller of its service.
func (l *Leader) observeRollout(now time.Time, a runningAttempt, result message.Result, took time.Duration) {
	s := l.rollouts.services[a.service]
	if s == nil || s.controller == nil {
		return
	}
	onTarget := a.version == s.order.Target
	if onTarget && a.controller != s.controller || !onTarget && a.version != s.inUse {
		return
	}
	if !a.furtherAttempt && result.Sent() && result != message.Cancelled {
		s.controller.CountRequest(now)
	}
	s.controller.Observe(now, rollout.Outcome{Route: a.route, Server: a.server, OnTarget: onTarget, Result: result, Took: took})
}

// cancelAttempts tells the controllers that the results of the attempts of a lost VM will not be known.
func (l *Leader) cancelAttempts(now time.Time, vm string) {
	for ticket, a := range l.runningAttempts {
		if a.vm == vm && a.controller != nil {
			l.observeRollout(now, a, message.Cancelled, 0)
			a.controller = nil
			l.runningAttempts[ticket] = a
		}
	}
}

// awaitsRollouts reports whether a request should be sent again, since this leader does not know which servers may get it: it has just been
// elected, or was paused and may have been replaced meanwhile.
func (l *Leader) awaitsRollouts(now time.Time, backends []config.Backend) bool {
	switch {
	case !l.rollouts.enabled():
		return false
	case now.Sub(l.tickedAt) > heartbeatTimeout:
		return true
	case now.Sub(l.startedAt) > rolloutWait:
		return false
	}
	for _, b := range backends {
		if l.rollouts.awaits(b.Service) && !l.scheduler(b.Service).HasOpenServer() {
			return true
		}
	}
	return false
}

// RolloutState describes a rollout for dumps.
type RolloutState struct {
	Target, InUse azuretiller.Version
	Phase         string
	// Stored and Reported are the states in the store: of the progress, and of the operator's status.
	Stored, Reported string
	// Decision is the state of the controller, nil if the rollout has ended or is not resumed yet.
	Decision *rollout.Status
	// WithdrawnIn is the version of the view that withdraws the old servers, and OldInUse whether one may still be in use.
	WithdrawnIn uint64
	OldInUse    bool
}

// finite returns a number that JSON can hold.
func finite(x float64) float64 {
	if math.IsNaN(x) {
		return 0
	}
	return max(-math.MaxFloat64, min(math.MaxFloat64, x))
}

// RolloutStates returns the state of each rollout, for dumps.
func (l *Leader) RolloutStates(now time.Time) map[azuretiller.ServiceID]RolloutState {
	states := map[azuretiller.ServiceID]RolloutState{}
	for id, s := range l.rollouts.services {
		state := RolloutState{
			Target: s.order.Target, InUse: s.inUse, Phase: s.phase().String(), Stored: s.stored.State.String(),
			Reported: l.rollouts.store.stored.Statuses[id].State.String(), WithdrawnIn: s.withdrawnIn,
		}
		if s.controller != nil {
			status := s.controller.Status(now)
			status.LogOdds, status.Progress.LogOdds = finite(status.LogOdds), finite(status.Progress.LogOdds)
			state.Decision = &status
			state.OldInUse = l.oldInUse(now, id, s)
		}
		states[id] = state
	}
	return states
}
