package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/figures"
)

const (
	fleetToday = 44
	zonesToday = 4
)

// settled returns a fleet of today's size whose VMs all know each other.
func settled(seed uint64, count, zones int) *fleet {
	f := newFleet(seed, count, zones, 0)
	f.onSpend = func(azuretiller.TeamID, time.Time) {}
	f.onRefuse = func(azuretiller.TeamID) {}
	f.Run(6 * time.Second)
	return f
}

func (f *fleet) names(id azuretiller.VMID) int {
	count := 0
	for _, v := range f.vms {
		if v.dead || v.self.ID == id {
			continue
		}
		for _, live := range v.snap.Live {
			if live.ID == id {
				count++
			}
		}
	}
	return count
}

func TestFigureDeadVM(t *testing.T) {
	figures.Need(t)
	var times []time.Duration
	for seed := range uint64(40) {
		f := settled(seed, fleetToday, zonesToday)
		victim := f.order[int(seed)%len(f.order)]
		f.vms[victim].dead = true
		start := f.Now()
		for f.names(victim) > 0 && f.Now().Sub(start) < 20*time.Second {
			f.Run(50 * time.Millisecond)
		}
		times = append(times, f.Now().Sub(start))
	}
	figures.Print("dead VM out of the address answers of all of 44 VMs", fmt.Sprintf("p50 %s max %s", figures.Quantile(times, 0.5), figures.Quantile(times, 1)), "3s", figures.None)
}

func TestFigureNoFalseDown(t *testing.T) {
	figures.Need(t)
	wrong := 0
	for seed := range uint64(40) {
		f := settled(seed, fleetToday, zonesToday)
		a, b := f.order[int(seed)%len(f.order)], f.order[int(seed+7)%len(f.order)]
		f.cuts[link{a, b}] = true
		f.vms[f.order[int(seed+3)%len(f.order)]].pausedUntil = f.Now().Add(2 * time.Second)
		for range 160 {
			f.Run(50 * time.Millisecond)
			for _, v := range f.vms {
				for _, down := range v.snap.Down {
					if !f.vms[down].paused() && f.Now().After(f.vms[down].pausedUntil.Add(4*time.Second)) {
						wrong++
					}
				}
			}
		}
	}
	figures.Print("live VMs held to be down after a one-way cut and a pause of 2 s of an observer", fmt.Sprint(wrong), "0", figures.None)
}

func TestFigureWithdrawal(t *testing.T) {
	figures.Need(t)
	for _, tc := range []struct {
		desc   string
		count  int
		zones  int
		target string
	}{{"44 VMs", fleetToday, zonesToday, "2s"}, {"176 VMs", 176, 5, "14s at 540"}} {
		var force, told []time.Duration
		for seed := range uint64(12) {
			f := settled(seed, tc.count, tc.zones)
			v := f.vms[f.order[int(seed*5)%len(f.order)]]
			start := f.Now()
			id := v.propose(v.state.Journal().Revision(), setField("/teams/alder", "rate", "7"))
			inForce := func() bool {
				for _, other := range f.vms {
					if other.snap.Config == nil || other.snap.Config.Teams["alder"].Rate != 7000 {
						return false
					}
				}
				return true
			}
			for !inForce() {
				f.Run(20 * time.Millisecond)
				require.Less(t, f.Now().Sub(start), time.Minute)
			}
			force = append(force, f.Now().Sub(start))
			for !f.verdicts[id].Accepted {
				f.Run(20 * time.Millisecond)
				require.Less(t, f.Now().Sub(start), time.Minute)
			}
			told = append(told, f.Now().Sub(start))
		}
		figures.Print("an edit or withdrawal in force everywhere, "+tc.desc, fmt.Sprintf("p50 %s max %s", figures.Quantile(force, 0.5), figures.Quantile(force, 1)), tc.target, figures.None)
		figures.Print("its operator told, "+tc.desc, fmt.Sprintf("p50 %s max %s", figures.Quantile(told, 0.5), figures.Quantile(told, 1)), "-", figures.None)
	}
}

// TestFigureOutage measures how long VMs go on with the log out for all, and stop when it is out for them alone.
func TestFigureOutage(t *testing.T) {
	figures.Need(t)
	stopped := 0
	f := settled(1, fleetToday, zonesToday)
	f.log.SetOut(true)
	for range 600 {
		f.Run(time.Second)
		for _, v := range f.vms {
			if !v.snap.Current(f.Now()) {
				stopped++
			}
		}
	}
	figures.Print("VM seconds refused in 10 min without the log, 44 VMs", fmt.Sprint(stopped), "0", figures.None)
	var times []time.Duration
	for seed := range uint64(20) {
		f := settled(seed, fleetToday, zonesToday)
		lonely := f.order[int(seed)%len(f.order)]
		for _, other := range append([]azuretiller.VMID{theLog}, f.order...) {
			f.cuts[link{other, lonely}] = true
		}
		start := f.Now()
		for f.vms[lonely].snap.Current(f.Now()) {
			f.Run(20 * time.Millisecond)
			require.Less(t, f.Now().Sub(start), time.Minute)
		}
		times = append(times, f.Now().Sub(start))
	}
	figures.Print("a VM that hears nobody refuses work", fmt.Sprintf("p50 %s max %s", figures.Quantile(times, 0.5), figures.Quantile(times, 1)), "5s", figures.None)
}
