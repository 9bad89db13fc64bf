package drain

import "time"

const (
	stopShare  = 0.95
	closeShare = 0.98
	// minDeliveryTime is the least time between the two, since a process with a part of a processor may not run for most of 0.1 s.
	minDeliveryTime = 100 * time.Millisecond
)

// Times are the deadlines of a drain.
type Times struct {
	// StopAt is when requests that are still running get a response of the VM, and CloseAt is when all connections are closed.
	StopAt, CloseAt time.Time
}

// NewTimes returns the deadlines within a grace period.
func NewTimes(start time.Time, grace time.Duration) Times {
	closeAt := start.Add(scale(grace, closeShare))
	stopAt := start.Add(scale(grace, stopShare))
	if latest := closeAt.Add(-minDeliveryTime); latest.Before(stopAt) {
		stopAt = latest
	}
	return Times{StopAt: stopAt, CloseAt: closeAt}
}

func scale(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }
