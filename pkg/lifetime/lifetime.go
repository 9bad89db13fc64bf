package lifetime

import (
	"sync/atomic"
	"time"
)

// Lifetime is the time from the start of a process to its end.
type Lifetime struct {
	startedAt time.Time
	// leavingAt is nil before Leave.
	leavingAt atomic.Pointer[time.Time]
	closed    atomic.Bool
}

// New returns the lifetime of a process that starts at the given time.
func New(startedAt time.Time) *Lifetime { return &Lifetime{startedAt: startedAt} }

// Leave notes when the process began to leave.
func (l *Lifetime) Leave(at time.Time) { l.leavingAt.Store(&at) }

// Close notes that the process closes the connections of callers from now on.
func (l *Lifetime) Close() { l.closed.Store(true) }

// Closed reports whether Close was called.
func (l *Lifetime) Closed() bool { return l.closed.Load() }

// Up returns how old the process was at the given time.
func (l *Lifetime) Up(at time.Time) time.Duration { return at.Sub(l.startedAt) }

// Stopping returns how long the process had been leaving at the given time, or 0 if it was not.
func (l *Lifetime) Stopping(at time.Time) time.Duration {
	leavingAt := l.leavingAt.Load()
	if leavingAt == nil {
		return 0
	}
	return max(at.Sub(*leavingAt), 0)
}
