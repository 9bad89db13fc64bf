package zoneflow

// Verdict is the decision on one request.
type Verdict int

const (
	// Stay means that the request gets a server of its own zone now.
	Stay Verdict = iota
	// Wait means that the request waits for a slot.
	Wait
	// LeaveFull means that the request goes to another zone because its own has no free slot.
	LeaveFull
	// LeaveSuspected means that the request goes to another zone because the free servers of its own are likely to fail.
	LeaveSuspected
	// LeaveCoverage means that the request goes to another zone to keep a server of that zone in use.
	LeaveCoverage
)

// String returns the verdict as it is logged.
func (v Verdict) String() string {
	return [...]string{"stay", "wait", "zone full", "servers suspected", "coverage"}[v]
}
