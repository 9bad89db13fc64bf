package crash

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

const (
	// crashesToHold is the number of backend servers after which a request is held back.
	crashesToHold = 2
	firstHold     = 20 * time.Second
	longestHold   = 10 * time.Minute
	// memory is how long a crash is remembered without another one.
	memory  = 10 * time.Minute
	maxSize = 4096
)

// Fingerprint identifies equal requests: the same team, route, method, target and body.
type Fingerprint string

// Register remembers which requests were running when backend servers crashed.
type Register struct {
	entries map[Fingerprint]*entry
}

type entry struct {
	servers   map[azuretiller.ServerID]bool
	lastCrash time.Time
	hold      time.Duration
	heldUntil time.Time
	// trial is set while the one request that may run after a hold is out.
	trial bool
}

// New returns an empty register.
func New() *Register {
	return &Register{entries: map[Fingerprint]*entry{}}
}

// Crashed notes that a backend server crashed while it ran a request, and reports whether the request is now held back.
func (r *Register) Crashed(f Fingerprint, server azuretiller.ServerID, now time.Time) bool {
	e := r.entries[f]
	if e == nil {
		r.makeRoom(now)
		e = &entry{servers: map[azuretiller.ServerID]bool{}}
		r.entries[f] = e
	}
	again := e.trial
	e.trial = false
	e.servers[server] = true
	e.lastCrash = now
	if len(e.servers) < crashesToHold && !again {
		return false
	}
	e.hold = min(max(firstHold, 2*e.hold), longestHold)
	e.heldUntil = now.Add(e.hold)
	return true
}

// Admit reports whether a request may run now and, if not, for how long it is held back.
// After a hold one request at a time is let through.
func (r *Register) Admit(f Fingerprint, now time.Time) (bool, time.Duration) {
	e := r.entries[f]
	if e == nil || e.hold == 0 {
		return true, 0
	}
	if now.Before(e.heldUntil) {
		return false, e.heldUntil.Sub(now)
	}
	if e.trial {
		return false, firstHold
	}
	e.trial = true
	return true, 0
}

// Held reports whether a request is held back now, without letting it through for a trial.
func (r *Register) Held(f Fingerprint, now time.Time) bool {
	e := r.entries[f]
	return e != nil && now.Before(e.heldUntil)
}

// Succeeded forgets a request that a backend server survived.
func (r *Register) Succeeded(f Fingerprint) {
	delete(r.entries, f)
}

// Released ends a trial that gave no answer either way.
func (r *Register) Released(f Fingerprint) {
	if e := r.entries[f]; e != nil {
		e.trial = false
	}
}

// Len returns the number of remembered requests.
func (r *Register) Len() int { return len(r.entries) }

// makeRoom drops what is old and, when that is not enough, the entry with the oldest crash.
func (r *Register) makeRoom(now time.Time) {
	if len(r.entries) < maxSize {
		return
	}
	var oldest Fingerprint
	var at time.Time
	for f, e := range r.entries {
		if now.Sub(e.lastCrash) > memory {
			delete(r.entries, f)
			continue
		}
		if at.IsZero() || e.lastCrash.Before(at) {
			oldest = f
			at = e.lastCrash
		}
	}
	if len(r.entries) >= maxSize {
		delete(r.entries, oldest)
	}
}
