package world

import (
	"cmp"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/desk"
)

const (
	// returnTime is how long after an outage of the registry entries may be missing although their servers live.
	returnTime = 2200 * time.Millisecond
	// goneMemory is how long the last entry of a server that is gone is kept, so that late entries are known as such.
	goneMemory = time.Minute
)

// World is the newest state of the registry as far as it was read.
type World struct {
	servers map[azuretiller.InstanceID]*entry
	out     map[azuretiller.Zone]bool
	// returned is when each zone was taken back, as its servers may be cold then.
	returned map[azuretiller.Zone]time.Time
	// backAt is when the registry came back after an outage.
	backAt       time.Time
	settingsNext azuretiller.Offset
	serversNext  azuretiller.Offset
}

type entry struct {
	server    azuretiller.BackendServer
	coldUntil time.Time
	// goneAt is when the entry was removed, or zero.
	goneAt time.Time
}

// New returns a world without servers.
func New() *World {
	return &World{
		servers:  map[azuretiller.InstanceID]*entry{},
		out:      map[azuretiller.Zone]bool{},
		returned: map[azuretiller.Zone]time.Time{},
	}
}

// SettingsNext and ServersNext are the offsets to read from next.
func (w *World) SettingsNext() azuretiller.Offset { return w.settingsNext }

// ServersNext is the offset in the registry of servers to read from next.
func (w *World) ServersNext() azuretiller.Offset { return w.serversNext }

// Back notes that the registry answers again after an outage.
func (w *World) Back(now time.Time) { w.backAt = now }

// Settings takes a page of settings; it returns the newest configuration in it, if any, in the platform's format.
// Pages that are older than what is known are dropped.
func (w *World) Settings(now time.Time, page azuretiller.SettingsPage) []byte {
	if page.Next < w.settingsNext {
		return nil
	}
	w.settingsNext = page.Next
	var configuration []byte
	named := map[azuretiller.Zone]bool{}
	for _, c := range page.Changes {
		switch {
		case c.Config != nil:
			configuration = c.Config
		case c.Out:
			w.out[c.Zone] = true
			named[c.Zone] = true
		default:
			w.back(now, c.Zone)
		}
	}
	if page.Whole {
		for zone := range w.out {
			if !named[zone] {
				w.back(now, zone)
			}
		}
	}
	return configuration
}

func (w *World) back(now time.Time, zone azuretiller.Zone) {
	if w.out[zone] {
		delete(w.out, zone)
		w.returned[zone] = now
	}
}

// Servers takes a page of the registry of servers and reports whether anything but heartbeats changed.
func (w *World) Servers(now time.Time, page azuretiller.ServersPage) bool {
	if page.Next < w.serversNext {
		return false
	}
	w.serversNext = page.Next
	changed := false
	named := map[azuretiller.InstanceID]bool{}
	for _, c := range page.Changes {
		named[c.ID] = true
		if c.Gone {
			changed = w.remove(now, c.ID) || changed
		} else {
			changed = w.put(now, c.Server) || changed
		}
	}
	if page.Whole {
		for id := range w.servers {
			if !named[id] {
				changed = w.remove(now, id) || changed
			}
		}
	}
	return changed
}

func (w *World) put(now time.Time, s azuretiller.BackendServer) bool {
	e := w.servers[s.ID]
	if e != nil && s.Older(e.server) {
		return false
	}
	if e == nil {
		e = &entry{}
		w.servers[s.ID] = e
	}
	old := *e
	e.server = s
	e.goneAt = time.Time{}
	if s.ColdFor > 0 {
		e.coldUntil = now.Add(s.ColdFor)
	}
	s.Sequence, s.ColdFor = old.server.Sequence, old.server.ColdFor
	cold, wasCold := now.Before(e.coldUntil), now.Before(old.coldUntil)
	return s != old.server || cold != wasCold || !old.goneAt.IsZero()
}

func (w *World) remove(now time.Time, id azuretiller.InstanceID) bool {
	e := w.servers[id]
	if e == nil || !e.goneAt.IsZero() {
		return false
	}
	e.goneAt = now
	return true
}

// Forget drops servers that are gone for long.
func (w *World) Forget(now time.Time) {
	for id, e := range w.servers {
		if !e.goneAt.IsZero() && now.Sub(e.goneAt) > goneMemory {
			delete(w.servers, id)
		}
	}
}

// live reports whether a server exists. An entry that was removed just after an outage of the registry may come back.
func (w *World) live(now time.Time, e *entry) bool {
	if e.goneAt.IsZero() {
		return true
	}
	lapsed := !w.backAt.IsZero() && !e.goneAt.Before(w.backAt) && e.goneAt.Sub(w.backAt) < returnTime
	return lapsed && now.Sub(w.backAt) < returnTime
}

// Desk returns the servers of each service for placing work.
func (w *World) Desk(now time.Time, c *config.Config) map[azuretiller.ServiceID][]desk.Server {
	services := map[azuretiller.ServiceID][]desk.Server{}
	for id, e := range w.servers {
		if !w.live(now, e) {
			continue
		}
		rules := config.Service{}
		if c != nil {
			rules = c.Services[e.server.Service]
		}
		coldUntil := e.coldUntil
		if at, ok := w.returned[e.server.Zone]; ok {
			// The servers of a zone that comes back may be cold before they say so.
			coldUntil = later(coldUntil, at.Add(rules.Warmup))
		}
		services[e.server.Service] = append(services[e.server.Service], desk.Server{
			ID:        id,
			Address:   e.server.Address,
			Zone:      e.server.Zone,
			Slots:     e.server.Slots,
			Closed:    e.server.Draining || w.out[e.server.Zone],
			ColdUntil: coldUntil,
			ColdRate:  rules.ColdRate,
			Born:      e.server.Born,
		})
	}
	for _, servers := range services {
		slices.SortFunc(servers, func(a, b desk.Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return services
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
