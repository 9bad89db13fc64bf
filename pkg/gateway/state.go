package gateway

import (
	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// State is an immutable snapshot of what a VM knows about the fleet.
type State struct {
	VM   azuretiller.VMID
	Zone azuretiller.Zone
	// Config is nil until the first configuration has been read.
	Config *config.Config
	Term   azuretiller.Term
	// LeaderAddress is the host:port of the leader.
	LeaderAddress string
	// LeaderReachable means that the leader answered recently.
	LeaderReachable bool
	// LeaderExpected means that the VM just started or just lost its leader, so that a leader is expected soon.
	LeaderExpected bool
	// Isolated means that the VM has not reached the leader for so long that Members may contain VMs that are down.
	Isolated bool
	Leaving  bool
	// SpreadRetryAfter means that callers which are refused together get different Retry-After times.
	SpreadRetryAfter bool
	Members          []message.Member
	Servers          []message.Server
}

// Ready reports whether the VM can serve callers.
func (s *State) Ready() bool {
	return s.Config != nil && !s.Leaving && (s.LeaderReachable || len(s.Servers) > 0)
}

func (s *State) hasConfigAndLeader() bool { return s.Config != nil && s.LeaderReachable }
