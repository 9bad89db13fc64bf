package registrycache

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
)

// removedRetention is how long the last entry of a removed server is kept, so that older entries that arrive late are
// recognized as stale.
const removedRetention = time.Minute

// Cache is the newest state of the registry that the VM has read.
type Cache struct {
	// heartbeat is the interval at which servers write their entries again.
	heartbeat time.Duration
	servers   map[azuretiller.InstanceID]*entry
	// outOfService holds the zones that are out of service according to the settings.
	outOfService map[azuretiller.Zone]bool
	// holds maps the zones whose state in the copy of the last restore is not the state before the restore to the latter.
	holds map[azuretiller.Zone]zoneHold
	// returnedAt is when each zone was put back into service, as its servers may be cold then.
	returnedAt map[azuretiller.Zone]time.Time
	orders     orders
	history    readHistory
	// former is what was known of the servers before the last Rewind.
	former       Former
	settingsNext azuretiller.Position
	serversNext  azuretiller.Position
}

type entry struct {
	server    azuretiller.BackendServer
	coldUntil time.Time
	// renewedAfter is a time after which the entry was written, zero if none is known.
	renewedAfter time.Time
	// removedAt is when the entry was removed, or zero if it was not, and removedIn the era in which it was found removed.
	removedAt time.Time
	removedIn azuretiller.Era
	// expectedUntil is until when the server counts as existing although its entry was removed.
	expectedUntil time.Time
	// unconfirmedUntil is until when the server is not used because it was not in use in an earlier era, and its entry may be a copy.
	unconfirmedUntil time.Time
}

// New returns an empty Cache; heartbeat is the interval at which servers write their entries again.
func New(heartbeat time.Duration) *Cache {
	return &Cache{
		heartbeat:    heartbeat,
		servers:      map[azuretiller.InstanceID]*entry{},
		outOfService: map[azuretiller.Zone]bool{},
		holds:        map[azuretiller.Zone]zoneHold{},
		returnedAt:   map[azuretiller.Zone]time.Time{},
		orders:       newOrders(),
	}
}

// NextSettings is the position in the registry's settings to read from next.
func (rc *Cache) NextSettings() azuretiller.Position { return rc.settingsNext }

// NextServers is the position in the registry's server entries to read from next.
func (rc *Cache) NextServers() azuretiller.Position { return rc.serversNext }

// Rewind makes the next reads return complete pages. It is called after a pause in the reads, so that what was known before the pause does
// not count as known when a restore is noticed. What the VM knows of the servers from others counts instead.
func (rc *Cache) Rewind(known Former) {
	rc.settingsNext, rc.serversNext = azuretiller.Position{}, azuretiller.Position{}
	rc.former = known
	rc.history = readHistory{}
}

// ReadFailed records that a read of the servers failed.
func (rc *Cache) ReadFailed() { rc.history.failed = true }

// ApplySettings applies a page of settings. It returns the newest configuration in the page, if any, in the platform's format.
// Pages that are older than the current state are ignored.
func (rc *Cache) ApplySettings(now time.Time, page azuretiller.SettingsPage) []byte {
	if page.Next.Before(rc.settingsNext) {
		return nil
	}
	from := fromChange
	switch {
	case restored(rc.settingsNext, page.Next):
		from = fromCopy
	case page.Complete:
		from = fromCompletePage
	}
	rc.settingsNext = page.Next
	rc.orders.apply(now, page, from)
	var newestConfig []byte
	listed := map[azuretiller.Zone]bool{}
	for _, c := range page.Changes {
		if c.Rollout != nil {
			continue
		}
		if c.Config != nil {
			newestConfig = c.Config
			continue
		}
		listed[c.Zone] = true
		rc.setZone(now, c.Zone, c.ZoneOutOfService, from)
	}
	if page.Complete {
		unlisted := slices.Concat(slices.Collect(maps.Keys(rc.outOfService)), slices.Collect(maps.Keys(rc.holds)))
		for _, zone := range unlisted {
			if !listed[zone] {
				listed[zone] = true
				rc.setZone(now, zone, false, from)
			}
		}
	}
	return newestConfig
}

// setZone sets whether a zone is out of service.
func (rc *Cache) setZone(now time.Time, zone azuretiller.Zone, out bool, from zoneSource) {
	wasOut := rc.zoneOut(now, zone)
	switch {
	case from == fromCopy && out != wasOut:
		rc.holds[zone] = zoneHold{out: wasOut, until: now.Add(holdTime(wasOut))}
	case from != fromCompletePage:
		delete(rc.holds, zone)
	}
	if out {
		rc.outOfService[zone] = true
	} else {
		delete(rc.outOfService, zone)
	}
	switch {
	case !wasOut || out:
	case rc.zoneOut(now, zone):
		rc.returnedAt[zone] = rc.holds[zone].until
	default:
		rc.returnedAt[zone] = now
	}
}

// zoneOut reports whether a zone counts as out of service.
func (rc *Cache) zoneOut(now time.Time, zone azuretiller.Zone) bool {
	if hold, ok := rc.holds[zone]; ok && now.Before(hold.until) {
		return hold.out
	}
	return rc.outOfService[zone]
}

