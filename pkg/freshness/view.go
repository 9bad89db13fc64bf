package freshness

import (
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/strict"
)

const (
	// AgeStep is the unit of ages that VMs tell each other.
	AgeStep = 100 * time.Millisecond
	// NoAge stands for a VM that has not failed to read the log lately.
	NoAge = 255
)

// View is one VM's knowledge about its own view of the log.
type View struct {
	completeAt time.Time
	outages    map[azuretiller.VMID]time.Time
}

// New returns a view that was never complete.
func New() *View {
	return &View{outages: map[azuretiller.VMID]time.Time{}}
}

// Complete notes that the view held every record that was in the log at some time.
func (v *View) Complete(at time.Time) {
	if at.After(v.completeAt) {
		v.completeAt = at
	}
}

// CompleteAt returns the last time at which the view was known to be complete, or the zero time.
func (v *View) CompleteAt() time.Time { return v.completeAt }

// Failed notes that a VM could not read the log at some time.
func (v *View) Failed(vm azuretiller.VMID, at time.Time) {
	if at.After(v.outages[vm]) {
		v.outages[vm] = at
	}
}

// Recovered drops what a VM said about the log, because it reads again.
func (v *View) Recovered(vm azuretiller.VMID) {
	delete(v.outages, vm)
}

// OutSince returns the latest time after which at least count of the given VMs failed to read the log, and the zero time
// when fewer have. While that time is recent the log is out for as many of them.
func (v *View) OutSince(vms []azuretiller.VMID, count int) time.Time {
	var times []time.Time
	for _, vm := range vms {
		if at, ok := v.outages[vm]; ok {
			times = append(times, at)
		}
	}
	if len(times) < count || count < 1 {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[count-1]
}

// Ages returns the ages of the failures of the given VMs in steps of AgeStep, rounded up, or nil when there is none
// younger than most. NoAge stands for a VM without one.
func (v *View) Ages(vms []azuretiller.VMID, now time.Time, most time.Duration) []byte {
	out := make([]byte, len(vms))
	any := false
	for i, vm := range vms {
		out[i] = NoAge
		at, ok := v.outages[vm]
		if age := strict.Elapsed(now, at); ok && age < most {
			out[i] = byte(min(int64((age+AgeStep-1)/AgeStep), NoAge-1))
			any = true
		}
	}
	if !any {
		return nil
	}
	return out
}

// MergeAges takes in ages that another VM told of the given VMs, counted from a time that is not later than its word.
func (v *View) MergeAges(vms []azuretiller.VMID, ages []byte, reference time.Time) {
	if len(ages) != len(vms) {
		return
	}
	for i, vm := range vms {
		if ages[i] != NoAge {
			v.Failed(vm, reference.Add(-time.Duration(ages[i])*AgeStep))
		}
	}
}
