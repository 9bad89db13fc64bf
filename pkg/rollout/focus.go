package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

// maxVisits is the largest number of target servers that are in focus at the same time.
const maxVisits = 8

// routeSurplus and routeSurplusBase limit the attempts of one route to a multiple of its even share, so that a fault of a rare route
// is noticed. A route below routeDeficit of its share need not wait for the next burst.
const (
	routeSurplus     = 1.5
	routeSurplusBase = 4
	routeDeficit     = 0.7
)

// focus selects the target servers that get attempts. A few servers at a time get them in bursts, so that each is under full
// load, and the servers take turns.
type focus struct {
	servers []*targetServer
	byID    map[azuretiller.InstanceID]*targetServer
	// open means that a burst is under way. It ends when no attempt is available and starts when one visit is.
	open bool
	// placed are the attempts by route.
	placed map[azuretiller.RouteID]int
	total  int
	// firstSince is the start of the servers that are there at first. known means that they have been seen.
	firstSince time.Time
	known      bool
}

type targetServer struct {
	Server
	present bool
	visits  int
	// left is the number of attempts that remain of its visit, or 0 if it is not in focus.
	left int
	// bad are the bad responses since the visit began.
	bad      int
	lastUsed time.Time
	// since is when the server was first known.
	since time.Time
}

func newFocus(firstSince time.Time) *focus {
	return &focus{firstSince: firstSince, byID: map[azuretiller.InstanceID]*targetServer{}, placed: map[azuretiller.RouteID]int{}}
}

// update takes over the target servers, ends visits and starts others. Visits of idle servers end only while there are attempts
// to place.
func (f *focus) update(now time.Time, servers []Server, visits, visitSize int) {
	for _, s := range f.servers {
		s.present = false
	}
	warm := 0
	for _, s := range servers {
		known := f.byID[s.ID]
		if known == nil {
			known = &targetServer{since: now}
			if !f.known {
				known.since = f.firstSince
			}
			f.byID[s.ID] = known
			f.servers = append(f.servers, known)
		}
		known.Server, known.present = s, true
		if !s.Cold {
			warm++
		}
	}
	f.known = f.known || len(servers) > 0
	active := 0
	for _, s := range f.servers {
		idle := f.open && now.Sub(s.lastUsed) > visitTimeout
		if s.left > 0 && (!s.present || idle || s.Cold && warm > 0) {
			s.left = 0
		}
		if s.left > 0 {
			active++
		}
	}
	for ; active < min(visits, maxVisits); active++ {
		next := f.next(warm > 0)
		if next == nil {
			return
		}
		next.visits++
		next.left, next.bad = visitSize, 0
		next.lastUsed = now
	}
}

// next returns the server that was visited least often.
func (f *focus) next(warmOnly bool) *targetServer {
	candidates := slices.Clone(f.servers)
	candidates = slices.DeleteFunc(candidates, func(s *targetServer) bool {
		return !s.present || s.left > 0 || warmOnly && s.Cold
	})
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b *targetServer) int { return a.visits - b.visits })
}

// setAvailable starts and ends bursts.
func (f *focus) setAvailable(available, visitSize int) {
	if available < 1 {
		f.open = false
	} else if available >= visitSize {
		f.open = true
	}
}

// allows reports whether an attempt of the route may go to the server, given the attempts that are available and the route's share of
// them.
func (f *focus) allows(route azuretiller.RouteID, id azuretiller.InstanceID, available, visitSize int, share float64) bool {
	s := f.byID[id]
	if s == nil || s.left == 0 || available < 1 {
		return false
	}
	evenShare := float64(f.total) * share
	placed := float64(f.placed[route])
	if placed < routeDeficit*evenShare {
		return true
	}
	return f.open && (available >= 2*visitSize || placed <= routeSurplus*evenShare+routeSurplusBase)
}

// place records an attempt.
func (f *focus) place(now time.Time, route azuretiller.RouteID, id azuretiller.InstanceID) {
	f.total++
	f.placed[route]++
	if s := f.byID[id]; s != nil {
		s.left = max(0, s.left-1)
		s.lastUsed = now
	}
}

// countBad records a bad response.
func (f *focus) countBad(id azuretiller.InstanceID) {
	if s := f.byID[id]; s != nil {
		s.bad++
		if s.bad >= visitBad {
			s.left = 0
		}
	}
}

// cold reports whether a server had just started at the given time.
func (f *focus) cold(sent time.Time, id azuretiller.InstanceID) bool {
	s := f.byID[id]
	return s != nil && sent.Sub(s.since) < coldTime
}

// count returns the number of target servers.
func (f *focus) count() int {
	count := 0
	for _, s := range f.servers {
		if s.present {
			count++
		}
	}
	return count
}

// visitsFor returns the number of servers that together take the rate of attempts when all of their slots are in use.
func visitsFor(rate float64, slots int, mean time.Duration) int {
	return max(1, int(math.Ceil(rate*mean.Seconds()/float64(max(1, slots)))))
}
