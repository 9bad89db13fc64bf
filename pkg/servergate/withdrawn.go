package servergate

import (
	"maps"
	"sync"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// attempts are the running attempts of a VM, and the servers that its view withdraws.
type attempts struct {
	mu        sync.Mutex
	running   map[azuretiller.InstanceID]int
	withdrawn map[azuretiller.InstanceID]bool
	// recent are the servers that this VM alone uses until usableUntil.
	recent      map[azuretiller.InstanceID]bool
	usableUntil time.Time
	// term and version are those of the view.
	term    azuretiller.Term
	version uint64
}

// Start records the start of an attempt that a leader of a term placed, or this VM alone. It reports false if there must be no attempt, because
// the view withdraws the server, or may have done so. A leader of the view's term or a later one knows more than the view.
func (g *Gate) Start(now time.Time, server azuretiller.InstanceID, alone bool, term azuretiller.Term) bool {
	a := &g.attempts
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.withdrawn[server] && (alone || term < a.term) || alone && a.recent[server] && !now.Before(a.usableUntil) {
		return false
	}
	a.running[server]++
	return true
}

// End records the end of an attempt for which Start returned true.
func (g *Gate) End(server azuretiller.InstanceID) {
	a := &g.attempts
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.running[server]--; a.running[server] <= 0 {
		delete(a.running, server)
	}
}

// SetView sets the view, and until when this VM alone may use the servers that a later one may withdraw. The time also counts if this VM was
// paused since.
func (g *Gate) SetView(v message.View, usableUntil time.Time) {
	a := &g.attempts
	a.mu.Lock()
	defer a.mu.Unlock()
	a.usableUntil = usableUntil
	if v.Term == a.term && v.Version == a.version {
		return
	}
	a.term, a.version = v.Term, v.Version
	a.withdrawn, a.recent = map[azuretiller.InstanceID]bool{}, map[azuretiller.InstanceID]bool{}
	for _, s := range v.Servers {
		switch s.Rollout {
		case message.Withdrawn:
			a.withdrawn[s.ID] = true
		case message.WhileRecent:
			a.recent[s.ID] = true
		}
	}
}

// Drained reports whether no attempt runs on a server that the view withdraws.
func (g *Gate) Drained() bool {
	a := &g.attempts
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range maps.Keys(a.running) {
		if a.withdrawn[id] {
			return false
		}
	}
	return true
}
