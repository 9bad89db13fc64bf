package ramp

import (
	"math"
	"time"

	"github.com/azuretiller/azuretiller"
)

const (
	// window is how many answers of a route make up one mean latency.
	window = 30
	// falling is the ratio of two means in a row below which the server is still getting warmer.
	falling = 0.93
	// checkWindow is how many answers after a step show whether the server bears it.
	checkWindow = 8
	// steadyWindows is how many windows in a row must be no faster than the ones before them.
	steadyWindows = 2
	// stepStrain is the slowdown after a step that shows that the server does not bear it.
	stepStrain   = 1.6
	firstPause   = 50 * time.Millisecond
	longestPause = 2 * time.Second
	firstHold    = time.Second
	longestHold  = time.Minute
)

// Ramp is the limit of one backend server. It rises by a step while the server answers no faster than it did a while
// ago, which shows that it does not get warmer at this limit, and falls at the first sign of strain.
type Ramp struct {
	limit  int
	slots  int
	routes map[azuretiller.RouteID]*means
	// checking counts the answers that are still to come until a step is taken for good.
	checking  int
	checkSum  float64
	pause     time.Duration
	resumeAt  time.Time
	hold      time.Duration
	holdUntil time.Time
	coldSince time.Time
}

// means follows the mean logarithm of a route's latency from window to window.
type means struct {
	sum     float64
	count   int
	last    float64
	windows int
	// steady counts the windows in a row that were no faster than the ones before them.
	steady int
}

// New returns a ramp that starts at one request and ends at the server's slots.
func New(slots int, now time.Time) *Ramp {
	r := &Ramp{slots: max(slots, 1)}
	r.Reset(now)
	return r
}

// Limit returns how many requests the server may run at once now; zero during a pause.
func (r *Ramp) Limit(now time.Time) int {
	if now.Before(r.resumeAt) {
		return 0
	}
	return r.limit
}

// Size returns the limit regardless of a pause.
func (r *Ramp) Size() int { return r.limit }

// Warm reports whether the server takes all its slots.
func (r *Ramp) Warm() bool { return r.limit >= r.slots }

// ColdSince returns when the ramp last started from one.
func (r *Ramp) ColdSince() time.Time { return r.coldSince }

// SetSlots changes the number of slots.
func (r *Ramp) SetSlots(slots int) {
	r.slots = max(slots, 1)
	r.limit = min(r.limit, r.slots)
}

// Reset treats the server as cold.
func (r *Ramp) Reset(now time.Time) {
	r.fall(1)
	r.hold = 0
	r.coldSince = now
}

// Resume goes on at a limit that the server has borne before.
func (r *Ramp) Resume(limit int) {
	if limit = min(limit, r.slots); limit > r.limit {
		r.fall(limit)
	}
}

func (r *Ramp) fall(limit int) {
	r.limit = limit
	r.routes = map[azuretiller.RouteID]*means{}
	r.checking = 0
}

// Succeeded notes an answer with its latency.
func (r *Ramp) Succeeded(now time.Time, route azuretiller.RouteID, latency time.Duration) {
	r.pause = 0
	if r.Warm() && r.checking == 0 {
		return
	}
	x := math.Log(float64(max(latency, time.Microsecond)))
	m := r.routes[route]
	if m == nil {
		m = &means{}
		r.routes[route] = m
	}
	if r.checking > 0 {
		r.check(now, m, x)
		return
	}
	if m.add(x) && !now.Before(r.holdUntil) {
		r.step()
	}
}

// add takes in one latency and reports whether it ends a window that is no faster than the one before it.
func (m *means) add(x float64) bool {
	m.sum += x
	m.count++
	if m.count < window {
		return false
	}
	mean := m.sum / float64(m.count)
	if m.windows > 0 && mean >= m.last+math.Log(falling) {
		m.steady++
	} else {
		m.steady = 0
	}
	m.last = mean
	m.windows++
	m.sum = 0
	m.count = 0
	return m.steady >= steadyWindows
}

func (r *Ramp) step() {
	r.limit++
	r.checking = checkWindow
	r.checkSum = 0
}

// check compares the answers after a step with those before it; a step that the server does not bear is taken back,
// and the next one waits longer each time.
func (r *Ramp) check(now time.Time, m *means, x float64) {
	if m.windows == 0 {
		return
	}
	r.checkSum += x - m.last
	r.checking--
	if r.checking > 0 {
		return
	}
	if r.checkSum/checkWindow > math.Log(stepStrain) {
		r.fall(r.limit - 1)
		r.hold = min(max(firstHold, 2*r.hold), longestHold)
		r.holdUntil = now.Add(r.hold)
		return
	}
	for _, other := range r.routes {
		other.sum = 0
		other.count = 0
		other.steady = 0
	}
}

// TurnedCold treats a server as cold again because its answers became slow.
func (r *Ramp) TurnedCold(now time.Time) {
	r.fall(1)
	r.coldSince = now
}

// Shed notes that the server refused a request for load; at a limit of one it is left alone for a growing time.
func (r *Ramp) Shed(now time.Time) {
	if r.limit > 1 {
		r.fall(max(1, r.limit/2))
		r.hold = min(max(firstHold, 2*r.hold), longestHold)
		r.holdUntil = now.Add(r.hold)
		return
	}
	r.pause = min(max(firstPause, 2*r.pause), longestPause)
	r.resumeAt = now.Add(r.pause)
}
