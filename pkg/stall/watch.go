package stall

import (
	"context"
	"sync"
	"time"

	"github.com/azuretiller/azuretiller"
)

const (
	// Interval is the time between two ticks for Watch.Run.
	Interval = 50 * time.Millisecond
	// minStall is the shortest time without a tick that counts as a stall.
	minStall = 2 * Interval
	// noticeTime is how long after a stall the process may notice what happened during it.
	noticeTime = 100 * time.Millisecond
)

// Watch notes when the process ran.
type Watch struct {
	clock azuretiller.Clock

	mu sync.Mutex
	// lastTick is zero before the first tick.
	lastTick time.Time
	// stalledAt is the last tick before the latest stall, and resumedAt the first one after it.
	stalledAt, resumedAt time.Time
}

// New returns a watch that has seen no tick yet.
func New(c azuretiller.Clock) *Watch { return &Watch{clock: c} }

// Run takes a tick at each Interval until the context ends.
func (w *Watch) Run(ctx context.Context, ticks <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			w.tick()
		}
	}
}

func (w *Watch) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	if w.isStall(now) {
		w.stalledAt, w.resumedAt = w.lastTick, now
	}
	w.lastTick = now
}

func (w *Watch) isStall(now time.Time) bool {
	return !w.lastTick.IsZero() && now.Sub(w.lastTick) > minStall
}

// SentAt returns the earliest time at which a signal that the process notices now may have been sent.
func (w *Watch) SentAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	switch {
	case w.isStall(now):
		return w.lastTick
	case now.Sub(w.resumedAt) < noticeTime:
		return w.stalledAt
	default:
		return now
	}
}
