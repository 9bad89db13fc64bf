package ramp

import "time"

const (
	// successesPerStep is how many good answers, for each slot in use, raise the limit by one.
	successesPerStep = 5
	// strainFactor is the slowdown against the usual latency that counts as strain.
	strainFactor = 3.0
	firstPause   = 50 * time.Millisecond
	longestPause = 2 * time.Second
	// coldStrains is how many strained answers in a row show that a warm server turned cold.
	coldStrains = 2
)

// Ramp is the limit of one backend server; it grows with success and falls at the first sign of strain.
type Ramp struct {
	limit    int
	slots    int
	good     int
	strains  int
	pause    time.Duration
	resumeAt time.Time
}

// New returns a ramp that starts at one request and ends at the server's slots.
func New(slots int) *Ramp {
	return &Ramp{limit: 1, slots: max(slots, 1)}
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

// SetSlots changes the number of slots.
func (r *Ramp) SetSlots(slots int) {
	r.slots = max(slots, 1)
	r.limit = min(r.limit, r.slots)
}

// Reset treats the server as cold.
func (r *Ramp) Reset() {
	r.limit = 1
	r.good = 0
	r.strains = 0
}

// Succeeded notes an answer with its latency and the latency that is usual for such work, zero when not known.
// It returns true when the answer shows that the server turned cold.
func (r *Ramp) Succeeded(latency, usual time.Duration) bool {
	if usual > 0 && float64(latency) > strainFactor*float64(usual) {
		return r.strained()
	}
	r.strains = 0
	r.pause = 0
	r.good++
	if r.good >= successesPerStep*r.limit && r.limit < r.slots {
		r.limit++
		r.good = 0
	}
	return false
}

// strained lowers the limit; one strained answer alone is not taken for a cold server.
func (r *Ramp) strained() bool {
	r.good = 0
	r.strains++
	if r.strains < coldStrains {
		return false
	}
	wasWarm := r.Warm()
	r.limit = max(1, r.limit/2)
	return wasWarm
}

// Shed notes that the server refused a request for load; at a limit of one it is left alone for a growing time.
func (r *Ramp) Shed(now time.Time) {
	r.good = 0
	if r.limit > 1 {
		r.limit = max(1, r.limit/2)
		return
	}
	r.pause = min(max(firstPause, 2*r.pause), longestPause)
	r.resumeAt = now.Add(r.pause)
}

// ResumeAt returns the end of the current pause.
func (r *Ramp) ResumeAt() time.Time { return r.resumeAt }
