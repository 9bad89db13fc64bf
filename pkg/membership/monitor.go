package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

// Monitor is one VM's part in failure detection; it has no clock of its own.
type Monitor struct {
	self    azuretiller.VMID
	params  Params
	members map[azuretiller.VMID]azuretiller.VM
	rings   rings
	heard   map[azuretiller.VMID]time.Time
	// accusations maps subject and observer to the time of the last word.
	accusations map[azuretiller.VMID]map[azuretiller.VMID]time.Time
	down        map[azuretiller.VMID]bool
	lastTick    time.Time
}

// New returns a monitor that knows no VM but itself.
func New(self azuretiller.VMID, params Params) *Monitor {
	return &Monitor{
		self:        self,
		params:      params,
		members:     map[azuretiller.VMID]azuretiller.VM{},
		heard:       map[azuretiller.VMID]time.Time{},
		accusations: map[azuretiller.VMID]map[azuretiller.VMID]time.Time{},
		down:        map[azuretiller.VMID]bool{},
	}
}

// SetRoster replaces the VMs to watch; a new incarnation starts without accusations.
func (m *Monitor) SetRoster(members []azuretiller.VM, now time.Time) {
	next := make(map[azuretiller.VMID]azuretiller.VM, len(members))
	for _, vm := range members {
		next[vm.ID] = vm
		if known, ok := m.members[vm.ID]; !ok || known.Incarnation != vm.Incarnation {
			delete(m.accusations, vm.ID)
			m.heard[vm.ID] = now
		}
	}
	m.members = next
	m.rings = newRings(members, m.params.Degree)
	maps.DeleteFunc(m.accusations, func(id azuretiller.VMID, _ map[azuretiller.VMID]time.Time) bool {
		_, ok := next[id]
		return !ok
	})
	maps.DeleteFunc(m.heard, func(id azuretiller.VMID, _ time.Time) bool {
		_, ok := next[id]
		return !ok
	})
	for _, id := range m.Subjects() {
		if _, ok := m.heard[id]; !ok {
			m.heard[id] = now
		}
	}
	m.decide(now)
}

// Subjects returns the VMs that this VM sends heartbeats to.
func (m *Monitor) Subjects() []azuretiller.VMID {
	return m.rings.subjects[m.self]
}

// Heard notes a sign of life of a VM, given directly or through another VM.
func (m *Monitor) Heard(id azuretiller.VMID, incarnation azuretiller.Incarnation, now time.Time) {
	member, ok := m.members[id]
	if !ok || incarnation < member.Incarnation {
		return
	}
	m.heard[id] = now
	delete(m.accusations[id], m.self)
}

// Tick advances time and returns the subjects that should be asked for through other VMs.
func (m *Monitor) Tick(now time.Time) []azuretiller.VMID {
	if !m.lastTick.IsZero() && now.Sub(m.lastTick) > m.params.Pause {
		m.restart(now)
	}
	m.lastTick = now
	var suspects []azuretiller.VMID
	for _, id := range m.Subjects() {
		silence := now.Sub(m.heard[id])
		if silence > m.params.Suspect {
			suspects = append(suspects, id)
		}
		if silence > m.params.Accuse {
			m.accuse(id, m.self, now)
		}
	}
	m.decide(now)
	return suspects
}

// restart drops the silence that this VM's own pause explains.
func (m *Monitor) restart(now time.Time) {
	for id := range m.heard {
		m.heard[id] = now
		delete(m.accusations[id], m.self)
	}
}

// Merge takes in accusations that another VM passed on.
func (m *Monitor) Merge(accusations []Accusation, now time.Time) {
	for _, a := range accusations {
		member, ok := m.members[a.VM]
		if !ok || member.Incarnation != a.Incarnation || a.Observer == m.self || a.VM == m.self {
			continue
		}
		if !slices.Contains(m.rings.observers[a.VM], a.Observer) {
			continue
		}
		m.accuse(a.VM, a.Observer, now.Add(-a.Age))
	}
	m.decide(now)
}

func (m *Monitor) accuse(id, observer azuretiller.VMID, at time.Time) {
	byObserver := m.accusations[id]
	if byObserver == nil {
		byObserver = map[azuretiller.VMID]time.Time{}
		m.accusations[id] = byObserver
	}
	if at.After(byObserver[observer]) {
		byObserver[observer] = at
	}
}

// Accusations returns all that this VM knows, to be passed on, in a fixed order.
func (m *Monitor) Accusations(now time.Time) []Accusation {
	var out []Accusation
	for _, id := range slices.Sorted(maps.Keys(m.accusations)) {
		for _, observer := range slices.Sorted(maps.Keys(m.accusations[id])) {
			age := now.Sub(m.accusations[id][observer])
			if age < m.params.Forget {
				out = append(out, Accusation{VM: id, Incarnation: m.members[id].Incarnation, Observer: observer, Age: age})
			}
		}
	}
	return out
}

// decide puts a VM down when most of its observers that are not accused themselves accuse it.
func (m *Monitor) decide(now time.Time) {
	clear(m.down)
	for id, byObserver := range m.accusations {
		maps.DeleteFunc(byObserver, func(_ azuretiller.VMID, at time.Time) bool {
			return now.Sub(at) >= m.params.Forget
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

func (m *Monitor) quorum(id azuretiller.VMID) int {
	able := 0
	for _, observer := range m.rings.observers[id] {
		_, accused := m.accusations[observer]
		_, accuses := m.accusations[id][observer]
		if !accused || accuses {
			able++
		}
	}
	return max(able/2+1, min(2, able))
}

// IsDown reports whether a VM is down.
func (m *Monitor) IsDown(id azuretiller.VMID) bool { return m.down[id] }

// Down returns the VMs that are down, sorted.
func (m *Monitor) Down() []azuretiller.VMID {
	return slices.Sorted(maps.Keys(m.down))
}
