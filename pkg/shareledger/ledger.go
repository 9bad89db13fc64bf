package shareledger

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/leaseclock"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/shareholder"
)

const (
	// summaryTime is how long a computed sum of the leased shares counts. Only leases that last until then are part of it.
	summaryTime = 100 * time.Millisecond
	// confirmationTime is how long a leader renews shares after the store confirmed its term, if it does not lead most of the shares.
	confirmationTime = 5 * time.Second
	// maxFormerLeaders bounds the recorded leaders of earlier terms that may not have stopped.
	maxFormerLeaders = 16
)

// Ledger is the leader's account of the shares of the rates during one term.
//
// A VM that follows the leader pledges its share to it, for a short time that each answered heartbeat extends. The leader spends the
// shares that are pledged to it, and to nobody else. Shares that VMs hold change only by records in the store, whose order makes sure that
// they add up to the whole.
type Ledger struct {
	term    azuretiller.Term
	self    azuretiller.VMID
	clock   *leaseclock.Clock
	entries map[azuretiller.VMID]*entry
	// former are the leaders of earlier terms that may not have stopped.
	former []azuretiller.FormerLeader
	// confirmedAt is when the store last confirmed that the term is the newest.
	confirmedAt time.Duration
	// majoritySince is when the leader began to lead most of the shares, negative while it does not. renewableAt is when it could last renew
	// shares, and expired means that this was too long ago: another leader may have given the shares to other VMs.
	majoritySince, renewableAt time.Duration
	expired                    bool
	// leased is the sum of the shares that the leader may spend, valid until summaryUntil.
	leased       azuretiller.RateShare
	summaryUntil time.Duration
	tolerance    tolerance
	window       time.Duration
	deal         deal
}

// New returns the ledger of a leader that has just claimed its term with the given record of the shares.
func New(now time.Time, term azuretiller.Term, self azuretiller.VMID, recorded azuretiller.RateLedger) *Ledger {
	l := &Ledger{term: term, self: self, clock: leaseclock.New(now), entries: map[azuretiller.VMID]*entry{}, majoritySince: -1}
	l.tolerance = tolerance{recorded: recorded.ToleranceTerm, wantedAt: -1}
	for _, f := range recorded.Former {
		if f.VM != self {
			l.former = append(l.former, f)
		}
	}
	l.setRecorded(recorded.Shares)
	return l
}

// Claimed returns the record with which a VM claims a term after it has read the newest record.
func Claimed(read azuretiller.LeaderRecord, self azuretiller.VMID) azuretiller.RateLedger {
	claimed := azuretiller.RateLedger{
		Shares:        maps.Clone(read.Rates.Shares),
		Former:        slices.Clone(read.Rates.Former),
		ToleranceTerm: read.Rates.ToleranceTerm,
	}
	if len(claimed.Shares) == 0 {
		claimed.Shares = map[azuretiller.VMID]azuretiller.RateShare{self: azuretiller.WholeRate}
	}
	if read.Term > 0 {
		claimed.Former = append(claimed.Former, azuretiller.FormerLeader{Term: read.Term, VM: read.VM})
	}
	if excess := len(claimed.Former) - maxFormerLeaders; excess > 0 {
		// Without a VM, the newest of the dropped terms counts as one that never stops.
		claimed.Former = claimed.Former[excess:]
		claimed.Former[0].VM = ""
	}
	return claimed
}

// Recorded returns the record of the shares.
func (l *Ledger) Recorded() azuretiller.RateLedger {
	recorded := azuretiller.RateLedger{Shares: map[azuretiller.VMID]azuretiller.RateShare{}, Former: slices.Clone(l.former), ToleranceTerm: l.tolerance.recorded}
	for vm, e := range l.entries {
		if e.share > 0 {
			recorded.Shares[vm] = e.share
		}
	}
	return recorded
}

func (l *Ledger) setRecorded(shares map[azuretiller.VMID]azuretiller.RateShare) {
	for vm, share := range shares {
		l.entry(vm).share = share
	}
	offset := azuretiller.RateShare(0)
	for _, vm := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[vm]
		e.share, e.next, e.offset = shares[vm], shares[vm], offset
		e.grant(e.share)
		offset += e.share
	}
	l.summaryUntil = 0
}

func (l *Ledger) entry(vm azuretiller.VMID) *entry {
	e := l.entries[vm]
	if e == nil {
		e = &entry{}
		l.entries[vm] = e
	}
	return e
}

