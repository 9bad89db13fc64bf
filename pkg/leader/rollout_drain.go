package leader

import (
	"math"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/rollout"
)

const (
	// MaxViewUse is how long after its last answered heartbeat a VM alone uses servers that a rollout may withdraw. A lost leader is usually
	// replaced sooner.
	MaxViewUse = 1500 * time.Millisecond
	// probeInterval is the time between two probes of lost VMs.
	probeInterval = 300 * time.Millisecond
	// maxUnconfirmed is how long a leader that lost many VMs uses such servers since the store last confirmed its term, as a successor may have
	// withdrawn them.
	maxUnconfirmed = MaxViewUse
	// attemptGrace is the time after the deadline of an attempt without a report at which it counts as ended.
	attemptGrace = 500 * time.Millisecond
	// defaultLongestRequest is the assumed longest timeout of a request while there is no configuration.
	defaultLongestRequest = 30 * time.Second
)

// oldInUse reports whether an attempt may still run on an old server of a service after the cutover, or a VM may still send one there.
func (l *Leader) oldInUse(now time.Time, id azuretiller.ServiceID, s *serviceRollout) bool {
	if s.phase() != rollout.Cutover || s.withdrawnIn == 0 || now.Sub(l.startedAt) < joinTime {
		// VMs that this leader does not know from earlier views join it within joinTime.
		return true
	}
	for _, a := range l.runningAttempts {
		if a.service == id && a.version != s.order.Target && now.Before(a.deadline.Add(attemptGrace)) {
			return true
		}
	}
	for _, m := range l.members {
		if m.drainedView < s.withdrawnIn {
			return true
		}
	}
	return l.lostMayUseOld(now, s)
}

// lostMayUseOld reports whether a VM that does not follow this leader may still use old servers. Such a VM ceases to send requests there
// MaxViewUse after its last heartbeat that a leader answered, and the last ones end by their deadlines or with its process. The leader that it follows, if there is another one,
// has not been confirmed since this term was claimed, see suspendRollouts.
func (l *Leader) lostMayUseOld(now time.Time, s *serviceRollout) bool {
	longest := defaultLongestRequest
	if l.config != nil {
		longest = l.config.LongestTimeout()
	}
	for peer, since := range l.lost {
		if l.drainedBefore[peer] >= s.withdrawnIn {
			continue
		}
		// A VM that this leader knows from earlier terms may have had contact until this term began.
		if at, ok := l.silentSince[peer]; ok {
			since = at
		}
		if now.Before(since.Add(MaxViewUse + longest)) {
			return true
		}
	}
	return false
}

// ProbeVM connects to a lost VM. If the connection is refused, the process calls VMGone.
type ProbeVM struct{ Address string }

func (ProbeVM) effect() {}

// VMGone records that the process of a lost VM has ended. A new process learns of the rollouts before it uses servers.
func (l *Leader) VMGone(address string) {
	if _, ok := l.lost[address]; ok {
		l.drainedBefore[address] = math.MaxUint64
	}
}

// probeLost returns probes of the lost VMs for which a completion waits.
func (l *Leader) probeLost(now time.Time) []Effect {
	if now.Sub(l.probedAt) < probeInterval {
		return nil
	}
	var effects []Effect
	for _, s := range l.rollouts.services {
		if s.phase() != rollout.Cutover || !l.lostMayUseOld(now, s) {
			continue
		}
		l.probedAt = now
		for peer := range l.lost {
			if l.drainedBefore[peer] < s.withdrawnIn {
				effects = append(effects, ProbeVM{Address: peer})
			}
		}
		return effects
	}
	return nil
}

// suspendRollouts stops the use of the servers of running rollouts, which a successor may have withdrawn, while this leader may have one without knowing it. It
// reports whether that changed. While only the store is unavailable, there is no successor, and the VMs still follow this leader.
func (l *Leader) suspendRollouts(now time.Time) bool {
	confirmed := l.startedAt
	if l.confirmedAt.After(confirmed) {
		confirmed = l.confirmedAt
	}
	r := l.rollouts
	running := false
	for _, s := range r.services {
		running = running || s.final == 0
	}
	suspended := running && now.Sub(confirmed) > maxUnconfirmed && (r.suspended || l.peakMembers > 1 && l.mayBePartitioned())
	if suspended == r.suspended {
		return false
	}
	r.suspended = suspended
	r.log("rollouts suspended", log.Fields{"suspended": suspended, "members": len(l.members), "unconfirmed": now.Sub(confirmed)})
	return true
}

// noteWithdrawn records the version of the view that first withdraws the old servers, after a view was sent or found unchanged.
func (l *Leader) noteWithdrawn() {
	for id, s := range l.rollouts.services {
		if s.appliedPhase != rollout.Cutover || s.withdrawnIn > 0 || l.viewVersion == 0 {
			continue
		}
		if l.viewWithdraws(id, s) {
			s.withdrawnIn = l.viewVersion
		}
	}
}

// viewWithdraws reports whether the view that was sent last withdraws all old servers of a service.
func (l *Leader) viewWithdraws(id azuretiller.ServiceID, s *serviceRollout) bool {
	sent := map[azuretiller.InstanceID]message.RolloutUse{}
	for _, server := range l.sentView.Servers {
		if server.Service == id {
			sent[server.ID] = server.Rollout
		}
	}
	for _, server := range l.registered[id] {
		if server.Version != s.order.Target && sent[server.ID] != message.Withdrawn {
			return false
		}
	}
	return len(l.registered[id]) > 0
}
