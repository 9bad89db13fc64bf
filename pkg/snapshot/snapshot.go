package snapshot

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/strict"
	"github.com/azuretiller/azuretiller/pkg/topology"
)

// Snapshot is what one VM knows; it is not changed after it is published.
type Snapshot struct {
	Self azuretiller.VM
	// Ready means that a configuration was read.
	Ready    bool
	Next     azuretiller.Offset
	Revision azuretiller.Revision
	Config   *config.Config
	Topology topology.Topology
	// Members is the agreed roster; only the log changes it.
	Members        []azuretiller.VM
	RosterRevision azuretiller.Revision
	// Live are the members that are neither down nor leaving nor in a zone taken out.
	Live []azuretiller.VM
	Down []azuretiller.VMID
	// Pollers are the VMs that read the log for their zones.
	Pollers []azuretiller.VMID
	Leaving bool
	// CompleteAt is when the view of the log was last known to be complete.
	CompleteAt time.Time
	// OutSince is the latest time after which most of the roster failed to read the log, or zero.
	OutSince time.Time
	// Version is the newest change that this VM has applied, and Settled the newest that most VMs are known to have applied.
	Version azuretiller.Revision
	Settled azuretiller.Revision
	// SettledAt is when this VM learnt that Settled is settled.
	SettledAt time.Time
	// Limit is the age at which neither of these times counts.
	Limit time.Duration
}

// Current reports whether the configuration may still be acted on: the view was complete a short while ago,
// or the log was out for most VMs a short while ago, so that no change can have been settled.
func (s *Snapshot) Current(now time.Time) bool {
	return s.recent(now, s.CompleteAt) || s.recent(now, s.OutSince)
}

func (s *Snapshot) recent(now, at time.Time) bool {
	return !at.IsZero() && strict.Elapsed(now, at) < s.Limit
}

// Member returns the roster's row of a VM and whether there is one.
func (s *Snapshot) Member(id azuretiller.VMID) (azuretiller.VM, bool) {
	for _, vm := range s.Members {
		if vm.ID == id {
			return vm, true
		}
	}
	return azuretiller.VM{}, false
}
