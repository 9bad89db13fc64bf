package strict

import "time"

// Elapsed returns the longer of the times that the monotonic and the wall clock say have passed since then.
// A wall clock that was set back counts as no time passed by it.
func Elapsed(now, then time.Time) time.Duration {
	mono := now.Sub(then)
	wall := now.Round(0).Sub(then.Round(0))
	return max(mono, wall)
}
