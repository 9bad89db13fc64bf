package membership

import "time"

// Params holds the parameters of failure detection.
type Params struct {
	// Degree is the number of rings. Each VM observes its successor in each ring, so at most this number of VMs.
	Degree int
	// SuspectTimeout is the time without a message from a subject after which other VMs are asked to ping it.
	SuspectTimeout time.Duration
	// AccuseTimeout is the time without a direct or relayed message after which an observer accuses a subject.
	AccuseTimeout time.Duration
	// AccusationTTL is the age at which an accusation expires unless it is renewed.
	AccusationTTL time.Duration
	// MaxTickInterval is the longest time between two ticks. A longer time means that this VM itself was paused.
	MaxTickInterval time.Duration
}

// DefaultParams returns the parameters for a heartbeat interval of 500 ms.
func DefaultParams() Params {
	return Params{
		Degree:          4,
		SuspectTimeout:  900 * time.Millisecond,
		AccuseTimeout:   1400 * time.Millisecond,
		AccusationTTL:   3 * time.Second,
		MaxTickInterval: time.Second,
	}
}