// Receive handles a heartbeat of a VM that follows this leader; restarted means that it is the first one of a new process.
func (l *Ledger) Receive(now time.Time, vm azuretiller.VMID, hb message.Heartbeat, restarted bool) {
	if hb.Term != l.term {
		return
	}
	at := l.clock.Elapsed(now)
	e := l.entry(vm)
	if restarted {
		*e = entry{share: e.share, next: e.next, offset: e.offset, granted: e.granted, stampedAt: e.stampedAt}
	}
	if e.heardAt == 0 {
		e.joinedAt = at
	}
	e.heardAt = at
	e.leaving = hb.Leaving
	// A VM that leads an earlier term does not follow this leader.
	l.former = slices.DeleteFunc(l.former, func(f azuretiller.FormerLeader) bool { return f.VM == vm })
	wasLeased := l.isLeased(e, at)
	e.setPledges(at, hb.Pledges)
	if hb.Stamp > 0 && hb.Stamp <= e.stampedAt {
		e.leasedUntil = max(e.leasedUntil, hb.Stamp+shareholder.LeaseTime)
		e.confirmed = e.confirmed || e.grantedAt > 0 && hb.Stamp >= e.grantedAt
	}
	// After a restore of the store, a VM may hold more than the record says.
	e.share = max(e.share, hb.Share)
	if !wasLeased && l.isLeased(e, at) {
		l.summaryUntil = 0
	}
}

// Respond sets the fields of a response to the heartbeat of a VM that concern its share.
func (l *Ledger) Respond(now time.Time, vm azuretiller.VMID, hb message.Heartbeat, r *message.HeartbeatResponse) {
	if hb.Term != l.term {
		return
	}
	at := l.clock.Elapsed(now)
	e := l.entry(vm)
	// Each stamp for a VM is larger than the one before, so that its answer tells which responses it has seen.
	e.stampedAt = max(at.Truncate(time.Millisecond), e.stampedAt+time.Millisecond)
	if e.grantedAt == 0 {
		e.grantedAt = e.stampedAt
	}
	r.Stamp, r.SentAt = e.stampedAt, hb.SentAt
	r.Share, r.ShareRenewed, r.ShareOffset = e.granted, l.isRenewable(at), e.offset
}

// Share returns the share of the rates that the leader may spend.
func (l *Ledger) Share(now time.Time) azuretiller.RateShare {
	at := l.clock.Elapsed(now)
	if at >= l.summaryUntil {
		l.summarize(at)
	}
	if l.expired {
		return 0
	}
	return l.leased
}

// summarize adds up the shares that are leased until the next summary.
func (l *Ledger) summarize(at time.Duration) {
	// While a deal is being written, the record holds either its shares or those before it.
	total, withheld, certain := azuretiller.RateShare(0), azuretiller.RateShare(0), azuretiller.RateShare(0)
	for _, e := range l.entries {
		total += e.share
		if l.isLeased(e, at) {
			certain += min(e.share, e.next)
		} else {
			withheld += max(e.share, e.next)
		}
	}
	l.leased = max(min(total, azuretiller.WholeRate)-withheld, 0)
	l.summaryUntil = at + summaryTime
	switch {
	case certain <= azuretiller.WholeRate/2:
		l.majoritySince = -1
	case l.majoritySince < 0:
		l.majoritySince = at
	}
	l.expired = l.expired || at-l.renewableAt >= shareholder.Validity
	if l.isRenewable(at) {
		l.renewableAt = at
	}
}

// isLeased reports whether the leader may spend the share of a VM until the next summary.
func (l *Ledger) isLeased(e *entry, at time.Duration) bool {
	return e.leasedUntil >= at+summaryTime && !slices.ContainsFunc(e.pledges, func(p pledge) bool { return at < p.until && !l.hasStopped(p.term) })
}

// hasStopped reports whether the leader of an earlier term is known to have stopped; term 0 stands for all earlier terms.
func (l *Ledger) hasStopped(term azuretiller.Term) bool {
	if term == 0 {
		return len(l.former) == 0
	}
	// A restore of the store may lose records of terms.
	return term.Era() == l.term.Era() && !slices.ContainsFunc(l.former, func(f azuretiller.FormerLeader) bool {
		return f.Term == term || f.VM == "" && term <= f.Term
	})
}

// isRenewable reports whether VMs may hold their shares for the full time from now on. While another leader leads most of the shares, or a
// newer one is recorded, it may give them to other VMs.
func (l *Ledger) isRenewable(at time.Duration) bool {
	return !l.expired && l.majoritySince >= 0 || at-l.confirmedAt < confirmationTime
}

// Confirm records that the store named this term as the newest, with the given record of the shares, in a call that took the given time.
func (l *Ledger) Confirm(now time.Time, took time.Duration, recorded azuretiller.RateLedger) {
	l.confirmedAt = max(l.confirmedAt, l.clock.Elapsed(now)-took)
	l.expired = false
	if l.deal.phase == dealWriting && maps.Equal(recorded.Shares, l.deal.shares) && recorded.ToleranceTerm == l.deal.tolerance {
		l.finishDeal(now)
	}
}

// Collecting reports whether VMs that are in contact with the leader may still pledge their shares to it for the first time.
func (l *Ledger) Collecting(now time.Time) bool { return l.clock.Elapsed(now) < shareholder.PledgeTime }

// States returns the recorded share of each VM and whether the leader spends it, for dumps.
func (l *Ledger) States(now time.Time) []State {
	at := l.clock.Elapsed(now)
	var states []State
	for vm, e := range l.entries {
		states = append(states, State{VM: vm, Share: e.share, Leased: l.isLeased(e, at)})
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.VM, b.VM) })
	return states
}
