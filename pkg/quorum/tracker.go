package quorum

import (
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

// Tracker tracks which VMs have applied the newest version that this VM has applied. A version is settled once it has been
// applied by a majority of its own roster and by a majority of the roster of the last settled version.
type Tracker struct {
	self azuretiller.VMID
	// version is the newest version that this VM has applied.
	version azuretiller.Revision
	// members is the sorted roster of the version.
	members []azuretiller.VMID
	// settledMembers is the roster of the last settled version, or of the first version if none has been settled.
	settledMembers []azuretiller.VMID
	// applied holds the VMs that are known to have applied the version.
	applied map[azuretiller.VMID]bool
	// settled is the last settled version. This VM learnt at settledAt that it is settled.
	settled   azuretiller.Revision
	settledAt time.Time
}

// New returns a tracker for a VM that has applied no version.
func New(self azuretiller.VMID) *Tracker {
	return &Tracker{self: self, applied: map[azuretiller.VMID]bool{}}
}

// Advance records that this VM has applied a version. The roster of the version must be sorted.
func (t *Tracker) Advance(version azuretiller.Revision, members []azuretiller.VMID, now time.Time) {
	if version <= t.version {
		return
	}
	if t.settledMembers == nil {
		t.settledMembers = members
	}
	t.version = version
	t.members = members
	t.applied = map[azuretiller.VMID]bool{t.self: true}
	t.settleIfMajority(now)
}

// AppliedBy returns the VMs that are known to have applied the newest version, as a bitmap over the sorted roster. It returns
// nil once the version is settled.
func (t *Tracker) AppliedBy() []byte {
	if t.Settled() {
		return nil
	}
	out := make([]byte, (len(t.members)+7)/8)
	for i, id := range t.members {
		if t.applied[id] {
			out[i/8] |= 1 << (i % 8)
		}
	}
	return out
}

// Merge adds the state that another VM sent: the newest version that it has applied, a bitmap of the VMs known to have
// applied that version, and the newest version known to be settled. Merge ignores the state of a VM with an older version.
func (t *Tracker) Merge(from azuretiller.VMID, version azuretiller.Revision, appliedBy []byte, settledVersion azuretiller.Revision, now time.Time) {
	if version < t.version {
		return
	}
	t.applied[from] = true
	if version == t.version {
		for i, id := range t.members {
			if i/8 < len(appliedBy) && appliedBy[i/8]&(1<<(i%8)) != 0 {
				t.applied[id] = true
			}
		}
	}
	if settledVersion >= t.version {
		t.settle(now)
	}
	t.settleIfMajority(now)
}

func (t *Tracker) settleIfMajority(now time.Time) {
	if !t.Settled() && t.hasMajority(t.members) && t.hasMajority(t.settledMembers) {
		t.settle(now)
	}
}

func (t *Tracker) settle(now time.Time) {
	if t.Settled() {
		return
	}
	t.settled = t.version
	t.settledAt = now
	t.settledMembers = t.members
}

func (t *Tracker) hasMajority(members []azuretiller.VMID) bool {
	count := 0
	for _, id := range members {
		if t.applied[id] {
			count++
		}
	}
	return count >= Majority(len(members))
}

// Majority returns the smallest number of VMs that is more than half of a roster.
func Majority(size int) int { return size/2 + 1 }

// Settled reports whether the newest applied version is settled.
func (t *Tracker) Settled() bool { return t.settled == t.version }

// Versions returns the newest version that this VM has applied, and the newest that it knows to be settled.
func (t *Tracker) Versions() (applied, settled azuretiller.Revision) { return t.version, t.settled }

// SettledAt returns when this VM learnt that the newest settled version was settled.
func (t *Tracker) SettledAt() time.Time { return t.settledAt }

// Members returns the roster of the newest applied version, sorted.
func (t *Tracker) Members() []azuretiller.VMID { return slices.Clone(t.members) }
