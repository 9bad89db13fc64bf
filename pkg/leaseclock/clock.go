package leaseclock

import "time"

// Clock measures the time for leases that must end in time: pauses of the process or VM count, and it never goes back. It is not safe for
// concurrent use.
type Clock struct {
	last    time.Time
	elapsed time.Duration
}

// New returns a clock that starts at the given time.
func New(start time.Time) *Clock { return &Clock{last: start} }

// Elapsed returns the time since the start.
func (c *Clock) Elapsed(now time.Time) time.Duration {
	if step := Elapsed(now, c.last); step > 0 {
		c.elapsed += step
		c.last = now
	}
	return c.elapsed
}
