package registrycache

import "time"

const (
	// expiryIntervals is the age, in heartbeat intervals of the servers, from which an entry may have expired. Entries expire after three
	// intervals without a heartbeat, and the intervals vary a little.
	expiryIntervals = 2.8
	// minOutageIntervals is the length in heartbeat intervals from which an outage of the registry can make an entry expire. The last
	// heartbeat before it is at most one interval older.
	minOutageIntervals = expiryIntervals - 1
	// reregistrationTime is how long after a registry outage or restore entries may be missing although their servers are alive.
	reregistrationTime = 2200 * time.Millisecond
)

// readHistory is what a Cache keeps of its reads of the server registry, to tell entries that expired from servers that left.
type readHistory struct {
	// answeredAt is when a read last succeeded, and appliedAt when a page was last applied. Both are zero after a pause in the reads.
	answeredAt, appliedAt time.Time
	// failed means that a read has failed since.
	failed bool
	// recoveredAt is when the registry recovered from the last outage in which entries may have expired, and restoredAt when it was
	// last found restored.
	recoveredAt, restoredAt time.Time
}

// answered records that a read succeeded.
func (h *readHistory) answered(now time.Time, heartbeat time.Duration) {
	if h.failed && !h.answeredAt.IsZero() && now.Sub(h.answeredAt) >= scale(heartbeat, minOutageIntervals) {
		h.recoveredAt = now
	}
	h.answeredAt, h.failed = now, false
}

// expectedUntil returns until when the server of an entry that is removed now counts as existing, or zero if it does not. The server was
// last known to be alive after the given time, zero if that is unknown.
func (h *readHistory) expectedUntil(now, renewedAfter time.Time, heartbeat time.Duration) time.Time {
	var until time.Time
	if !h.restoredAt.IsZero() && renewedAfter.Before(h.restoredAt) {
		// The copy may lack the entry, or hold one that has expired since.
		until = h.restoredAt.Add(reregistrationTime)
	}
	if !h.recoveredAt.IsZero() && now.Sub(renewedAfter) >= scale(heartbeat, expiryIntervals) {
		until = later(until, h.recoveredAt.Add(reregistrationTime))
	}
	if !now.Before(until) {
		return time.Time{}
	}
	return until
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
