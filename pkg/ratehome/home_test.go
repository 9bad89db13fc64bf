package ratehome_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/ratehome"
)

const (
	limit    = 4 * time.Second
	lifetime = 500 * time.Millisecond
	// margin covers the drift that a home adds to its waits, and the rounding of shares.
	margin = 200 * time.Millisecond
	step   = 100 * time.Millisecond
)

// version is one state of the log: who may hold shares, and the team's limits.
type version struct {
	at      time.Time
	settled time.Time
	members []azuretiller.VM
	config  *config.Config
	team    config.Team
}

// lagging is a home whose VM learns of each version at a time of its own.
type lagging struct {
	home    *ratehome.Home
	id      azuretiller.VMID
	learns  []time.Time
	hears   []time.Time
	applied int
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
			at:      at,
			settled: at.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "settles")) * time.Millisecond),
			members: members,
			config:  &config.Config{Teams: map[azuretiller.TeamID]config.Team{team.ID: team}},
			team:    team,
		})
	}
	return out
}

// genLags draws when a VM learns of each version, in order, at times soon and at times long after the others.
func genLags(t *rapid.T, id azuretiller.VMID, versions []version) *lagging {
	l := &lagging{home: ratehome.New(id, limit), id: id}
	var last time.Time
	for _, v := range versions {
		lag := rapid.SampledFrom([]int{0, 100, 1500, 6000, 15000}).Draw(t, "lag")
		learn := v.at.Add(time.Duration(lag) * time.Millisecond)
		if learn.Before(last) {
			learn = last
		}
		last = learn
		l.learns = append(l.learns, learn)
		hear := v.settled.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "hears")) * time.Millisecond)
		if hear.Before(learn) {
			hear = learn
		}
		l.hears = append(l.hears, hear)
	}
	return l
}

func (l *lagging) advance(versions []version, now time.Time) {
	for l.applied < len(versions) && !l.learns[l.applied].After(now) {
		v := versions[l.applied]
		l.applied++
		l.home.Observe(v.members, v.config, l.learns[l.applied-1])
	}
	if l.applied > 0 && !l.hears[l.applied-1].After(now) {
		l.home.Settled(l.hears[l.applied-1])
	}
}

// current reports whether the VM may act: it lacks no version that was settled longer ago than the limit.
func (l *lagging) current(versions []version, now time.Time) bool {
	return !slices.ContainsFunc(versions[l.applied:], func(v version) bool { return !now.Before(v.settled.Add(limit)) })
}

// naive is one bucket with the most generous limits that any VM may still act on.
type naive struct {
	level float64
	at    time.Time
}

func (n *naive) spend(versions []version, amount azuretiller.Millitokens, now time.Time) bool {
	var rate, burst float64
	for i, v := range versions {
		over := slices.ContainsFunc(versions[i+1:], func(later version) bool {
			return now.Sub(later.settled) > limit+lifetime+margin
		})
		if !v.at.After(now) && !over {
			rate = max(rate, float64(v.team.Rate))
			burst = max(burst, float64(v.team.Burst))
		}
	}
	n.level = min(burst, n.level+rate*now.Sub(n.at).Seconds()) - float64(amount)
	n.at = now
	return n.level >= -1
}

// TestSharesNeverExceedRate draws from homes that learn of changes at different times, with all demand that they can
// meet, and compares what they grant with one bucket.
func TestSharesNeverExceedRate(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_700_000_000, 0)
		var all []azuretiller.VM
		for i := range 6 {
			all = append(all, azuretiller.VM{ID: azuretiller.VMID(fmt.Sprint("vm", i)), Zone: azuretiller.Zone(fmt.Sprint("z", i%3))})
		}
		versions := genVersions(t, start, all)
		var homes []*lagging
		for _, vm := range all {
			homes = append(homes, genLags(t, vm.ID, versions))
		}
		// A pause in the demand lets buckets fill, so that what follows is a burst.
		quiet := start.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "quiet")) * time.Millisecond)
		n := naive{level: float64(versions[0].team.Burst), at: start}
		for now := start; now.Before(start.Add(40 * time.Second)); now = now.Add(step) {
			for _, l := range homes {
				l.advance(versions, now)
				if l.applied == 0 || now.Before(quiet) {
					continue
				}
				g := l.home.Draw(ratehome.Draw{Team: "alder", Holder: "entry", Want: 1 << 30, Lifetime: lifetime}, l.current(versions, now), now)
				l.home.Draw(ratehome.Draw{Team: "alder", Holder: "entry", Spent: g.Granted}, true, now)
				require.True(t, n.spend(versions, g.Granted, now), "%s exceeds the rate %s after the start", l.id, now.Sub(start))
			}
		}
	})
}
