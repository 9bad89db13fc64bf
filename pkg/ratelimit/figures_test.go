package ratelimit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/figures"
	"github.com/azuretiller/azuretiller/pkg/ratehome"
	"github.com/azuretiller/azuretiller/pkg/ratelimit"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
	"github.com/azuretiller/azuretiller/pkg/systemclock"
)

const (
	vms   = 44
	zones = 4
)

// fabric stands in for the calls between VMs.
type fabric struct {
	mu    sync.Mutex
	homes map[azuretiller.VMID]*ratehome.Home
	dead  map[azuretiller.VMID]bool
}

func (f *fabric) Draw(ctx context.Context, to azuretiller.VM, d ratehome.Draw) (ratehome.Grant, error) {
	f.mu.Lock()
	dead := f.dead[to.ID]
	f.mu.Unlock()
	if dead {
		<-ctx.Done()
		return ratehome.Grant{}, errors.New("no answer")
	}
	time.Sleep(400 * time.Microsecond)
	f.mu.Lock()
	g := f.homes[to.ID].Draw(d, true, time.Now())
	f.mu.Unlock()
	time.Sleep(400 * time.Microsecond)
	return g, nil
}

// truth is one bucket for the whole fleet.
type truth struct {
	level, rate, burst float64
	at                 time.Time
}

func (b *truth) has(now time.Time) bool {
	b.level = min(b.burst, b.level+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	return b.level >= 1
}

// fixedShares is the baseline in which every VM has an equal part of each team's rate for itself.
type fixedShares struct {
	mu      sync.Mutex
	buckets map[[2]int]*truth
}

func (f *fixedShares) spend(vm, team int, rate float64) ratelimit.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.buckets[[2]int{vm, team}]
	if b == nil {
		burst := max(rate, 5) / vms
		b = &truth{level: burst, rate: rate / vms, burst: max(burst, 1), at: time.Now()}
		f.buckets[[2]int{vm, team}] = b
	}
	if !b.has(time.Now()) {
		return ratelimit.Decision{Code: azuretiller.CodeRateExceeded}
	}
	b.level--
	return ratelimit.Decision{Code: azuretiller.CodeOK}
}

type outcome struct {
	asked, wrong, exceeded int
	slowest                time.Duration
	teams                  [8]int
}

func (o *outcome) add(other outcome) {
	o.asked += other.asked
	o.wrong += other.wrong
	o.exceeded += other.exceeded
	o.slowest = max(o.slowest, other.slowest)
	for i, n := range other.teams {
		o.teams[i] += n
	}
}

// drive sends the demand of 8 teams, which moves between VMs, for a span of time.
func drive(t *testing.T, seed uint64, span time.Duration, load float64, kill, fixed bool) outcome {
	t.Helper()
	var out outcome
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(seed, 9))
		c := &config.Config{Teams: map[azuretiller.TeamID]config.Team{}}
		s := &snapshot.Snapshot{Config: c, RosterRevision: 1}
		f := &fabric{homes: map[azuretiller.VMID]*ratehome.Home{}, dead: map[azuretiller.VMID]bool{}}
		for i := range vms {
			s.Members = append(s.Members, azuretiller.VM{ID: azuretiller.VMID(fmt.Sprint("vm", i)), Zone: azuretiller.Zone(fmt.Sprint("z", i%zones))})
		}
		rates := []float64{400, 200, 100, 50, 20, 5, 1, 1}
		for i, rate := range rates {
			id := azuretiller.TeamID(fmt.Sprint("team", i))
			burst := max(rate, 5)
			c.Teams[id] = config.Team{ID: id, Rate: azuretiller.Millitokens(rate * 1000), Burst: azuretiller.Millitokens(burst * 1000)}
		}
		var limiters []*ratelimit.Limiter
		for _, vm := range s.Members {
			h := ratehome.New(vm.ID, 4*time.Second)
			h.Observe(s.Members, c, time.Now())
			h.Settled(time.Now())
			f.homes[vm.ID] = h
			limiters = append(limiters, ratelimit.New(vm.ID, systemclock.New(), f))
		}
		time.Sleep(20 * time.Second)
		ctx, stop := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for _, l := range limiters {
			group.Go(func() {
				for ctx.Err() == nil {
					time.Sleep(100 * time.Millisecond)
					l.Sweep(ctx)
				}
			})
		}
		if kill {
			victim := ratehome.Holders(c.Teams["team0"], s.Members)[0].ID
			f.mu.Lock()
			f.dead[victim] = true
			f.mu.Unlock()
		}
		fixedShares := &fixedShares{buckets: map[[2]int]*truth{}}
		var mu sync.Mutex
		for i, rate := range rates {
			team := c.Teams[azuretiller.TeamID(fmt.Sprint("team", i))]
			b := &truth{level: float64(team.Burst) / 1000, rate: rate, burst: float64(team.Burst) / 1000, at: time.Now()}
			seed := random.Uint64()
			group.Go(func() {
				own := rand.New(rand.NewPCG(seed, 1))
				end := time.Now().Add(span)
				for {
					time.Sleep(time.Duration(own.ExpFloat64() / (rate * load) * float64(time.Second)))
					now := time.Now()
					if now.After(end) {
						return
					}
					// A team uses 4 VMs at a time, and other ones every 5 s.
					vm := (int(now.Unix()/5)*7 + i*5 + own.IntN(4)) % vms
					if f.dead[s.Members[vm].ID] {
						continue
					}
					group.Go(func() {
						started := time.Now()
						var d ratelimit.Decision
						if fixed {
							d = fixedShares.spend(vm, i, rate)
						} else {
							d = limiters[vm].Spend(ctx, team, s)
						}
						mu.Lock()
						defer mu.Unlock()
						out.asked++
						out.slowest = max(out.slowest, time.Since(started))
						within := b.has(time.Now())
						if d.Code == azuretiller.CodeOK {
							b.level--
							if b.level < -1e-6 {
								out.exceeded++
							}
							return
						}
						if within {
							out.teams[i]++
							out.wrong++
						}
					})
				}
			})
		}
		time.Sleep(span + 2*time.Second)
		stop()
		group.Wait()
	})
	return out
}

// TestFigureWrongRefusals measures requests that were refused although one bucket for the whole fleet would have let them pass.
func TestFigureWrongRefusals(t *testing.T) {
	figures.Need(t)
	for _, tc := range []struct {
		desc   string
		seeds  uint64
		span   time.Duration
		load   float64
		kill   bool
		fixed  bool
		target string
	}{
		{"quiet, demand at 70% that moves between VMs", 4, 10 * time.Minute, 0.7, false, false, "1 in 100,000"},
		{"quiet, demand at 95%", 1, 2 * time.Minute, 0.95, false, false, "-"},
		{"5 s after the loss of a holder, demand at 70%", 4, 5 * time.Second, 0.7, true, false, "1 in 1,000"},
		{"baseline of fixed shares, quiet, demand at 70%", 1, 2 * time.Minute, 0.7, false, true, "is one"},
	} {
		var sum outcome
		for seed := range tc.seeds {
			sum.add(drive(t, seed, tc.span, tc.load, tc.kill, tc.fixed))
		}
		figures.Print("refused within the rate: "+tc.desc, fmt.Sprintf("%d of %d, slowest %s, exceeded %d, by team %v", sum.wrong, sum.asked, sum.slowest.Round(time.Millisecond), sum.exceeded, sum.teams), tc.target, figures.None)
	}
}
