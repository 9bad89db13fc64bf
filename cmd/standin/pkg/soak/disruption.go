package soak

import (
	"slices"
	"time"
)

// disruption is a time in which a VM was stopped or frozen, or in which the connections to a backend server had a fault.
type disruption struct {
	// index is that of the VM or the server.
	index       int
	from, until time.Time
}

func (d disruption) overlaps(index int, from, until time.Time) bool {
	return d.index == index && d.from.Before(until) && from.Before(d.until)
}

// pauseAftermath is the time after a pause of a VM during which its connections may still fail.
const pauseAftermath = 3 * time.Second

// disruptVM records a fault of a VM, from now until the returned function is called.
func (rec *recorder) disruptVM(index int) func() { return rec.disrupt(&rec.vmDisruptions, index, 0) }

// interruptVM records that a VM is killed or paused, from now until the given time after the returned function is called.
func (rec *recorder) interruptVM(index int, aftermath time.Duration) func() {
	return rec.disrupt(&rec.vmInterruptions, index, aftermath)
}

// recordTermination records that a VM is told to stop now, and has the grace period to do so.
func (rec *recorder) recordTermination(index int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.terminations = append(rec.terminations, disruption{index: index, from: time.Now(), until: time.Now().Add(graceSeconds * time.Second)})
}

// outlivedGrace reports whether a VM had to cut a response at the end of its grace period: the request was sent in the first half of the
// period or before, and its response had begun and was still incomplete in the last sixth.
func (rec *recorder) outlivedGrace(o outcome) bool {
	return slices.ContainsFunc(rec.terminations, func(d disruption) bool {
		grace := d.until.Sub(d.from)
		return o.begun && d.index == o.vm.index && o.sentAt.Before(d.from.Add(grace/2)) && o.endedAt.After(d.until.Add(-grace/6)) && o.endedAt.Before(d.until.Add(grace/6))
	})
}

// disruptLink records a fault of the connections to a server, from now until the returned function is called.
func (rec *recorder) disruptLink(index int) func() {
	return rec.disrupt(&rec.linkDisruptions, index, 0)
}

func (rec *recorder) disrupt(list *[]disruption, index int, aftermath time.Duration) func() {
	from := time.Now()
	return func() {
		rec.mu.Lock()
		defer rec.mu.Unlock()
		*list = append(*list, disruption{index: index, from: from, until: time.Now().Add(aftermath)})
	}
}

func (rec *recorder) vmDisrupted(index int, from, until time.Time) bool {
	return slices.ContainsFunc(rec.vmDisruptions, func(d disruption) bool { return d.overlaps(index, from, until) })
}

func (rec *recorder) vmInterrupted(index int, from, until time.Time) bool {
	return slices.ContainsFunc(rec.vmInterruptions, func(d disruption) bool { return d.overlaps(index, from, until) })
}

func (rec *recorder) linkDisrupted(index int, from, until time.Time) bool {
	return slices.ContainsFunc(rec.linkDisruptions, func(d disruption) bool { return d.overlaps(index, from, until) })
}
