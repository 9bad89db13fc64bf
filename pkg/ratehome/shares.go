package ratehome

import (
	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/placement"
)

const (
	mostShares = 4
	// tokensPerShare keeps the shares of small bursts large enough to be of use.
	tokensPerShare = 4
)

// Holders returns the VMs that hold the shares of a team's rate, from the members that are not leaving.
func Holders(team config.Team, members []azuretiller.VM) []azuretiller.VM {
	return placement.Spread(PlacementName(team.ID), members, ShareCount(team))
}

// PlacementName returns the name under which the VMs that hold a team's shares are found.
func PlacementName(team azuretiller.TeamID) string { return "rate/" + string(team) }

// ShareCount returns the number of equal shares that a team's rate is split into.
func ShareCount(team config.Team) int {
	return min(max(int(team.Burst/(tokensPerShare*azuretiller.TokenCost)), 1), mostShares)
}
