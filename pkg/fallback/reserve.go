package fallback

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/tokenbucket"
)

// reserve is the part of the tolerance for exceeding the rates that a VM may use while the leader does not answer, even if it may not spend
// its share of the rates yet.
type reserve struct {
	tolerance tokenbucket.Tolerance
	limits    map[azuretiller.TeamID]tokenbucket.Limit
	// share is the share of the rates that the VM holds, and offset the sum of the shares of the VMs before it.
	share, offset azuretiller.RateShare
	// taken holds, for each team, when the last tokens were taken. A former process of the VM may have taken all before startedAt.
	taken     map[azuretiller.TeamID][]time.Time
	startedAt time.Time
}

// take takes a token of a team, and reports whether there was one.
func (r *reserve) take(now time.Time, team azuretiller.TeamID) bool {
	if now.Sub(r.startedAt) < r.tolerance.Window {
		return false
	}
	size := r.size(team)
	taken := r.taken[team]
	for len(taken) > 0 && now.Sub(taken[0]) >= r.tolerance.Window {
		taken = taken[1:]
	}
	if len(taken) < size {
		r.taken[team] = append(taken, now)
		return true
	}
	r.taken[team] = taken
	return false
}

// size returns how many tokens of a team this VM may take within a window of the tolerance. The whole tokens of all VMs lie on the line from 0
// to 1 at equal distances, from a start that differs between teams; a VM has those within its share of the line.
func (r *reserve) size(team azuretiller.TeamID) int {
	all := reservePart * r.tolerance.Of(r.limits[team]) / float64(azuretiller.TokenCost)
	start := float64(xxhash.Sum64String(string(team))>>11) / (1 << 53)
	return int(start+(r.offset+r.share).Of(all)) - int(start+r.offset.Of(all))
}
