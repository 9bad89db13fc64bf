package control

import (
	"slices"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/topology"
)

// placed is what follows from the roster, the settings and the VMs that are down. It is made anew only when one of them
// changed, because a snapshot is published with every sign that the view of the log is complete.
type placed struct {
	members  []azuretiller.VM
	live     []azuretiller.VM
	down     []azuretiller.VMID
	topology topology.Topology
}

// place returns the placement that is in force.
func (s *State) place() *placed {
	if s.placed != nil {
		return s.placed
	}
	members := s.journal.Members()
	live := s.live(members)
	s.placed = &placed{
		members:  members,
		live:     live,
		down:     s.monitor.Down(),
		topology: topology.Build(s.journal.Config(), live),
	}
	return s.placed
}

// displace drops the placement, because something changed that it follows from.
func (s *State) displace() {
	s.placed = nil
	s.dirty = true
}

// live returns the members that may be homes and stand in address answers.
func (s *State) live(members []azuretiller.VM) []azuretiller.VM {
	zones := s.journal.Config().Zones
	return slices.DeleteFunc(slices.Clone(members), func(vm azuretiller.VM) bool {
		return vm.Leaving || zones[vm.Zone].Out || s.monitor.IsDown(vm.ID)
	})
}
