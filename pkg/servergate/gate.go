package servergate

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// leavingRetention is how long a leaving server is remembered after it was last listed. It is much longer than the view of the fleet may
// lack a server that still runs, as after a change of the leader.
const leavingRetention = 10 * time.Minute

// Gate holds the backend servers that asked this VM for no requests. It is safe for concurrent use.
type Gate struct {
	// size is the number of entries, so that the usual case of none needs no lock.
	size    atomic.Int64
	mu      sync.Mutex
	entries map[azuretiller.InstanceID]*entry
	// newest holds the newest incarnation of each server that was listed within leavingRetention. The map is replaced when the list changes,
	// so that requests need no lock.
	newest   atomic.Pointer[map[azuretiller.InstanceID]listing]
	attempts attempts
}

// listing is an incarnation of a server, and when the server was last listed.
type listing struct {
	incarnation int64
	at          time.Time
}

type entry struct {
	server  Server
	leaving bool
	// pausedUntil is the end of the longest pause that the server asked for. It also holds for the next incarnations, since the response
	// may have come from one that was not listed yet.
	pausedUntil time.Time
	lastListed  time.Time
}

func (e *entry) verdict(now time.Time) Verdict {
	switch {
	case e.leaving:
		return Leaving
	case now.Before(e.pausedUntil):
		return Paused
	}
	return Open
}

// supersededBy reports whether an incarnation is newer than the one that the entry is about.
func (e *entry) supersededBy(incarnation int64) bool {
	return e.server.Incarnation != 0 && incarnation > e.server.Incarnation
}

// replace makes the entry that of a newer incarnation, which does not leave.
func (e *entry) replace(incarnation int64) {
	e.server.Incarnation = incarnation
	e.leaving = false
}

// New returns a Gate through which requests to all servers may pass.
func New() *Gate {
	g := &Gate{entries: map[azuretiller.InstanceID]*entry{}, attempts: attempts{running: map[azuretiller.InstanceID]int{}}}
	g.newest.Store(&map[azuretiller.InstanceID]listing{})
	return g
}

// SetListed records which incarnations of the servers are listed now. It must not be called by several goroutines at the same time.
func (g *Gate) SetListed(now time.Time, servers []message.Server) {
	newest := maps.Clone(*g.newest.Load())
	for _, s := range servers {
		newest[s.ID] = listing{max(s.Incarnation, newest[s.ID].incarnation), now}
	}
	maps.DeleteFunc(newest, func(_ azuretiller.InstanceID, l listing) bool { return now.Sub(l.at) > leavingRetention })
	g.newest.Store(&newest)
}

// NewestIncarnation returns the incarnation of the server that gets a request which was placed for the given one. After a restore of the store,
// requests are placed for incarnations that have ended.
func (g *Gate) NewestIncarnation(id azuretiller.InstanceID, placed int64) int64 {
	return max(placed, (*g.newest.Load())[id].incarnation)
}

// Record records that a server is leaving, or asked for a pause that begins now. It returns the change of the verdict, and false if the
// verdict is the same as before.
func (g *Gate) Record(now time.Time, s Server, leaving bool, pauseFor time.Duration) (Change, bool) {
	if !leaving && pauseFor <= 0 {
		return Change{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[s.ID]
	if e == nil {
		e = &entry{server: s}
		g.entries[s.ID] = e
		g.size.Store(int64(len(g.entries)))
	}
	if e.supersededBy(s.Incarnation) {
		e.replace(s.Incarnation)
	}
	// A late response of a server that was replaced does not say that its successor leaves.
	outdated := s.Incarnation != 0 && s.Incarnation < e.server.Incarnation
	before := e.verdict(now)
	e.lastListed = now
	e.leaving = e.leaving || leaving && !outdated
	if until := now.Add(pauseFor); until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
	after := e.verdict(now)
	return Change{Server: e.server, Verdict: after, PauseFor: max(e.pausedUntil.Sub(now), 0)}, after != before
}

// Check returns the verdict on a server, and the time until its pause ends if it is paused.
func (g *Gate) Check(now time.Time, s Server) (Verdict, time.Duration) {
	if g.size.Load() == 0 {
		return Open, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[s.ID]
	switch {
	case e == nil:
		return Open, 0
	case e.leaving && !e.supersededBy(s.Incarnation):
		return Leaving, 0
	case now.Before(e.pausedUntil):
		return Paused, e.pausedUntil.Sub(now)
	}
	return Open, 0
}

// Blocked returns the servers of a service that must get no requests now, ordered by id, and the time until the first pause among them
// ends. That time is zero if all of them are leaving. Servers that were replaced by a newer incarnation are left out if their
// successors are listed.
func (g *Gate) Blocked(now time.Time, service azuretiller.ServiceID) ([]azuretiller.InstanceID, time.Duration) {
	if g.size.Load() == 0 {
		return nil, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []azuretiller.InstanceID
	firstEnd := time.Duration(0)
	for id, e := range g.entries {
		verdict := e.verdict(now)
		if e.server.Service != service || verdict == Open {
			continue
		}
		ids = append(ids, id)
		if left := e.pausedUntil.Sub(now); verdict == Paused && (firstEnd == 0 || left < firstEnd) {
			firstEnd = left
		}
	}
	slices.SortFunc(ids, cmp.Compare[azuretiller.InstanceID])
	return ids, firstEnd
}

// Expire forgets pauses that have ended, leaving servers that have restarted, and those that have not been listed for leavingRetention.
// It returns the servers to which requests may be sent again, ordered by id.
func (g *Gate) Expire(now time.Time, listed []message.Server) []Change {
	if g.size.Load() == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range listed {
		e := g.entries[s.ID]
		if e == nil {
			continue
		}
		e.lastListed = now
		if e.server.Incarnation == 0 {
			e.server.Incarnation = s.Incarnation
		}
		if e.supersededBy(s.Incarnation) {
			e.replace(s.Incarnation)
		}
	}
	var opened []Change
	for id, e := range g.entries {
		if e.verdict(now) == Open || e.leaving && now.Sub(e.lastListed) > leavingRetention {
			delete(g.entries, id)
			opened = append(opened, Change{Server: e.server, Verdict: Open})
		}
	}
	g.size.Store(int64(len(g.entries)))
	slices.SortFunc(opened, func(a, b Change) int { return cmp.Compare(a.Server.ID, b.Server.ID) })
	return opened
}
