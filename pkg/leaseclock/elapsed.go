package leaseclock

import "time"

// Elapsed returns the time since start by the monotonic clock or by the wall clock, whichever is longer. If the wall clock was
// set back, the monotonic clock decides.
func Elapsed(now, start time.Time) time.Duration {
	mono := now.Sub(start)
	wall := now.Round(0).Sub(start.Round(0))
	return max(mono, wall)
}
