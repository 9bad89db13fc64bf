package invalidentries

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// reportInterval is the least time between two reports of the same id.
const reportInterval = time.Minute

// Tracker remembers which entries are invalid.
type Tracker struct {
	entries map[azuretiller.InstanceID]entry
}

type entry struct {
	invalid    bool
	reportedAt time.Time
}

// New returns a Tracker that knows no entries.
func New() *Tracker { return &Tracker{entries: map[azuretiller.InstanceID]entry{}} }

// Update applies a page of server entries. It returns those that became invalid and were not reported within reportInterval.
func (t *Tracker) Update(now time.Time, page azuretiller.ServersPage) []azuretiller.ServerChange {
	listed := map[azuretiller.InstanceID]bool{}
	var reports []azuretiller.ServerChange
	for _, c := range page.Changes {
		listed[c.ID] = true
		e, known := t.entries[c.ID]
		if c.Invalid != nil && !e.invalid && (!known || now.Sub(e.reportedAt) >= reportInterval) {
			e.reportedAt = now
			reports = append(reports, c)
		}
		e.invalid = c.Invalid != nil
		if known || e.invalid {
			t.entries[c.ID] = e
		}
	}
	for id, e := range t.entries {
		if page.Complete && !listed[id] {
			e.invalid = false
			t.entries[id] = e
		}
		if !e.invalid && now.Sub(e.reportedAt) >= reportInterval {
			delete(t.entries, id)
		}
	}
	return reports
}
