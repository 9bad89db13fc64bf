package rollout

import (
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

// inFlight are the attempts on target servers that have not been observed.
type inFlight struct {
	attempts map[azuretiller.InstanceID][]attempt
}

type attempt struct {
	route azuretiller.RouteID
	since time.Time
	// counted means that the attempt was observed as slow before its result.
	counted bool
}

func newInFlight() *inFlight {
	return &inFlight{attempts: map[azuretiller.InstanceID][]attempt{}}
}

func (f *inFlight) add(now time.Time, route azuretiller.RouteID, server azuretiller.InstanceID) {
	f.attempts[server] = append(f.attempts[server], attempt{route: route, since: now})
}

// remove ends the attempt that began closest to the given time, and reports whether it had been counted as slow.
func (f *inFlight) remove(route azuretiller.RouteID, server azuretiller.InstanceID, since time.Time) bool {
	attempts := f.attempts[server]
	best := -1
	for i, a := range attempts {
		if a.route == route && (best < 0 || a.since.Sub(since).Abs() < attempts[best].since.Sub(since).Abs()) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	counted := attempts[best].counted
	attempts = slices.Delete(attempts, best, best+1)
	if len(attempts) == 0 {
		delete(f.attempts, server)
	} else {
		f.attempts[server] = attempts
	}
	return counted
}

// count returns the number of attempts that run.
func (f *inFlight) count() int {
	count := 0
	for _, attempts := range f.attempts {
		count += len(attempts)
	}
	return count
}

// overdue calls observe for each attempt that has not been counted as slow and runs for longer than limit says for its route.
// If observe returns true, the attempt is counted as slow.
func (f *inFlight) overdue(now time.Time, limit func(azuretiller.RouteID) time.Duration, observe func(azuretiller.InstanceID, azuretiller.RouteID) bool) {
	ids := make([]azuretiller.InstanceID, 0, len(f.attempts))
	for id := range f.attempts {
		ids = append(ids, id)
	}
	// The order is fixed so that equal inputs give equal results.
	slices.Sort(ids)
	for _, id := range ids {
		for i, a := range f.attempts[id] {
			if !a.counted && now.Sub(a.since) > limit(a.route) {
				f.attempts[id][i].counted = observe(id, a.route)
			}
		}
	}
}
