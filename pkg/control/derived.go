package control

import (
	"slices"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/topology"
)

// derivedState is computed from the roster, the settings and the VMs that are down. It is cached until one of them changes,
// because a snapshot is published each time that the view of the log is found complete.
type derivedState struct {
	members  []azuretiller.VM
	live     []azuretiller.VM
	down     []azuretiller.VMID
	topology topology.Topology
}

// derive returns the derived state and recomputes it if it was invalidated.
func (s *State) derive() *derivedState {
	if s.derived != nil {
		return s.derived
	}
	members := s.logState.Members()
	live := s.live(members)
	s.derived = &derivedState{
		members:  members,
		live:     live,
		down:     s.monitor.Down(),
		topology: topology.Build(s.logState.Config(), live),
	}
	return s.derived
}

// invalidateDerived discards the derived state and requests a new snapshot. It is called after a change of the roster, the
// settings or the VMs that are down.
func (s *State) invalidateDerived() {
	s.derived = nil
	s.dirty = true
}

// live returns the members that may own pools and appear in the address lists for callers.
func (s *State) live(members []azuretiller.VM) []azuretiller.VM {
	zones := s.logState.Config().Zones
	return slices.DeleteFunc(slices.Clone(members), func(vm azuretiller.VM) bool {
		return vm.Leaving || zones[vm.Zone].OutOfService || s.monitor.IsDown(vm.ID)
	})
}
