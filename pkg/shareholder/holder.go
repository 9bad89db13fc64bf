package shareholder

import (
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/leaseclock"
	"github.com/azuretiller/azuretiller/pkg/message"
)

const (
	// LeaseTime is how long after its stamp a response lets the leader spend the share of the VM that received it. A lease survives the loss
	// of two heartbeats.
	LeaseTime = 950 * time.Millisecond
	// PledgeTime is how long after a response a VM does not spend its share itself. It exceeds LeaseTime by a margin for rounding.
	PledgeTime = time.Second
	// Validity is how long a VM may hold its share after the heartbeat for which the leader renewed it. After that, a leader may have given
	// the share to other VMs.
	Validity = time.Minute
)

// Holder is the share of the rates of one VM.
//
// While the VM follows a leader, it pledges its share to that leader. It spends the share itself once all its pledges have ended, as the
// leaders stop spending it before that.
type Holder struct {
	// clock decides when the share expires. Pledges are measured by the monotonic clock, so that no step of the wall clock shortens them.
	clock     *leaseclock.Clock
	share     azuretiller.RateShare
	offset    azuretiller.RateShare
	renewedAt time.Duration
	left      bool

	term  azuretiller.Term
	stamp time.Duration
	// pledgedUntil is when the pledge to the leader of term ends, and earlier are those to its predecessors.
	pledgedUntil time.Time
	earlier      []pledge
}

type pledge struct {
	term  azuretiller.Term
	until time.Time
}

// New returns the share of a VM that has just started. It holds nothing, but may have given pledges before.
func New(now time.Time) *Holder {
	return &Holder{clock: leaseclock.New(now), earlier: []pledge{{until: now.Add(PledgeTime)}}}
}

// Follow pledges the share to the leader of a new term.
func (h *Holder) Follow(term azuretiller.Term) {
	if h.stamp > 0 {
		h.earlier = append(h.earlier, pledge{term: h.term, until: h.pledgedUntil})
	}
	h.term, h.stamp = term, 0
}

// Receive handles a stamped response of the leader that the VM follows, and reports whether it is the first one.
func (h *Holder) Receive(now time.Time, r message.HeartbeatResponse) bool {
	if r.Term != h.term || r.Stamp <= h.stamp {
		return false
	}
	first := h.stamp == 0
	h.stamp = r.Stamp
	h.pledgedUntil = now.Add(PledgeTime)
	if h.left {
		return first
	}
	h.offset = r.ShareOffset
	if r.ShareRenewed {
		h.share, h.renewedAt = r.Share, max(h.renewedAt, r.SentAt)
	} else {
		h.share = min(h.share, r.Share)
	}
	return first
}

// Leave gives up the share for good.
func (h *Holder) Leave() { h.share, h.left = 0, true }

// Clock returns the time of the clock by which the share expires.
func (h *Holder) Clock(now time.Time) time.Duration { return h.clock.Elapsed(now) }

// Confirm renews the share from a time of its clock at which VMs that held most of the rates had no leader. A later leader cannot give the
// share to others before it has led most of them for Validity.
func (h *Holder) Confirm(at time.Duration) { h.renewedAt = max(h.renewedAt, at) }

// Held returns the share that the VM holds.
func (h *Holder) Held(now time.Time) azuretiller.RateShare {
	if h.clock.Elapsed(now)-h.renewedAt >= Validity {
		h.share = 0
	}
	return h.share
}

// Offset returns the sum of the shares of the VMs before this one.
func (h *Holder) Offset() azuretiller.RateShare { return h.offset }

// Spendable returns the share that the VM may spend itself.
func (h *Holder) Spendable(now time.Time) azuretiller.RateShare {
	if h.stamp > 0 && now.Before(h.pledgedUntil) || len(h.pledges(now)) > 0 {
		return 0
	}
	return h.Held(now)
}

// Fill sets the fields of a heartbeat to the leader that concern the share.
func (h *Holder) Fill(now time.Time, hb *message.Heartbeat) {
	hb.SentAt = h.clock.Elapsed(now)
	hb.Stamp = h.stamp
	hb.Share = h.Held(now)
	for _, p := range h.pledges(now) {
		hb.Pledges = append(hb.Pledges, message.Pledge{Term: p.term, Remaining: p.until.Sub(now)})
	}
}

// pledges returns the pledges to earlier leaders that have not ended.
func (h *Holder) pledges(now time.Time) []pledge {
	h.earlier = slices.DeleteFunc(h.earlier, func(p pledge) bool { return !now.Before(p.until) })
	return h.earlier
}
