package azuretiller

import "time"

// Clock tells the time; a test replaces it.
type Clock interface {
	// Now returns the wall time, with the monotonic reading where the implementation has one.
	Now() time.Time
}
