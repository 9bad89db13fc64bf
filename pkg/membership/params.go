package membership

import "time"

// Params sets the times and sizes of failure detection.
type Params struct {
	// Degree is the number of VMs that each VM observes.
	Degree int
	// Suspect is the silence after which a VM is asked for through others.
	Suspect time.Duration
	// Accuse is the silence, also through others, after which an observer accuses a VM.
	Accuse time.Duration
	// Forget is the age at which an accusation that is not renewed stops counting.
	Forget time.Duration
	// Pause is the gap between two ticks that shows that this VM itself stood still.
	Pause time.Duration
}

// DefaultParams returns the values for a fleet whose heartbeats are half a second apart.
func DefaultParams() Params {
	return Params{
		Degree:  4,
		Suspect: 900 * time.Millisecond,
		Accuse:  1400 * time.Millisecond,
		Forget:  3 * time.Second,
		Pause:   time.Second,
	}
}
