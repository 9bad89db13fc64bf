package freshness

import (
	"maps"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/strict"
)

// Outage says that a VM could not read the log; Age is the time since it last tried.
type Outage struct {
	VM  azuretiller.VMID
	Age time.Duration
}

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

// OutSince returns the earliest of the last failures of the given VMs, and the zero time when one of them has not failed.
// While that time is recent the log is out for all of them.
func (v *View) OutSince(vms []azuretiller.VMID) time.Time {
	var earliest time.Time
	for i, vm := range vms {
		at, ok := v.outages[vm]
		if !ok {
			return time.Time{}
		}
		if i == 0 || at.Before(earliest) {
			earliest = at
		}
	}
	return earliest
}

// Outages returns the failures younger than most, to be passed on, in a fixed order.
func (v *View) Outages(now time.Time, most time.Duration) []Outage {
	var out []Outage
	for _, vm := range slices.Sorted(maps.Keys(v.outages)) {
		age := strict.Elapsed(now, v.outages[vm])
		if age < most {
			out = append(out, Outage{VM: vm, Age: age})
		}
	}
	return out
}
