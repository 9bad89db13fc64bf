package freshness

import (
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/leaseclock"
)

const (
	// AgeUnit is the unit of the ages of read failures that VMs send each other.
	AgeUnit = 100 * time.Millisecond
	// NoFailure is the age that is sent for a VM without a recent failure to read the log.
	NoFailure = 255
)

// Tracker tracks the freshness of one VM's view of the log, and the last failure of each VM to read the log.
type Tracker struct {
	completeAt  time.Time
	lastFailure map[azuretiller.VMID]time.Time
}

// New returns a tracker for a view that has never been complete, with no failures.
func New() *Tracker {
	return &Tracker{lastFailure: map[azuretiller.VMID]time.Time{}}
}

// MarkComplete records that the view contained every record that was in the log at the given time.
func (t *Tracker) MarkComplete(at time.Time) {
	if at.After(t.completeAt) {
		t.completeAt = at
	}
}

// CompleteAt returns the last time at which the view was known to be complete, or the zero time.
func (t *Tracker) CompleteAt() time.Time { return t.completeAt }

// RecordFailure records that a VM failed to read the log at the given time.
func (t *Tracker) RecordFailure(vm azuretiller.VMID, at time.Time) {
	if at.After(t.lastFailure[vm]) {
		t.lastFailure[vm] = at
	}
}

// ClearFailure deletes the last failure of a VM, because the VM can read the log again.
func (t *Tracker) ClearFailure(vm azuretiller.VMID) {
	delete(t.lastFailure, vm)
}

// OutageAt returns the latest time at or after which at least count of the given VMs have failed to read the log. It returns
// the zero time if fewer VMs have failed. While the time is recent, the log is unavailable to that many VMs.
func (t *Tracker) OutageAt(vms []azuretiller.VMID, count int) time.Time {
	var times []time.Time
	for _, vm := range vms {
		if at, ok := t.lastFailure[vm]; ok {
			times = append(times, at)
		}
	}
	if len(times) < count || count < 1 {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[count-1]
}

// FailureAges returns the ages of the last failures of the given VMs in units of AgeUnit, rounded up. The age is NoFailure
// for a VM without a failure within maxAge. FailureAges returns nil if no VM has failed within maxAge.
func (t *Tracker) FailureAges(vms []azuretiller.VMID, now time.Time, maxAge time.Duration) []byte {
	out := make([]byte, len(vms))
	any := false
	for i, vm := range vms {
		out[i] = NoFailure
		at, ok := t.lastFailure[vm]
		if age := leaseclock.Elapsed(now, at); ok && age < maxAge {
			out[i] = byte(min(int64((age+AgeUnit-1)/AgeUnit), NoFailure-1))
			any = true
		}
	}
	if !any {
		return nil
	}
	return out
}

// MergeFailureAges adds the ages of failures that another VM sent for the given VMs. The ages are subtracted from the reference
// time, which must not be later than the time at which the other VM sent them, so that no failure appears too recent.
func (t *Tracker) MergeFailureAges(vms []azuretiller.VMID, ages []byte, reference time.Time) {
	if len(ages) != len(vms) {
		return
	}
	for i, vm := range vms {
		if ages[i] != NoFailure {
			t.RecordFailure(vm, reference.Add(-time.Duration(ages[i])*AgeUnit))
		}
	}
}
