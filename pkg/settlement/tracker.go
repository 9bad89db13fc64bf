package settlement

import (
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

// Tracker follows which VMs have applied the newest version that this VM has applied.
// A version is settled once a majority of its own roster and of the roster of the last settled version have applied it.
type Tracker struct {
	self    azuretiller.VMID
	version azuretiller.Revision
	// members is the roster of the version, sorted, and former that of the last settled version.
	members   []azuretiller.VMID
	former    []azuretiller.VMID
	known     map[azuretiller.VMID]bool
	settled   azuretiller.Revision
	settledAt time.Time
}

// New returns a tracker of a VM that has applied nothing.
func New(self azuretiller.VMID) *Tracker {
	return &Tracker{self: self, known: map[azuretiller.VMID]bool{}}
}

// Advance notes that this VM has applied a version with a roster, given sorted.
func (t *Tracker) Advance(version azuretiller.Revision, members []azuretiller.VMID, now time.Time) {
	if version <= t.version {
		return
	}
	if t.former == nil {
		t.former = members
	}
	t.version = version
	t.members = members
	t.known = map[azuretiller.VMID]bool{t.self: true}
	t.decide(now)
}

// Known returns the VMs known to have applied the version, as a bitmap over the sorted roster; nil once it is settled.
func (t *Tracker) Known() []byte {
	if t.Settled() {
		return nil
	}
	out := make([]byte, (len(t.members)+7)/8)
	for i, id := range t.members {
		if t.known[id] {
			out[i/8] |= 1 << (i % 8)
		}
	}
	return out
}

// Merge takes in what another VM that has applied the same version knows.
func (t *Tracker) Merge(from azuretiller.VMID, version azuretiller.Revision, known []byte, settled azuretiller.Revision, now time.Time) {
	if version < t.version {
		return
	}
	t.known[from] = true
	if version == t.version {
		for i, id := range t.members {
			if i/8 < len(known) && known[i/8]&(1<<(i%8)) != 0 {
				t.known[id] = true
			}
		}
	}
	if settled >= t.version {
		t.settle(now)
	}
	t.decide(now)
}

func (t *Tracker) decide(now time.Time) {
	if !t.Settled() && t.most(t.members) && t.most(t.former) {
		t.settle(now)
	}
}

func (t *Tracker) settle(now time.Time) {
	if t.Settled() {
		return
	}
	t.settled = t.version
	t.settledAt = now
	t.former = t.members
}

func (t *Tracker) most(members []azuretiller.VMID) bool {
	count := 0
	for _, id := range members {
		if t.known[id] {
			count++
		}
	}
	return count >= Majority(len(members))
}

// Majority returns the smallest number of VMs that is more than half of a roster.
func Majority(size int) int { return size/2 + 1 }

// Settled reports whether the newest applied version is settled.
func (t *Tracker) Settled() bool { return t.settled == t.version }

// Version returns the newest applied version, and the newest that is known to be settled.
func (t *Tracker) Version() (applied, settled azuretiller.Revision) { return t.version, t.settled }

// SettledAt returns when this VM learnt that the newest settled version is settled.
func (t *Tracker) SettledAt() time.Time { return t.settledAt }

// Members returns the roster of the newest applied version, sorted.
func (t *Tracker) Members() []azuretiller.VMID { return slices.Clone(t.members) }