// ApplyServers applies a page of server entries and reports whether anything other than heartbeats changed.
func (rc *Cache) ApplyServers(now time.Time, page azuretiller.ServersPage) bool {
	rc.history.answered(now, rc.heartbeat)
	if page.Next.Before(rc.serversNext) {
		return false
	}
	if restored(rc.serversNext, page.Next) {
		// Entries that the copy lacks are written again, like those that expire during an outage.
		rc.history.restoredAt = now
		rc.extendExpected(now)
	}
	defer func() { rc.history.appliedAt = now }()
	rc.serversNext = page.Next
	era := page.Next.Era
	former := rc.former
	rc.former = Former{}
	changed := false
	listed := map[azuretiller.InstanceID]bool{}
	for _, c := range page.Changes {
		listed[c.ID] = true
		if c.Removed {
			changed = rc.remove(now, c.ID, era) || changed
		} else {
			unconfirmedUntil := time.Time{}
			switch {
			case !page.Complete:
			case former.excludes(c.ID, era):
				unconfirmedUntil = now.Add(reregistrationTime)
			default:
				unconfirmedUntil = rc.unconfirmedUntil(c.Server)
			}
			changed = rc.upsert(now, c.Server, era, unconfirmedUntil) || changed
		}
	}
	if page.Complete {
		for id := range rc.servers {
			if !listed[id] {
				changed = rc.remove(now, id, era) || changed
			}
		}
	}
	return changed
}

// restored reports whether the store came back from a copy after the position known was read and before next was.
func restored(known, next azuretiller.Position) bool {
	return known.Offset > 0 && known.Era < next.Era
}

// unconfirmedUntil returns until when the server of an entry in a complete page is unconfirmed. Only a newer entry than the stored one shows
// that the server is alive.
func (rc *Cache) unconfirmedUntil(s azuretiller.BackendServer) time.Time {
	if e := rc.servers[s.ID]; e != nil && !e.server.Older(s) {
		return e.unconfirmedUntil
	}
	return time.Time{}
}

// upsert stores an entry unless it is older than the stored one, or a copy of an entry that was removed in an earlier era. It reports
// whether anything other than a heartbeat changed.
func (rc *Cache) upsert(now time.Time, s azuretiller.BackendServer, era azuretiller.Era, unconfirmedUntil time.Time) bool {
	e := rc.servers[s.ID]
	if e != nil && (s.Older(e.server) || e.removedBefore(era) && !e.server.Older(s)) {
		return false
	}
	if e == nil {
		e = &entry{}
		rc.servers[s.ID] = e
	}
	old := *e
	e.server = s
	e.removedAt = time.Time{}
	e.unconfirmedUntil = unconfirmedUntil
	if old.server.Older(s) {
		e.renewedAfter = rc.history.appliedAt
	}
	if s.WarmupLeft > 0 {
		e.coldUntil = now.Add(s.WarmupLeft)
	}
	s.Sequence, s.WarmupLeft = old.server.Sequence, old.server.WarmupLeft
	cold, wasCold := now.Before(e.coldUntil), now.Before(old.coldUntil)
	return s != old.server || cold != wasCold || !old.removedAt.IsZero() || e.unconfirmedUntil != old.unconfirmedUntil
}

func (e *entry) removedBefore(era azuretiller.Era) bool {
	return !e.removedAt.IsZero() && e.removedIn < era
}

func (rc *Cache) remove(now time.Time, id azuretiller.InstanceID, era azuretiller.Era) bool {
	e := rc.servers[id]
	if e == nil || !e.removedAt.IsZero() {
		return false
	}
	e.removedAt, e.removedIn = now, era
	e.expectedUntil = rc.history.expectedUntil(now, e.renewedAfter, rc.heartbeat)
	return true
}

// PruneRemoved deletes servers that were removed more than removedRetention ago.
func (rc *Cache) PruneRemoved(now time.Time) {
	for id, e := range rc.servers {
		if !e.removedAt.IsZero() && now.Sub(e.removedAt) > removedRetention {
			delete(rc.servers, id)
		}
	}
}

// extendExpected gives the servers that count as existing without an entry, and may have to register once more, the time to do so.
func (rc *Cache) extendExpected(now time.Time) {
	for _, e := range rc.servers {
		if now.Before(e.expectedUntil) {
			e.expectedUntil = now.Add(reregistrationTime)
		}
	}
}

// live reports whether a server counts as existing. A server whose entry may have expired although it is alive counts as existing for
// reregistrationTime after the registry outage or restore. Later outages do not shorten that time.
func (e *entry) live(now time.Time) bool {
	return e.removedAt.IsZero() || now.Before(e.expectedUntil)
}

// ServersByService returns the servers of each service for the placement of requests.
func (rc *Cache) ServersByService(now time.Time, cfg *config.Config) map[azuretiller.ServiceID][]scheduler.Server {
	services := map[azuretiller.ServiceID][]scheduler.Server{}
	for id, e := range rc.servers {
		if !e.live(now) {
			continue
		}
		service := config.Service{}
		if cfg != nil {
			service = cfg.Services[e.server.Service]
		}
		coldUntil := e.coldUntil
		if at, ok := rc.returnedAt[e.server.Zone]; ok {
			// When a zone is put back into service, its servers may be cold before their entries say so.
			coldUntil = later(coldUntil, at.Add(service.Warmup))
		}
		services[e.server.Service] = append(services[e.server.Service], scheduler.Server{
			ID:          id,
			Address:     e.server.Address,
			Zone:        e.server.Zone,
			Version:     e.server.Version,
			Slots:       e.server.Slots,
			Closed:      e.server.Draining || now.Before(e.unconfirmedUntil) || rc.zoneOut(now, e.server.Zone),
			ColdUntil:   coldUntil,
			ColdRate:    service.ColdRate,
			Incarnation: e.server.Incarnation,
		})
	}
	for _, servers := range services {
		slices.SortFunc(servers, func(a, b scheduler.Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return services
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
