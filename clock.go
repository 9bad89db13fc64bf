package azuretiller

import "time"

// Clock returns the current time. Tests replace it with a fake clock.
type Clock interface {
	// Now returns the wall time, with a monotonic reading if the implementation has one.
	Now() time.Time
}
