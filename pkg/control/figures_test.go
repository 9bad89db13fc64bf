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
	currentFleetSize = 44
	currentZones     = 4
)

// settledFleet returns a fleet that has run long enough for every VM to have all others in its roster.
func settledFleet(seed uint64, vmCount, zoneCount int) *fleet {
	f := newFleet(seed, vmCount, zoneCount, 0)
	f.onSpend = func(azuretiller.TeamID, time.Time) {}
	f.onRefuse = func(azuretiller.TeamID) {}
	f.Run(6 * time.Second)
	return f
}

// countListingVMs returns the number of other VMs that list a VM as live.
func (f *fleet) countListingVMs(id azuretiller.VMID) int {
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
	figures.SkipUnlessEnabled(t)
	var times []time.Duration
	for seed := range uint64(40) {
		f := settledFleet(seed, currentFleetSize, currentZones)
		deadVM := f.ids[int(seed)%len(f.ids)]
		f.vms[deadVM].dead = true
		start := f.Now()
		for f.countListingVMs(deadVM) > 0 && f.Now().Sub(start) < 20*time.Second {
			f.Run(50 * time.Millisecond)
		}
		times = append(times, f.Now().Sub(start))
	}
	figures.Print("dead VM out of the address answers of all of 44 VMs", fmt.Sprintf("p50 %s max %s", figures.Quantile(times, 0.5), figures.Quantile(times, 1)), "3s", figures.NoValue)
}

func TestFigureNoFalseDown(t *testing.T) {
	figures.SkipUnlessEnabled(t)
	falseDown := 0
	for seed := range uint64(40) {
		f := settledFleet(seed, currentFleetSize, currentZones)
		a, b := f.ids[int(seed)%len(f.ids)], f.ids[int(seed+7)%len(f.ids)]
		f.cuts[link{a, b}] = true
		f.vms[f.ids[int(seed+3)%len(f.ids)]].pausedUntil = f.Now().Add(2 * time.Second)
		for range 160 {
			f.Run(50 * time.Millisecond)
			for _, v := range f.vms {
				for _, down := range v.snap.Down {
					if !f.vms[down].paused() && f.Now().After(f.vms[down].pausedUntil.Add(4*time.Second)) {
						falseDown++
					}
				}
			}
		}
	}
	figures.Print("live VMs held to be down after a one-way cut and a pause of 2 s of an observer", fmt.Sprint(falseDown), "0", figures.NoValue)
}

func TestFigureWithdrawal(t *testing.T) {
	figures.SkipUnlessEnabled(t)
	for _, tc := range []struct {
		desc   string
		count  int
		zones  int
		target string
	}{{"44 VMs", currentFleetSize, currentZones, "2s"}, {"176 VMs", 176, 5, "14s at 540"}} {
		var inForceTimes, verdictTimes []time.Duration
		for seed := range uint64(12) {
			f := settledFleet(seed, tc.count, tc.zones)
			v := f.vms[f.ids[int(seed*5)%len(f.ids)]]
			start := f.Now()
			id := v.propose(v.state.LogState().Revision(), setField("/teams/alder", "rate", "7"))
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
			inForceTimes = append(inForceTimes, f.Now().Sub(start))
			for !f.verdicts[id].Accepted {
				f.Run(20 * time.Millisecond)
				require.Less(t, f.Now().Sub(start), time.Minute)
			}
			verdictTimes = append(verdictTimes, f.Now().Sub(start))
		}
		figures.Print("an edit or withdrawal in force everywhere, "+tc.desc, fmt.Sprintf("p50 %s max %s", figures.Quantile(inForceTimes, 0.5), figures.Quantile(inForceTimes, 1)), tc.target, figures.NoValue)
		figures.Print("its operator told, "+tc.desc, fmt.Sprintf("p50 %s max %s", figures.Quantile(verdictTimes, 0.5), figures.Quantile(verdictTimes, 1)), "-", figures.NoValue)
	}
}

// TestFigureOutage measures how long VMs keep serving while the log is unavailable to all VMs, and how soon a VM stops that is
// cut off from the log and from all other VMs.
func TestFigureOutage(t *testing.T) {
	figures.SkipUnlessEnabled(t)
	stopped := 0
	f := settledFleet(1, currentFleetSize, currentZones)
	f.log.SetUnavailable(true)
	for range 600 {
		f.Run(time.Second)
		for _, v := range f.vms {
			if !v.snap.Current(f.Now()) {
				stopped++
			}
		}
	}
	figures.Print("VM seconds refused in 10 min without the log, 44 VMs", fmt.Sprint(stopped), "0", figures.NoValue)
	var times []time.Duration
	for seed := range uint64(20) {
		f := settledFleet(seed, currentFleetSize, currentZones)
		isolated := f.ids[int(seed)%len(f.ids)]
		for _, other := range append([]azuretiller.VMID{logEndpoint}, f.ids...) {
			f.cuts[link{other, isolated}] = true
		}
		start := f.Now()
		for f.vms[isolated].snap.Current(f.Now()) {
			f.Run(20 * time.Millisecond)
			require.Less(t, f.Now().Sub(start), time.Minute)
		}
		times = append(times, f.Now().Sub(start))
	}
	figures.Print("a VM that hears nobody refuses work", fmt.Sprintf("p50 %s max %s", figures.Quantile(times, 0.5), figures.Quantile(times, 1)), "5s", figures.NoValue)
}
