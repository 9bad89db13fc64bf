package leader

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/rollout"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
	"github.com/azuretiller/azuretiller/pkg/tokenbucket"
)

// Params holds the configured limits of a leader.
type Params struct {
	Scheduler scheduler.Params
	// RateTolerance is how far a team may exceed its rate.
	RateTolerance tokenbucket.Tolerance
	// Rollout bounds the exposure to the new version of a rollout.
	Rollout rollout.Params
}

const (
	// heartbeatTimeout is the time without a heartbeat after which a VM counts as down: four missed heartbeats.
	heartbeatTimeout = 1300 * time.Millisecond
	// handoverCPURatio is the least ratio of another VM's CPU capacity to the leader's at which the leader hands over.
	handoverCPURatio = 2
	// capacitiesInterval is how long the list of the VMs' CPU capacities is used.
	capacitiesInterval = 200 * time.Millisecond
	// handoverMinAge is how long a VM must have been a member before the leader hands over to it: three heartbeats.
	handoverMinAge = time.Second
	// viewMinInterval is the least time between two views to all VMs.
	viewMinInterval = 150 * time.Millisecond
	// viewResendInterval is the time within which a view reaches a VM and is reported by its next heartbeat. After that, the full view
	// is sent to the VM.
	viewResendInterval = 400 * time.Millisecond
	// zoneRefreshInterval is the time between two full views that a relay sends to its zone, and zoneRefreshMin the number of VMs there from
	// which it does so.
	zoneRefreshInterval = time.Second
	zoneRefreshMin      = 4
	// maxRelaySilence is the time without a heartbeat after which another VM relays views: a heartbeat is missing.
	maxRelaySilence = 450 * time.Millisecond
	// lostContactInterval is the time between two messages to each lost VM. The VM learns of this leader or answers with a newer
	// one.
	lostContactInterval = time.Second
	// leavingTime is how long a server gets no requests of the fleet after it told a VM that it is about to stop. VMs that were told
	// themselves hold back for longer; the others may ask it again, in case it said so by mistake.
	leavingTime = time.Minute
	// lostContactPeriod is how long messages are sent to a lost VM.
	lostContactPeriod = time.Minute
	// resendEntriesPerSecond limits the resending of full views. At 66 bytes an entry it is 1.3 MB/s, the rate of the slowest link
	// of a VM.
	resendEntriesPerSecond = 20000
	// partitionSuspectRatio is the fraction of the peak number of members below which the fleet may be partitioned and have a newer
	// leader.
	partitionSuspectRatio = 0.6
	// peakWindow is how long the peak number of members counts after it was last reached.
	peakWindow = 10 * time.Second
	// suspectConfirmInterval is the time between reads of the leader record while the fleet may be partitioned.
	suspectConfirmInterval = 500 * time.Millisecond
	// confirmInterval is the time between reads of the leader record otherwise. They detect a second leader when the two parts of
	// the fleet do not know of each other.
	confirmInterval = 2 * time.Second
	// responseRetention is how long responses are cached for retransmitted requests.
	responseRetention = 3 * time.Second
	// tolerancePart is the part of the tolerance for exceeding the rates that leaders hold to use while they do not spend the whole rates. With
	// what is refilled within a window, they use four thirds of it.
	tolerancePart = 0.5
	// joinTime is how long most VMs take at most to join a new leader. Requests wait until then if they depend on the shares of the VMs.
	joinTime = 300 * time.Millisecond
	// collectingWait is the longest Retry-After time of a leader that has just been elected, as VMs join it within tenths of a second.
	collectingWait = 200 * time.Millisecond
	// loggedShareStep is the change of the share of the rates from which it is logged.
	loggedShareStep = azuretiller.WholeRate / 20
	// successGranularity is the step in percent to which success probabilities in the view are rounded, so that small changes do
	// not change the view.
	successGranularity = 10
)
