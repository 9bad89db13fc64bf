package rateshare_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/rateshare"
)

const (
	maxStaleness  = 4 * time.Second
	leaseLifetime = 500 * time.Millisecond
	// margin covers the clock drift that a manager adds to its waits, and the rounding of shares.
	margin = 200 * time.Millisecond
	step   = 100 * time.Millisecond
)

// version is one state of the log: the roster and the limits of the team.
type version struct {
	at time.Time
	// settledAt is when a majority of the VMs has applied the version.
	settledAt time.Time
	members   []azuretiller.VM
	config    *config.Config
	team      config.Team
}

// delayedManager is a Manager whose VM applies each version with a delay of its own.
type delayedManager struct {
	manager *rateshare.Manager
	id      azuretiller.VMID
	// appliedAt is when the VM applies each version, and settledAt when it learns that the version is settled.
	appliedAt []time.Time
	settledAt []time.Time
	// appliedCount is the number of versions that the VM has applied.
	appliedCount int
}

func genVersions(t *rapid.T, start time.Time, all []azuretiller.VM) []version {
	var out []version
	at := start
	for i := range rapid.IntRange(1, 6).Draw(t, "versions") {
		if i > 0 {
			at = at.Add(time.Duration(rapid.IntRange(1, 12000).Draw(t, "gap")) * time.Millisecond)
		}
		team := config.Team{
			ID:    "alder",
			Rate:  azuretiller.Millitokens(1000 * rapid.IntRange(1, 60).Draw(t, "rate")),
			Burst: azuretiller.Millitokens(1000 * rapid.IntRange(1, 40).Draw(t, "burst")),
		}
		members := slices.DeleteFunc(slices.Clone(all), func(azuretiller.VM) bool { return rapid.IntRange(0, 3).Draw(t, "gone") == 0 })
		out = append(out, version{
			at:        at,
			settledAt: at.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "settles")) * time.Millisecond),
			members:   members,
			config:    &config.Config{Teams: map[azuretiller.TeamID]config.Team{team.ID: team}},
			team:      team,
		})
	}
	return out
}

// genDelayedManager generates the times at which a VM applies each version, in order. The delays range from none to 15 s,
// which is longer than maxStaleness.
func genDelayedManager(t *rapid.T, id azuretiller.VMID, versions []version) *delayedManager {
	d := &delayedManager{manager: rateshare.New(id, maxStaleness), id: id}
	var last time.Time
	for _, v := range versions {
		delayMS := rapid.SampledFrom([]int{0, 100, 1500, 6000, 15000}).Draw(t, "lag")
		applyAt := v.at.Add(time.Duration(delayMS) * time.Millisecond)
		if applyAt.Before(last) {
			applyAt = last
		}
		last = applyAt
		d.appliedAt = append(d.appliedAt, applyAt)
		learnSettledAt := v.settledAt.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "hears")) * time.Millisecond)
		if learnSettledAt.Before(applyAt) {
			learnSettledAt = applyAt
		}
		d.settledAt = append(d.settledAt, learnSettledAt)
	}
	return d
}

func (d *delayedManager) advance(versions []version, now time.Time) {
	for d.appliedCount < len(versions) && !d.appliedAt[d.appliedCount].After(now) {
		v := versions[d.appliedCount]
		d.appliedCount++
		d.manager.Observe(v.members, v.config, d.appliedAt[d.appliedCount-1])
	}
	if d.appliedCount > 0 && !d.settledAt[d.appliedCount-1].After(now) {
		d.manager.MarkSettled(d.settledAt[d.appliedCount-1])
	}
}

// current reports whether the VM may use its configuration, which is the case until a version that it has not applied has been
// settled for maxStaleness.
func (d *delayedManager) current(versions []version, now time.Time) bool {
	return !slices.ContainsFunc(versions[d.appliedCount:], func(v version) bool { return !now.Before(v.settledAt.Add(maxStaleness)) })
}

// referenceBucket is a single bucket with the highest limits that any VM may still use.
type referenceBucket struct {
	level float64
	at    time.Time
}

func (b *referenceBucket) spend(versions []version, amount azuretiller.Millitokens, now time.Time) bool {
	var rate, burst float64
	for i, v := range versions {
		superseded := slices.ContainsFunc(versions[i+1:], func(later version) bool {
			return now.Sub(later.settledAt) > maxStaleness+leaseLifetime+margin
		})
		if !v.at.After(now) && !superseded {
			rate = max(rate, float64(v.team.Rate))
			burst = max(burst, float64(v.team.Burst))
		}
	}
	b.level = min(burst, b.level+rate*now.Sub(b.at).Seconds()) - float64(amount)
	b.at = now
	return b.level >= -1
}

// TestSharesNeverExceedRate guards against shares that together grant more than the rate of a team. That could happen
// when VMs apply changes of the roster or the limits at different times, so that two VMs own the same share. Every manager is
// asked for all tokens that it has, and the sum is compared with a single reference bucket.
func TestSharesNeverExceedRate(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_700_000_000, 0)
		var all []azuretiller.VM
		for i := range 6 {
			all = append(all, azuretiller.VM{ID: azuretiller.VMID(fmt.Sprint("vm", i)), Zone: azuretiller.Zone(fmt.Sprint("z", i%3))})
		}
		versions := genVersions(t, start, all)
		var managers []*delayedManager
		for _, vm := range all {
			managers = append(managers, genDelayedManager(t, vm.ID, versions))
		}
		// No tokens are drawn before this time, so that the buckets fill and the first draws are a burst.
		demandStart := start.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "quiet")) * time.Millisecond)
		reference := referenceBucket{level: float64(versions[0].team.Burst), at: start}
		for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(step) {
			for _, d := range managers {
				d.advance(versions, now)
				if d.appliedCount == 0 || now.Before(demandStart) {
					continue
				}
				response := d.manager.Draw(rateshare.DrawRequest{Team: "alder", EntryVM: "entry", Want: 1 << 30, Lifetime: leaseLifetime}, d.current(versions, now), now)
				d.manager.Draw(rateshare.DrawRequest{Team: "alder", EntryVM: "entry", Spent: response.Granted}, true, now)
				require.True(t, reference.spend(versions, response.Granted, now), "%s grants more than the rate allows, %s after the start", d.id, now.Sub(start))
			}
		}
	})
}
