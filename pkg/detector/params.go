package detector

import "time"

// Params defines the hypotheses "healthy" and "faulty" that the evidence distinguishes, and the thresholds of ejection.
type Params struct {
	// BackgroundRate is the failure rate of a healthy server. A higher failure rate of the other servers replaces it.
	BackgroundRate float64
	// FaultyRate is the failure rate of a server that should be ejected.
	FaultyRate float64
	// FailureThreshold is the evidence, in nats, at which a server counts as failing.
	FailureThreshold float64
	// SlowFactor is the multiple of the peers' median latency above which a response is slow.
	SlowFactor float64
	// ColdFactor multiplies SlowFactor for a cold server.
	ColdFactor float64
	// SlowMargin is the minimum time by which a slow response exceeds the peers' median latency.
	SlowMargin time.Duration
	// SlowBackgroundRate is the share of slow responses of a healthy server. A higher share of the other servers
	// replaces it.
	SlowBackgroundRate float64
	// SlowFaultyRate is the share of slow responses of a server that should be ejected.
	SlowFaultyRate float64
	// SlowThreshold is the evidence, in nats, at which a server counts as slow.
	SlowThreshold float64
}

// DefaultParams returns the parameters that the pools use.
func DefaultParams() Params {
	return Params{
		BackgroundRate:     0.01,
		FaultyRate:         0.15,
		FailureThreshold:   14,
		SlowFactor:         3.5,
		ColdFactor:         2,
		SlowMargin:         5 * time.Millisecond,
		SlowBackgroundRate: 0.03,
		SlowFaultyRate:     0.6,
		SlowThreshold:      20,
	}
}
