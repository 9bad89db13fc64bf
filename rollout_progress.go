package azuretiller

import "time"

// RolloutProgress is the state of a rollout that outlives a leader. It is stored before it is relied on.
type RolloutProgress struct {
	// Target is the version of the order to which the progress belongs.
	Target Version
	State  RolloutState
	// Started is the wall clock time at which the order was first seen.
	Started time.Time
	// Reserved is the number of attempts on the target version that may have been made so far (a high-water mark).
	Reserved int
	// Requests is the number of requests of the service known to have been counted so far (a lower bound).
	Requests int
	// Bad is the number of bad responses of the target version so far; it may be an overestimate.
	Bad int
	// Cutover means that the verdict was good, and that the old servers get no new requests.
	Cutover bool
	// Elapsed is the time since Started at which the progress was written, by the clock of the VM that wrote it. It bounds the
	// effect of a difference between the clocks of two leaders.
	Elapsed time.Duration
	// LogOdds is the natural logarithm of the odds that the target version is bad, as known when the progress was written.
	LogOdds float64
	// Attempts are the newest attempts that were evidence, in the order in which they were judged. Their number is limited.
	Attempts []RolloutAttempt
}
