package poolowner

import (
	"context"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/pool"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
	"github.com/azuretiller/azuretiller/pkg/topology"
)

const (
	// handoverTimeout limits each request to the former owner, and the time for which the new owner starts no requests
	// of the pool while it waits for the former owner.
	handoverTimeout = 300 * time.Millisecond
	// handoverRetryInterval is the pause between two requests to the former owner.
	handoverRetryInterval = 100 * time.Millisecond
	// maxHandoverAttempts is the number of consecutive requests after which a former owner that does not respond, or
	// that still schedules the pool, is treated as failed.
	maxHandoverAttempts = 50
)

// HandoverState tells whether the former owner of a pool has stopped scheduling it. It is zero if the former owner did
// not respond.
type HandoverState int

// The states of a former owner.
const (
	// StillOwner means that the VM still schedules the pool, because its view is at least as new as that of the VM that
	// requested the handover, and names it as the owner.
	StillOwner HandoverState = iota + 1
	// PoolUnknown means that the VM has no state of the pool and runs no requests of it.
	PoolUnknown
	// Stopped means that the VM starts no more requests of the pool.
	Stopped
)

// HandoverResponse is the response of a former owner to a handover request.
type HandoverResponse struct {
	State        HandoverState
	ServerStates pool.State
}

// HandOver stops the scheduling of a pool on this VM, because another VM owns the pool as of the given version. It
// returns the state of the pool's servers. It does not stop if this VM's view has that version or a newer one and still
// names this VM as the owner.
func (m *Manager) HandOver(id azuretiller.PoolID, version azuretiller.Revision) HandoverResponse {
	m.mu.Lock()
	r := m.pools[id]
	m.mu.Unlock()
	if r == nil {
		return HandoverResponse{State: PoolUnknown}
	}
	current := m.current()
	r.mu.Lock()
	defer r.mu.Unlock()
	p, _ := current.Topology.Find(id)
	if p.Owner.ID == current.Self.ID && current.Version >= version {
		return HandoverResponse{State: StillOwner}
	}
	r.isOwner = false
	r.handoverVersion = version
	state, actions := r.pool.HandOver(m.common.Clock.Now())
	m.execute(r, id, actions)
	return HandoverResponse{State: Stopped, ServerStates: state}
}

// updateOwnership updates whether this VM owns the pool, and starts a takeover if it has become the owner. A snapshot
// older than the last handover does not restore ownership. The caller must hold the runner's lock.
func (m *Manager) updateOwnership(r *runner, id azuretiller.PoolID, s *snapshot.Snapshot, now time.Time) {
	p, _ := s.Topology.Find(id)
	isOwner := p.Owner.ID == s.Self.ID
	becameOwner := isOwner && !r.isOwner && s.Version >= r.handoverVersion
	if !isOwner || becameOwner {
		r.isOwner = isOwner
	}
	if !becameOwner {
		return
	}
	former := formerOwner(id, s)
	if former.ID == "" {
		r.pool.Activate(now)
		return
	}
	r.pool.Activate(now.Add(handoverTimeout))
	go m.takeOver(r, id, former, s.Version)
}

// formerOwner returns the VM that would own the pool if this VM did not exist. It also considers members that are
// leaving, so it returns the former owner even if this VM owns the pool because that VM is leaving.
func formerOwner(id azuretiller.PoolID, s *snapshot.Snapshot) azuretiller.VM {
	var others []azuretiller.VM
	for _, vm := range s.Members {
		if vm.ID != s.Self.ID && !slices.Contains(s.Down, vm.ID) {
			others = append(others, vm)
		}
	}
	return topology.OwnerAmong(id, others)
}

// takeOver sends handover requests to the former owner until that VM has stopped scheduling the pool and none of its
// requests run any more.
func (m *Manager) takeOver(r *runner, id azuretiller.PoolID, former azuretiller.VM, version azuretiller.Revision) {
	stateApplied := false
	for attempts := 0; attempts < maxHandoverAttempts; attempts++ {
		response := m.requestHandover(former, id, version)
		if m.applyHandover(r, id, response, &stateApplied) {
			return
		}
		if response.State == Stopped {
			attempts = 0
		}
		time.Sleep(handoverRetryInterval)
	}
	// The former owner is treated as failed. Its requests are assumed to have ended together with its connections.
	m.applyHandover(r, id, HandoverResponse{State: PoolUnknown}, &stateApplied)
}

func (m *Manager) requestHandover(former azuretiller.VM, id azuretiller.PoolID, version azuretiller.Revision) HandoverResponse {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	response, err := m.peers.Handover(ctx, former, id, version)
	if err != nil {
		m.common.Log.WithField("pool", id.String()).WithField("vm", former.ID).WithField("error", err).Debug("handover request failed")
	}
	return response
}

// applyHandover applies a response of the former owner and reports whether the takeover has ended.
func (m *Manager) applyHandover(r *runner, id azuretiller.PoolID, response HandoverResponse, stateApplied *bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := m.common.Clock.Now()
	switch {
	case response.State == PoolUnknown:
		m.execute(r, id, r.pool.TakeOver(now, pool.State{}))
		return true
	case response.State != Stopped:
		return !r.isOwner
	case !*stateApplied:
		*stateApplied = true
		m.common.Log.WithField("pool", id.String()).Info("pool taken over")
		m.execute(r, id, r.pool.TakeOver(now, response.ServerStates))
	default:
		m.execute(r, id, r.pool.UpdateRemoteBusy(now, response.ServerStates))
	}
	return response.ServerStates.Idle()
}
