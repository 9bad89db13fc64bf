package rollout

import (
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

// inFlight are the attempts on target servers whose results are not known, or cannot be taken into account yet. The attempts of a
// server are judged in the order in which they were sent: the failures of a version that hangs come late and together, and
// would look like a server that turned gray.
type inFlight struct {
	attempts map[azuretiller.InstanceID][]attempt
}

type attempt struct {
	route azuretiller.RouteID
	sent  time.Time
	took  time.Duration
	kind  responseKind
	// cold means that the server had just started when the attempt was sent.
	cold bool
	// judged means that kind and took are set, reported that the result has come, and counted that the attempt was taken into
	// account. An overdue attempt is judged before it is reported.
	judged, reported, counted bool
}

func newInFlight() *inFlight {
	return &inFlight{attempts: map[azuretiller.InstanceID][]attempt{}}
}

func (f *inFlight) add(now time.Time, route azuretiller.RouteID, server azuretiller.InstanceID, cold bool) {
	f.attempts[server] = append(f.attempts[server], attempt{route: route, sent: now, cold: cold})
}

// report sets the result of the attempt that was sent closest to the given time. It reports whether the attempt was known,
// and whether it was overdue.
func (f *inFlight) report(server azuretiller.InstanceID, result attempt) (known, overdue bool) {
	attempts := f.attempts[server]
	best := -1
	for i, a := range attempts {
		if a.route == result.route && !a.reported &&
			(best < 0 || a.sent.Sub(result.sent).Abs() < attempts[best].sent.Sub(result.sent).Abs()) {
			best = i
		}
	}
	if best < 0 {
		return false, false
	}
	a := &attempts[best]
	a.reported = true
	if a.judged {
		return true, true
	}
	a.judged, a.kind, a.took = true, result.kind, result.took
	return true, false
}

// judgeOverdue judges the attempts that run for longer than limit says for their routes, and calls found for each.
func (f *inFlight) judgeOverdue(now time.Time, limit func(attempt) time.Duration, found func(azuretiller.InstanceID)) {
	for _, id := range f.servers() {
		for i := range f.attempts[id] {
			a := &f.attempts[id][i]
			if l := limit(*a); !a.judged && now.Sub(a.sent) > l {
				a.judged, a.kind, a.took = true, overdueResponse, l
				found(id)
			}
		}
	}
}

// take calls observe for the attempts that are judged and follow no attempt that is not, and forgets those that have been reported.
func (f *inFlight) take(observe func(azuretiller.InstanceID, attempt)) {
	for _, id := range f.servers() {
		attempts := f.attempts[id]
		for i := range attempts {
			if !attempts[i].judged {
				break
			}
			if !attempts[i].counted {
				attempts[i].counted = true
				observe(id, attempts[i])
			}
		}
		attempts = slices.DeleteFunc(attempts, func(a attempt) bool { return a.counted && a.reported })
		if len(attempts) == 0 {
			delete(f.attempts, id)
		} else {
			f.attempts[id] = attempts
		}
	}
}

// outstanding calls observe for the attempts that were not taken into account. Those that run count as overdue since now.
func (f *inFlight) outstanding(now time.Time, observe func(azuretiller.InstanceID, attempt)) {
	for _, id := range f.servers() {
		for _, a := range f.attempts[id] {
			if a.counted {
				continue
			}
			if !a.judged {
				a.judged, a.kind, a.took = true, overdueResponse, now.Sub(a.sent)
			}
			observe(id, a)
		}
	}
}

// running returns the number of attempts without a result.
func (f *inFlight) running() int {
	count := 0
	for _, attempts := range f.attempts {
		for _, a := range attempts {
			if !a.reported {
				count++
			}
		}
	}
	return count
}

// servers returns the servers in a fixed order, so that equal inputs give equal results.
func (f *inFlight) servers() []azuretiller.InstanceID {
	ids := make([]azuretiller.InstanceID, 0, len(f.attempts))
	for id := range f.attempts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
