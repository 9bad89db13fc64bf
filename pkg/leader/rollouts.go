package leader

import (
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/rollout"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
)

// orderHold is how long a new leader continues a rollout without an order after a restore of the store, whose copy may lack it. The operator writes
// its records again.
const orderHold = 5 * time.Second

// rollouts is the state of the rollouts of all services.
type rollouts struct {
	params rollout.Params
	term   azuretiller.Term
	// orders are those in force. Until ordersKnown they were not read in this term.
	orders      map[azuretiller.ServiceID]azuretiller.RecordedOrder
	ordersKnown bool
	store       rolloutStore
	services    map[azuretiller.ServiceID]*serviceRollout
	// inherited holds the servers that were in use according to the view of the former leader.
	inherited map[azuretiller.InstanceID]bool
	// withdrawnBefore holds the servers that this view withdrew.
	withdrawnBefore map[azuretiller.InstanceID]bool
	// inUse are the versions in use of services without a rollout.
	inUse map[azuretiller.ServiceID]versionInUse
	roles serverRoles
	// wasReady means that the roles have been determined with all of this.
	wasReady bool
	// suspended means that servers of services with a running rollout are not used, see Leader.suspendRollouts.
	suspended bool
	// logs are the lines that have not been returned as effects yet.
	logs []Effect
}

// versionInUse is the version in use of a service.
type versionInUse struct {
	version azuretiller.Version
	// seenAt is when a server of the version was last registered.
	seenAt time.Time
	// guessed means that it was only known to be the version of most servers.
	guessed bool
}

// serviceRollout is the rollout of one service: the running one or the last one.
type serviceRollout struct {
	order azuretiller.RecordedOrder
	// inUse is the version that was in use when the order was first seen.
	inUse azuretiller.Version
	// controller decides while the rollout is active. It is nil before the progress of a former leader has been written again, and once the
	// final state is stored.
	controller *rollout.Controller
	// resumed is the progress that a former leader stored, while it is written again so that this leader cannot write any more.
	resumed *azuretiller.RolloutProgress
	// targetInUse means that the target version was in use already, so that nothing is to be decided.
	targetInUse bool
	// final is the final state, and zero while the rollout is active.
	final azuretiller.RolloutState
	// next is the progress to write next, and sent the one whose write is under way or has an unknown result.
	next, sent *azuretiller.RolloutProgress
	// stored is the progress that the store confirmed, with state zero if it confirmed none.
	stored azuretiller.RolloutProgress
	// heldUntil is until when the order counts as in force although the store lacks it.
	heldUntil time.Time
	// withdrawnIn is the version of the first view that withdraws the old servers, zero if there is none.
	withdrawnIn uint64
	// appliedPhase is the phase with which the roles of the servers were determined.
	appliedPhase rollout.Phase
}

func newRollouts(p rollout.Params, term azuretiller.Term) *rollouts {
	return &rollouts{
		params:   p,
		term:     term,
		services: map[azuretiller.ServiceID]*serviceRollout{},
		inUse:    map[azuretiller.ServiceID]versionInUse{},
	}
}

// enabled reports whether the deployment has rollouts.
func (r *rollouts) enabled() bool { return r.params.ExposeShare > 0 }

// ready reports whether the orders and the stored rollouts are known.
func (r *rollouts) ready() bool { return r.ordersKnown && r.store.known }

// phase returns the phase, and zero while the progress of a former leader is written again.
func (s *serviceRollout) phase() rollout.Phase {
	switch {
	case s.final == azuretiller.RolloutCompleted || s.targetInUse:
		return rollout.Completed
	case s.final == azuretiller.RolloutReverted:
		return rollout.Reverted
	case s.controller != nil:
		return s.controller.Phase()
	}
	return 0
}

// currentVersion returns the version in use if the rollout ended now.
func (s *serviceRollout) currentVersion() azuretiller.Version {
	if s.phase() == rollout.Completed {
		return s.order.Target
	}
	return s.inUse
}

