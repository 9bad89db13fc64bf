package detector

import "time"

// Params sets the hypotheses that evidence is weighed between.
type Params struct {
	// Background is the failure rate that is normal at least.
	Background float64
	// Faulty is the failure rate of a server that should be ejected.
	Faulty float64
	// FailureLimit is the evidence, in nats, at which a server counts as failing.
	FailureLimit float64
	// SlowFactor is the multiple of the peers' median latency above which an answer is slow.
	SlowFactor float64
	// ColdAllowance is the factor by which a cold server may be slower still.
	ColdAllowance float64
	// SlowMargin is the least time above the peers' median for an answer to be slow.
	SlowMargin time.Duration
	// SlowBackground is the share of slow answers that is normal at least.
	SlowBackground float64
	// SlowFaulty is the share of slow answers of a server that should be ejected.
	SlowFaulty float64
	// SlowLimit is the evidence, in nats, at which a server counts as slow.
	SlowLimit float64
}

// DefaultParams returns the values that detection starts from.
func DefaultParams() Params {
	return Params{
		Background:     0.01,
		Faulty:         0.15,
		FailureLimit:   14,
		SlowFactor:     3.5,
		ColdAllowance:  2,
		SlowMargin:     5 * time.Millisecond,
		SlowBackground: 0.03,
		SlowFaulty:     0.6,
		SlowLimit:      20,
	}
}
