package rateshare

import (
	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/rendezvous"
)

const (
	maxShares = 4
	// minTokensPerShare is the minimum burst of a share in requests. Teams with a small burst get fewer than maxShares
	// shares, so that no share is too small to serve short bursts.
	minTokensPerShare = 4
)

// Owners returns the VMs that own the shares of a team's rate. The caller leaves out members that are leaving.
func Owners(team config.Team, members []azuretiller.VM) []azuretiller.VM {
	return rendezvous.AcrossZones(HashName(team.ID), members, ShareCount(team))
}

// HashName returns the name for the rendezvous hash that chooses the VMs that own a team's shares.
func HashName(team azuretiller.TeamID) string { return "rate/" + string(team) }

// ShareCount returns the number of equal shares that a team's rate is split into.
func ShareCount(team config.Team) int {
	return min(max(int(team.Burst/(minTokensPerShare*azuretiller.TokenCost)), 1), maxShares)
}
