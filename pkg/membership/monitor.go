package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

// Monitor is the failure detector of one VM. Callers pass in the current time.
type Monitor struct {
	self        azuretiller.VMID
	params      Params
	members     map[azuretiller.VMID]azuretiller.VM
	rings       rings
	lastAliveAt map[azuretiller.VMID]time.Time
	// accusations maps subject and observer to the time at which the observer last renewed the accusation.
	accusations map[azuretiller.VMID]map[azuretiller.VMID]time.Time
	down        map[azuretiller.VMID]bool
	lastTick    time.Time
}

// New returns a monitor with an empty roster.
func New(self azuretiller.VMID, params Params) *Monitor {
	return &Monitor{
		self:        self,
		params:      params,
		members:     map[azuretiller.VMID]azuretiller.VM{},
		lastAliveAt: map[azuretiller.VMID]time.Time{},
		accusations: map[azuretiller.VMID]map[azuretiller.VMID]time.Time{},
		down:        map[azuretiller.VMID]bool{},
	}
}

// SetRoster replaces the roster. A new incarnation of a VM starts without accusations.
func (m *Monitor) SetRoster(members []azuretiller.VM, now time.Time) {
	next := make(map[azuretiller.VMID]azuretiller.VM, len(members))
	for _, vm := range members {
		next[vm.ID] = vm
		if previous, ok := m.members[vm.ID]; !ok || previous.Incarnation != vm.Incarnation {
			delete(m.accusations, vm.ID)
			m.lastAliveAt[vm.ID] = now
		}
	}
	m.members = next
	m.rings = newRings(members, m.params.Degree)
	maps.DeleteFunc(m.accusations, func(id azuretiller.VMID, _ map[azuretiller.VMID]time.Time) bool {
		_, ok := next[id]
		return !ok
	})
	maps.DeleteFunc(m.lastAliveAt, func(id azuretiller.VMID, _ time.Time) bool {
		_, ok := next[id]
		return !ok
	})
	for _, id := range m.Subjects() {
		if _, ok := m.lastAliveAt[id]; !ok {
			m.lastAliveAt[id] = now
		}
	}
	m.updateDown(now)
}

// Subjects returns the VMs that this VM sends heartbeats to.
func (m *Monitor) Subjects() []azuretiller.VMID {
	return m.rings.subjects[m.self]
}

// RecordAlive records that a VM is alive: this VM received a message from it, or a relay VM received its answer. Messages of an
// older incarnation are ignored.
func (m *Monitor) RecordAlive(id azuretiller.VMID, incarnation azuretiller.Incarnation, now time.Time) {
	member, ok := m.members[id]
	if !ok || incarnation < member.Incarnation {
		return
	}
	m.lastAliveAt[id] = now
	delete(m.accusations[id], m.self)
}

// Tick accuses the subjects whose timeout has passed and returns those that other VMs should be asked to ping.
func (m *Monitor) Tick(now time.Time) []azuretiller.VMID {
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) > m.params.MaxTickInterval {
		m.resetAfterPause(now)
	}
	m.lastTick = now
	var suspects []azuretiller.VMID
	for _, id := range m.Subjects() {
		sinceAlive := now.Sub(m.lastAliveAt[id])
		if sinceAlive > m.params.SuspectTimeout {
			suspects = append(suspects, id)
		}
		if sinceAlive > m.params.AccuseTimeout {
			m.recordAccusation(id, m.self, now)
		}
	}
	m.updateDown(now)
	return suspects
}

// resetAfterPause restarts the timeouts of all subjects and withdraws the accusations of this VM, because a pause of this VM
// can explain the missing heartbeats.
func (m *Monitor) resetAfterPause(now time.Time) {
	for id := range m.lastAliveAt {
		m.lastAliveAt[id] = now
		delete(m.accusations[id], m.self)
	}
}

// Merge adds accusations that another VM forwarded. It ignores accusations by or against this VM, against another
// incarnation, and by a VM that does not observe the accused VM.
func (m *Monitor) Merge(accusations []Accusation, now time.Time) {
	for _, a := range accusations {
		member, ok := m.members[a.VM]
		if !ok || member.Incarnation != a.Incarnation || a.Observer == m.self || a.VM == m.self {
			continue
		}
		if !slices.Contains(m.rings.observers[a.VM], a.Observer) {
			continue
		}
		m.recordAccusation(a.VM, a.Observer, now.Add(-a.Age))
	}
	m.updateDown(now)
}

func (m *Monitor) recordAccusation(id, observer azuretiller.VMID, at time.Time) {
	byObserver := m.accusations[id]
	if byObserver == nil {
		byObserver = map[azuretiller.VMID]time.Time{}
		m.accusations[id] = byObserver
	}
	if at.After(byObserver[observer]) {
		byObserver[observer] = at
	}
}

// Accusations returns the accusations to forward to other VMs, sorted by subject and observer.
func (m *Monitor) Accusations(now time.Time) []Accusation {
	var out []Accusation
	for _, id := range slices.Sorted(maps.Keys(m.accusations)) {
		for _, observer := range slices.Sorted(maps.Keys(m.accusations[id])) {
			age := now.Sub(m.accusations[id][observer])
			if age < m.params.AccusationTTL {
				out = append(out, Accusation{VM: id, Incarnation: m.members[id].Incarnation, Observer: observer, Age: age})
			}
		}
	}
	return out
}

// updateDown deletes expired accusations and marks a VM as down when a quorum of its observers accuses it.
func (m *Monitor) updateDown(now time.Time) {
	clear(m.down)
	for id, byObserver := range m.accusations {
		maps.DeleteFunc(byObserver, func(_ azuretiller.VMID, at time.Time) bool {
			return now.Sub(at) >= m.params.AccusationTTL
		})
		if len(byObserver) == 0 {
			delete(m.accusations, id)
		}
	}
	for id, byObserver := range m.accusations {
		if len(byObserver) >= m.quorum(id) {
			m.down[id] = true
		}
	}
}

// quorum returns the number of accusations that marks a VM as down: a majority of its eligible observers, and at least two
// if there are two. An observer that is accused itself is eligible only while it accuses the VM.
func (m *Monitor) quorum(id azuretiller.VMID) int {
	eligible := 0
	for _, observer := range m.rings.observers[id] {
		_, accused := m.accusations[observer]
		_, accuses := m.accusations[id][observer]
		if !accused || accuses {
			eligible++
		}
	}
	return max(eligible/2+1, min(2, eligible))
}

// IsDown reports whether a VM is down.
func (m *Monitor) IsDown(id azuretiller.VMID) bool { return m.down[id] }

// Down returns the VMs that are down, sorted.
func (m *Monitor) Down() []azuretiller.VMID {
	return slices.Sorted(maps.Keys(m.down))
}
