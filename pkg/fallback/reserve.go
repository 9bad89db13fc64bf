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
	vm        azuretiller.VMID
	tolerance tokenbucket.Tolerance
	limits    map[azuretiller.TeamID]tokenbucket.Limit
	share     azuretiller.RateShare
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

// size returns how many tokens of a team this VM may take within a window of the tolerance. The fraction of a token that its share amounts to is
// rounded up on that fraction of the VMs.
func (r *reserve) size(team azuretiller.TeamID) int {
	exact := r.share.Of(reservePart*r.tolerance.Of(r.limits[team])) / float64(azuretiller.TokenCost)
	d := xxhash.New()
	_, _ = d.WriteString(string(r.vm))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(team))
	return int(exact + float64(d.Sum64()>>11)/(1<<53))
}
