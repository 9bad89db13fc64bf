package crash

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

const (
	// holdThreshold is the number of different backend servers that a request must crash before it is held back.
	holdThreshold = 2
	// minHold is how long a request is held back the first time. It is also the wait that Admit returns during a trial.
	minHold = 20 * time.Second
	// maxHold bounds the hold, which doubles at each further crash.
	maxHold = 10 * time.Minute
	// entryTTL is the time after its last crash at which an entry expires. Expired entries are removed when the tracker is
	// full.
	entryTTL = 10 * time.Minute
	// maxEntries is the number of entries of a full tracker.
	maxEntries = 4096
)

// Fingerprint is equal for requests with the same team, route, method, target and body.
type Fingerprint string

// Tracker records which requests were running when backend servers crashed. It decides which requests are held back.
type Tracker struct {
	entries map[Fingerprint]*entry
}

type entry struct {
	servers   map[azuretiller.ServerID]bool
	lastCrash time.Time
	// hold is the length of the newest hold, zero before the first one.
	hold      time.Duration
	heldUntil time.Time
	// trial is true while the trial request that is admitted after a hold has no result.
	trial bool
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{entries: map[Fingerprint]*entry{}}
}

// RecordCrash records that a backend server crashed while it ran a request, and reports whether the request is now held back.
// A request is held back after crashing two servers, or one during a trial. Each further hold lasts twice as long, up to
// maxHold.
func (t *Tracker) RecordCrash(f Fingerprint, server azuretiller.ServerID, now time.Time) bool {
	e := t.entries[f]
	if e == nil {
		t.evict(now)
		e = &entry{servers: map[azuretiller.ServerID]bool{}}
		t.entries[f] = e
	}
	trialFailed := e.trial
	e.trial = false
	e.servers[server] = true
	e.lastCrash = now
	if len(e.servers) < holdThreshold && !trialFailed {
		return false
	}
	e.hold = min(max(minHold, 2*e.hold), maxHold)
	e.heldUntil = now.Add(e.hold)
	return true
}

// Admit reports whether a request may run now and, if not, how long to wait.
// After a hold it admits one request at a time as a trial.
func (t *Tracker) Admit(f Fingerprint, now time.Time) (bool, time.Duration) {
	e := t.entries[f]
	if e == nil || e.hold == 0 {
		return true, 0
	}
	if now.Before(e.heldUntil) {
		return false, e.heldUntil.Sub(now)
	}
	if e.trial {
		return false, minHold
	}
	e.trial = true
	return true, 0
}

// IsHeld reports whether a request is held back now. Unlike Admit it starts no trial.
func (t *Tracker) IsHeld(f Fingerprint, now time.Time) bool {
	e := t.entries[f]
	return e != nil && now.Before(e.heldUntil)
}

// RecordSuccess removes the entry of a request that a backend server ran without a crash.
func (t *Tracker) RecordSuccess(f Fingerprint) {
	delete(t.entries, f)
}

// EndTrial ends a trial that neither succeeded nor crashed a server. The next request may start another trial.
func (t *Tracker) EndTrial(f Fingerprint) {
	if e := t.entries[f]; e != nil {
		e.trial = false
	}
}

// Len returns the number of entries.
func (t *Tracker) Len() int { return len(t.entries) }

// evict removes expired entries if the tracker is full. If none has expired, it removes the entry with the oldest crash.
func (t *Tracker) evict(now time.Time) {
	if len(t.entries) < maxEntries {
		return
	}
	var oldest Fingerprint
	var oldestCrash time.Time
	for f, e := range t.entries {
		if now.Sub(e.lastCrash) > entryTTL {
			delete(t.entries, f)
			continue
		}
		if oldestCrash.IsZero() || e.lastCrash.Before(oldestCrash) {
			oldest = f
			oldestCrash = e.lastCrash
		}
	}
	if len(t.entries) >= maxEntries {
		delete(t.entries, oldest)
	}
}