// reconcile compares the rollouts with the orders and with what is stored. It must be called only when both are known.
func (r *rollouts) reconcile(now time.Time, servers map[azuretiller.ServiceID][]scheduler.Server) {
	ids := map[azuretiller.ServiceID]bool{}
	for _, keys := range [][]azuretiller.ServiceID{
		slices.Collect(maps.Keys(r.orders)), slices.Collect(maps.Keys(r.store.stored.Records)),
		slices.Collect(maps.Keys(r.store.stored.Statuses)), slices.Collect(maps.Keys(r.services)),
	} {
		for _, id := range keys {
			ids[id] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		r.reconcileService(now, id, servers[id])
	}
}

func (r *rollouts) reconcileService(now time.Time, id azuretiller.ServiceID, servers []scheduler.Server) {
	order, ordered := r.orders[id]
	s := r.services[id]
	if s != nil && s.inUse == "" && s.phase() != rollout.Completed {
		// The service had no servers when its order was seen.
		s.inUse = r.versionInUse(now, id, servers, s.order.Target)
	}
	switch {
	case s == nil && ordered:
		r.accept(now, order, servers)
	case s == nil:
		r.restore(now, id, servers)
	case ordered && !s.order.Same(order):
		if s.final == 0 {
			r.log("rollout replaced", log.Fields{"service": id, "target": s.order.Target, "phase": s.phase(), "by": order.Target})
		}
		r.begin(now, order, s.currentVersion(), servers)
	case ordered:
		// After a restore of the store, the order has another position.
		s.order, s.heldUntil = order, time.Time{}
	case now.Before(s.heldUntil):
	case s.final == 0 && s.stored.State == 0 && s.sent == nil:
		r.log("rollout deleted", log.Fields{"service": id, "target": s.order.Target, "phase": s.phase()})
		delete(r.services, id)
	case s.final == 0:
		r.log("rollout deleted", log.Fields{"service": id, "target": s.order.Target, "phase": s.phase()})
		s.end(now, azuretiller.RolloutReverted)
	}
}

// accept starts or resumes the rollout of an order that this leader sees for the first time.
func (r *rollouts) accept(now time.Time, order azuretiller.RecordedOrder, servers []scheduler.Server) {
	record, recorded := r.store.stored.Records[order.Service]
	status := r.store.stored.Statuses[order.Service]
	switch {
	case recorded && record.Invalid == nil && record.Order.Same(order):
		r.resume(now, order, record, servers)
	case recorded && record.Invalid == nil:
		r.begin(now, order, versionAfter(record), servers)
	case recorded, status.State != 0 && status.Target == order.Target:
		r.endWithoutProgress(now, order, record, status, servers)
	case status.State == azuretiller.RolloutCompleted:
		r.begin(now, order, status.Target, servers)
	default:
		// Beside servers of the target version, those of another version are the ones in use.
		inUse := r.versionInUse(now, order.Service, servers, order.Target)
		if r.inUse[order.Service].guessed && inUse == order.Target {
			inUse, _ = commonVersion(servers, order.Target)
		}
		if inUse == "" && len(servers) > 0 {
			inUse = order.Target
		}
		r.begin(now, order, inUse, servers)
	}
}

// versionAfter returns the version that is in use after a recorded rollout.
func versionAfter(record azuretiller.RolloutRecord) azuretiller.Version {
	if record.Progress.State == azuretiller.RolloutCompleted {
		return record.Order.Target
	}
	return record.InUse
}

// begin starts the rollout of a new order.
func (r *rollouts) begin(now time.Time, order azuretiller.RecordedOrder, inUse azuretiller.Version, servers []scheduler.Server) {
	s := &serviceRollout{order: order, inUse: inUse, targetInUse: inUse == order.Target}
	fields := log.Fields{"service": order.Service, "target": order.Target, "duration": order.Duration, "in_use": inUse, "order": order.At.Offset, "old_servers": 0, "target_servers": 0}
	for _, server := range servers {
		switch server.Version {
		case order.Target:
			fields["target_servers"] = fields["target_servers"].(int) + 1
		case inUse:
			fields["old_servers"] = fields["old_servers"].(int) + 1
		}
	}
	r.services[order.Service] = s
	if s.targetInUse {
		s.next = &azuretiller.RolloutProgress{Target: order.Target, State: azuretiller.RolloutActive, Started: now}
		r.log("rollout target in use", fields)
		return
	}
	s.controller = rollout.New(now, r.params, order.RolloutOrder, azuretiller.RolloutProgress{})
	r.log("rollout accepted", fields)
	if fields["target_servers"] == 0 {
		r.log("rollout without servers", log.Fields{"service": order.Service, "target": order.Target, "service_known": len(servers) > 0})
	}
}

// resume continues the rollout of an order that a former leader has accepted. Its progress is first written again, so that the former leader
// cannot write any more, and nothing is exposed before.
func (r *rollouts) resume(now time.Time, order azuretiller.RecordedOrder, record azuretiller.RolloutRecord, servers []scheduler.Server) {
	s := &serviceRollout{order: order, inUse: record.InUse, stored: record.Progress}
	r.services[order.Service] = s
	switch {
	case record.Progress.State.Final():
		s.final = record.Progress.State
	case record.InUse == order.Target:
		s.targetInUse = true
	case r.endedBefore(order, record, servers) != 0:
		s.end(now, r.endedBefore(order, record, servers))
	default:
		progress := record.Progress
		s.resumed, s.next = &progress, &progress
	}
	r.log("rollout resumed", log.Fields{
		"service": order.Service, "target": order.Target, "in_use": record.InUse, "state": record.Progress.State, "cutover": record.Progress.Cutover,
		"reserved": record.Progress.Reserved, "requests": record.Progress.Requests, "bad": record.Progress.Bad, "from": record.Term,
	})
}

// endedBefore returns the final state that the former leader had determined, as its view shows, although the record is that of an active rollout: the
// store came back from a copy that lacks the newer record. Views withdraw servers of the target version only after a rollout was reverted, and open
// them only after it was completed.
func (r *rollouts) endedBefore(order azuretiller.RecordedOrder, record azuretiller.RolloutRecord, servers []scheduler.Server) azuretiller.RolloutState {
	if record.Term.Era() >= r.store.stored.NextRecord.Era {
		return 0
	}
	for _, s := range servers {
		switch {
		case s.Version != order.Target:
		case r.withdrawnBefore[s.ID]:
			return azuretiller.RolloutReverted
		case r.inherited[s.ID]:
			return azuretiller.RolloutCompleted
		}
	}
	return 0
}

// endWithoutProgress ends the rollout of an order whose progress is unreadable or missing although a status of the target was written. Nothing
// can be exposed, since it is unknown how much was. A final status holds.
func (r *rollouts) endWithoutProgress(now time.Time, order azuretiller.RecordedOrder, record azuretiller.RolloutRecord, status azuretiller.RolloutStatus, servers []scheduler.Server) {
	state, inUse := azuretiller.RolloutReverted, azuretiller.Version("")
	switch {
	case status.State.Final() && status.Target == order.Target:
		state = status.State
	case status.State == azuretiller.RolloutCompleted:
		inUse = status.Target
	}
	if inUse == "" {
		inUse = r.versionInUse(now, order.Service, servers, order.Target)
	}
	s := &serviceRollout{order: order, inUse: inUse}
	r.services[order.Service] = s
	s.end(now, state)
	r.log("rollout progress unreadable", log.Fields{"service": order.Service, "target": order.Target, "state": state, "reason": record.Invalid})
}

// restore determines the versions of a service without an order that had one before.
func (r *rollouts) restore(now time.Time, id azuretiller.ServiceID, servers []scheduler.Server) {
	record, recorded := r.store.stored.Records[id]
	status := r.store.stored.Statuses[id]
	switch {
	case recorded && record.Invalid == nil && !record.Progress.State.Final() && record.Order.At.Era < r.store.stored.NextRecord.Era:
		r.resume(now, record.Order, record, servers)
		r.services[id].heldUntil = now.Add(orderHold)
	case recorded && record.Invalid == nil:
		s := &serviceRollout{order: record.Order, inUse: record.InUse, stored: record.Progress, final: record.Progress.State}
		r.services[id] = s
		if !record.Progress.State.Final() {
			r.log("rollout deleted", log.Fields{"service": id, "target": record.Order.Target})
			s.end(now, azuretiller.RolloutReverted)
		}
	case status.State != 0:
		s := &serviceRollout{final: status.State}
		if !status.State.Final() {
			s.final = azuretiller.RolloutReverted
		}
		s.order.Service, s.order.Target = id, status.Target
		s.inUse = r.versionInUse(now, id, servers, status.Target)
		s.stored.State = s.final
		r.services[id] = s
	}
}

// end ends the rollout with a final state, without the controller.
func (s *serviceRollout) end(now time.Time, state azuretiller.RolloutState) {
	progress := s.stored
	if s.controller != nil {
		progress = s.controller.Status(now).Progress
	}
	if progress.Started.IsZero() {
		progress.Started = now
	}
	progress.Target, progress.State = s.order.Target, state
	s.controller, s.resumed, s.targetInUse, s.final, s.next = nil, nil, false, state, &progress
}

// settle releases the controller once its final state is stored, and ends a rollout whose target was in use already.
func (s *serviceRollout) settle(now time.Time, reported bool) {
	switch {
	case s.controller != nil && s.controller.State().Final():
		s.stored = s.controller.Status(now).Progress
		s.final, s.controller = s.controller.State(), nil
	case s.targetInUse && reported && s.next == nil && s.sent == nil:
		s.end(now, azuretiller.RolloutCompleted)
	}
}

func (r *rollouts) log(name string, fields log.Fields) {
	fields["term"] = r.term
	r.logs = append(r.logs, LogLine{name, fields})
}
