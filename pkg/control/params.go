package control

import (
	"time"

	"github.com/azuretiller/azuretiller/pkg/membership"
)

// Params sets the times of the control state.
type Params struct {
	Membership membership.Params
	// Heartbeat is the time between two heartbeats to one subject.
	Heartbeat time.Duration
	// Poll is the time between two reads of the log by a poller.
	Poll time.Duration
	// Fallback is the age of the view at which a VM that is no poller reads the log itself.
	Fallback time.Duration
	// Limit is the age of the view at which it is no longer acted on.
	Limit time.Duration
	// PollersPerZone is the number of VMs that read the log for one zone.
	PollersPerZone int
	// ReadSize is the largest number of entries in one read.
	ReadSize int
	// Remove is how long a VM must be down before its removal from the roster is proposed.
	Remove time.Duration
	// Settle is how long after a proposal without a verdict it is withdrawn.
	Settle time.Duration
	// CheckpointRecords is the number of records after which a checkpoint is due.
	CheckpointRecords int
	// Stagger is the time that each further VM waits before it does what the first one should have done.
	Stagger time.Duration
}

// DefaultParams returns the values that settings start from.
func DefaultParams() Params {
	return Params{
		Membership:        membership.DefaultParams(),
		Heartbeat:         500 * time.Millisecond,
		Poll:              200 * time.Millisecond,
		Fallback:          1500 * time.Millisecond,
		Limit:             4 * time.Second,
		PollersPerZone:    2,
		ReadSize:          256,
		Remove:            8 * time.Second,
		Settle:            2 * time.Second,
		CheckpointRecords: 500,
		Stagger:           3 * time.Second,
	}
}
