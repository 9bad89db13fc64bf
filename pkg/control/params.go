package control

import (
	"time"

	"github.com/azuretiller/azuretiller/pkg/membership"
)

// Params holds the intervals, timeouts and sizes of the control state.
type Params struct {
	Membership membership.Params
	// HeartbeatInterval is the time between two heartbeats to a VM that this VM observes.
	HeartbeatInterval time.Duration
	// PollInterval is the mean time between two reads of the log by a poller.
	PollInterval time.Duration
	// FallbackAge is the age of the view of the log at which a VM that is not a poller reads the log itself.
	FallbackAge time.Duration
	// MaxViewAge is the age of the view of the log at which a VM stops acting on it.
	MaxViewAge time.Duration
	// PollersPerZone is the number of VMs that read the log for one zone.
	PollersPerZone int
	// ReadSize is the maximum number of entries in one read.
	ReadSize int
	// RemoveAfter is how long a VM must be down before its removal from the roster is proposed.
	RemoveAfter time.Duration
	// WithdrawAfter is how long a proposal may be without a verdict before it is withdrawn.
	WithdrawAfter time.Duration
	// CheckpointRecords is the number of records applied since the last checkpoint after which a new one is due.
	CheckpointRecords int
	// Stagger is the delay that a VM adds for each VM that ranks before it, if any VM may perform a task, such as proposing a
	// checkpoint.
	Stagger time.Duration
}

// DefaultParams returns the default parameters.
func DefaultParams() Params {
	return Params{
		Membership:        membership.DefaultParams(),
		HeartbeatInterval: 500 * time.Millisecond,
		PollInterval:      200 * time.Millisecond,
		FallbackAge:       1500 * time.Millisecond,
		MaxViewAge:        4 * time.Second,
		PollersPerZone:    2,
		ReadSize:          256,
		RemoveAfter:       8 * time.Second,
		WithdrawAfter:     2 * time.Second,
		CheckpointRecords: 500,
		Stagger:           3 * time.Second,
	}
}
