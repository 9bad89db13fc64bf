package leader

import (
	"time"

	"github.com/azuretiller/azuretiller/pkg/scheduler"
)

// Params holds the configured limits of a leader.
type Params struct {
	Scheduler scheduler.Params
	// RateTolerance and RateSlack limit how far a team may exceed its rate within a window of RateWindow: by the fraction
	// RateTolerance of what the rate allows, plus RateSlack requests.
	RateTolerance float64
	RateSlack     float64
	RateWindow    time.Duration
}

const (
	// heartbeatTimeout is the time without a heartbeat after which a VM counts as down: four missed heartbeats.
	heartbeatTimeout = 1300 * time.Millisecond
	// A leader hands over to a VM that has handoverPowerRatio times its processor time and has been a member for handoverMinAge,
	// which is three heartbeats.
	handoverPowerRatio = 2
	handoverMinAge     = time.Second
	// viewMinInterval is the least time between two views to all VMs. viewResendInterval is the least time before the view is resent
	// to a VM that did not acknowledge it.
	viewMinInterval    = 150 * time.Millisecond
	viewResendInterval = 400 * time.Millisecond
	// lostContactInterval is the time between two messages to each lost VM, and lostContactPeriod is how long they are sent. The VM
	// learns of this leader or answers with a newer one.
	lostContactInterval = time.Second
	lostContactPeriod   = time.Minute
	// resendEntriesPerSecond limits the resending of full views. At 66 bytes an entry it is 1.3 MB/s, the slowest link of a VM.
	resendEntriesPerSecond = 20000
	// Below partitionSuspectRatio of the largest number of members within peakWindow, the fleet may be partitioned and have a newer
	// leader. This leader then grants only a fraction of the rates until the leader record confirms its term.
	partitionSuspectRatio = 0.6
	peakWindow            = 10 * time.Second
	// suspectConfirmInterval is the time between reads of the leader record during a suspected partition, and confirmationValidity
	// is how long a confirmation counts.
	suspectConfirmInterval = 500 * time.Millisecond
	confirmationValidity   = 1500 * time.Millisecond
	// confirmInterval is the time between reads of the leader record otherwise. They detect a second leader when the two parts of
	// the fleet do not know of each other.
	confirmInterval = 2 * time.Second
	// responseRetention is how long responses are cached for retransmitted requests.
	responseRetention = 3 * time.Second
	// initialToleranceFraction is the fraction of the tolerance for a team's rate that a new leader starts with, since its
	// predecessor may have spent the burst within the same window.
	initialToleranceFraction = 0.5
	// Success probabilities in the view are rounded to a multiple of successGranularity, in percent, so that small changes do not
	// change the view.
	successGranularity = 10
)
