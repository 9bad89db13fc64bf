package poolhome

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
	// handoverWait is how long a pool starts nothing while its former home is asked.
	handoverWait = 300 * time.Millisecond
	// handoverGap is the time between two questions to the former home.
	handoverGap = 100 * time.Millisecond
	// handoverTries is how often in a row a former home that still decides, or does not answer, is asked.
	handoverTries = 50
)

// HandoverState tells whether the former home of a pool gave it up.
type HandoverState int

// The states of a former home.
const (
	// Deciding homes have not learnt of the change yet.
	Deciding HandoverState = iota + 1
	// Unknowing VMs hold no such pool.
	Unknowing
	// Stopped homes start nothing any more.
	Stopped
)

// Handover is the answer of a former home.
type Handover struct {
	State     HandoverState
	Knowledge pool.Knowledge
}

// Handover gives up a pool that another VM decides for since a version, if this VM's view does not contradict it.
func (h *Home) Handover(id azuretiller.PoolID, version azuretiller.Revision) Handover {
	h.mu.Lock()
	r := h.pools[id]
	h.mu.Unlock()
	if r == nil {
		return Handover{State: Unknowing}
	}
	current := h.current()
	r.mu.Lock()
	defer r.mu.Unlock()
	p, _ := current.Topology.Find(id)
	if p.Home.ID == current.Self.ID && current.Version >= version {
		return Handover{State: Deciding}
	}
	r.home = false
	r.movedAt = version
	knowledge, actions := r.pool.HandOver(h.common.Clock.Now())
	h.act(r, id, actions)
	return Handover{State: Stopped, Knowledge: knowledge}
}

// noteHome starts to decide for a pool whose home this VM has become. The runner's lock is held.
func (h *Home) noteHome(r *runner, id azuretiller.PoolID, s *snapshot.Snapshot, now time.Time) {
	p, _ := s.Topology.Find(id)
	isHome := p.Home.ID == s.Self.ID
	became := isHome && !r.home && s.Version >= r.movedAt
	if !isHome || became {
		r.home = isHome
	}
	if !became {
		return
	}
	former := formerHome(id, s)
	if former.ID == "" {
		r.pool.Await(now)
		return
	}
	r.pool.Await(now.Add(handoverWait))
	go h.takeOver(r, id, former, s.Version)
}

// formerHome returns the VM that would decide if this one were not there, which is the former home also when this VM
// follows one that leaves.
func formerHome(id azuretiller.PoolID, s *snapshot.Snapshot) azuretiller.VM {
	var others []azuretiller.VM
	for _, vm := range s.Members {
		if vm.ID != s.Self.ID && !slices.Contains(s.Down, vm.ID) {
			others = append(others, vm)
		}
	}
	return topology.HomeAmong(id, others)
}

// takeOver asks the former home until it has stopped and runs nothing any more.
func (h *Home) takeOver(r *runner, id azuretiller.PoolID, former azuretiller.VM, version azuretiller.Revision) {
	taken := false
	for tries := 0; tries < handoverTries; tries++ {
		answer := h.askFormer(former, id, version)
		if h.apply(r, id, answer, &taken) {
			return
		}
		if answer.State == Stopped {
			tries = 0
		}
		time.Sleep(handoverGap)
	}
	// The former home is gone, and with it the connections on which its requests ran.
	h.apply(r, id, Handover{State: Unknowing}, &taken)
}

func (h *Home) askFormer(former azuretiller.VM, id azuretiller.PoolID, version azuretiller.Revision) Handover {
	ctx, cancel := context.WithTimeout(context.Background(), handoverWait)
	defer cancel()
	answer, err := h.peers.Handover(ctx, former, id, version)
	if err != nil {
		h.common.Log.WithField("pool", id.String()).WithField("vm", former.ID).WithField("error", err).Debug("no handover")
	}
	return answer
}

// apply takes an answer in and reports whether it is the last one.
func (h *Home) apply(r *runner, id azuretiller.PoolID, answer Handover, taken *bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := h.common.Clock.Now()
	switch {
	case answer.State == Unknowing:
		h.act(r, id, r.pool.TakeOver(now, pool.Knowledge{}))
		return true
	case answer.State != Stopped:
		return !r.home
	case !*taken:
		*taken = true
		h.common.Log.WithField("pool", id.String()).Info("pool taken over")
		h.act(r, id, r.pool.TakeOver(now, answer.Knowledge))
	default:
		h.act(r, id, r.pool.Release(now, answer.Knowledge))
	}
	return answer.Knowledge.Idle()
}
