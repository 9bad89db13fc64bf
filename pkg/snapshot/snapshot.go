package snapshot

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/leaseclock"
	"github.com/azuretiller/azuretiller/pkg/topology"
)

// Snapshot is the state of the fleet as known to one VM. It does not change after it is published.
type Snapshot struct {
	Self azuretiller.VM
	// Ready is true once a configuration has been read.
	Ready bool
	// NextOffset is the log offset of the next entry to read.
	NextOffset azuretiller.Offset
	// Revision is the revision of Config.
	Revision azuretiller.Revision
	Config   *config.Config
	Topology topology.Topology
	// Members is the roster of VMs as recorded in the log.
	Members        []azuretiller.VM
	RosterRevision azuretiller.Revision
	// Live lists the members that are not down, not leaving, and not in a zone that is out of service.
	Live []azuretiller.VM
	Down []azuretiller.VMID
	// Pollers lists the VMs that read the log on behalf of their zones.
	Pollers []azuretiller.VMID
	Leaving bool
	// CompleteAt is when the view of the log was last known to be complete.
	CompleteAt time.Time
	// MajorityOutageAt is the latest time at or after which a majority of the roster has failed to read the log, or zero.
	MajorityOutageAt time.Time
	// Version is the version of the newest change that this VM has applied.
	Version azuretiller.Revision
	// Settled is the newest version that a majority of the VMs is known to have applied.
	Settled azuretiller.Revision
	// SettledAt is when this VM learnt that the version Settled was settled.
	SettledAt time.Time
	// MaxViewAge is the age from which CompleteAt and MajorityOutageAt no longer allow the configuration to be used.
	MaxViewAge time.Duration
}

// Current reports whether the configuration may still be used. It may be if, within MaxViewAge, the view of the log was complete
// or a majority of the VMs could not read the log. In the second case no newer change can have been settled.
func (s *Snapshot) Current(now time.Time) bool {
	return s.withinLimit(now, s.CompleteAt) || s.withinLimit(now, s.MajorityOutageAt)
}

func (s *Snapshot) withinLimit(now, at time.Time) bool {
	return !at.IsZero() && leaseclock.Elapsed(now, at) < s.MaxViewAge
}

// Member returns the entry of a VM in the roster, and whether the roster contains the VM.
func (s *Snapshot) Member(id azuretiller.VMID) (azuretiller.VM, bool) {
	for _, vm := range s.Members {
		if vm.ID == id {
			return vm, true
		}
	}
	return azuretiller.VM{}, false
}
