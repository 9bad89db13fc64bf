package systemclock

import "time"

// Clock returns the time of the operating system.
type Clock struct{}

// New returns the clock.
func New() Clock { return Clock{} }

// Now returns the wall time with its monotonic reading.
func (Clock) Now() time.Time { return time.Now() }
