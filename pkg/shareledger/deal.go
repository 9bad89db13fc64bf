package shareledger

import (
	"maps"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/shareholder"
)

const (
	// dealInterval is the least time between two deals, and between two attempts to write one.
	dealInterval = time.Second
	// dealMinAge is how long a VM must have followed the leader before it gets a share, so that few deals follow the start of a fleet.
	dealMinAge = time.Second
	// shrinkTimeout is how long a deal waits for VMs to learn of their smaller shares.
	shrinkTimeout = 2 * time.Second
	// unevenRatio is the part of the fair share by which the share of a VM may differ from it without a new deal.
	unevenRatio = 0.25
	// expiryMargin covers the time that the last heartbeat before the loss of a VM took.
	expiryMargin = 2 * time.Second
	// abandonTime is how long the newest leader waits for VMs that hold shares if it leads only a minority of the shares. A former leader that
	// neither reaches it nor the store may still lead the others.
	abandonTime = 2 * time.Minute
)

// dealPhase is the state of a deal.
type dealPhase int

const (
	// dealIdle means that no deal is under way.
	dealIdle dealPhase = iota
	// dealShrinking means that VMs learn of their smaller shares.
	dealShrinking
	// dealWriting means that the record is being written, or may have been.
	dealWriting
)

// deal distributes the shares anew among the VMs that follow the leader. Shares that become smaller do so before the record is written,
// the others after that.
type deal struct {
	phase  dealPhase
	shares map[azuretiller.VMID]azuretiller.RateShare
	// tolerance is the term that the record names for the tolerance.
	tolerance azuretiller.Term
	// changedAt is when the phase began, or when the record was last handed out to be written.
	changedAt time.Duration
	pending   bool
}

// Deal advances the distribution of the shares, and returns a record if it is to be written now. The result is passed to Written.
func (l *Ledger) Deal(now time.Time) (azuretiller.RateLedger, bool) {
	at := l.clock.Elapsed(now)
	switch l.deal.phase {
	case dealIdle:
		l.startDeal(at)
		if wanted := l.wantedTolerance(at); l.deal.phase == dealIdle && wanted != l.tolerance.recorded && (wanted != 0 || at-l.deal.changedAt >= dealInterval) {
			l.deal = deal{shares: l.Recorded().Shares}
			return l.write(at), true
		}
	case dealShrinking:
		if l.hasShrunk(at) {
			return l.write(at), true
		}
	case dealWriting:
		if !l.deal.pending && at-l.deal.changedAt >= dealInterval {
			l.deal.changedAt = at
			return l.dealRecord(), true
		}
	}
	return azuretiller.RateLedger{}, false
}

// write begins to write the record of the deal.
func (l *Ledger) write(at time.Duration) azuretiller.RateLedger {
	l.deal.phase, l.deal.changedAt, l.deal.tolerance = dealWriting, at, l.wantedTolerance(at)
	return l.dealRecord()
}

func (l *Ledger) dealRecord() azuretiller.RateLedger {
	l.deal.pending = true
	return azuretiller.RateLedger{Shares: maps.Clone(l.deal.shares), Former: slices.Clone(l.former), ToleranceTerm: l.deal.tolerance}
}

// IsWriting reports whether a record is being written.
func (l *Ledger) IsWriting() bool { return l.deal.phase == dealWriting }

// Written handles the result of writing the record of a deal. After an error the record may be written later, so that the same one is
// written again.
func (l *Ledger) Written(now time.Time, err error) {
	l.deal.pending = false
	if err == nil && l.deal.phase == dealWriting {
		l.finishDeal(now)
	}
}

func (l *Ledger) finishDeal(now time.Time) {
	shares := l.deal.shares
	l.tolerance.recorded = l.deal.tolerance
	l.deal = deal{changedAt: l.clock.Elapsed(now)}
	l.setRecorded(shares)
	maps.DeleteFunc(l.entries, func(_ azuretiller.VMID, e *entry) bool {
		return e.share == 0 && l.deal.changedAt-e.heardAt >= shareholder.Validity
	})
}

func (l *Ledger) startDeal(at time.Duration) {
	if at-l.deal.changedAt < dealInterval || !l.isRenewable(at) {
		return
	}
	l.summarize(at)
	shares := l.fairShares(at)
	if shares == nil {
		return
	}
	l.deal = deal{phase: dealShrinking, shares: shares, changedAt: at}
	for vm, e := range l.entries {
		e.next = shares[vm]
		if e.next < e.share {
			e.grant(e.next)
		}
	}
}

// hasShrunk reports whether all VMs whose shares become smaller know it. It gives up the deal if one of them cannot be reached.
func (l *Ledger) hasShrunk(at time.Duration) bool {
	shrunk := true
	for vm, e := range l.entries {
		if e.next >= e.share || l.deal.shares[vm] == 0 && l.isReclaimable(e, at) {
			continue
		}
		if !l.isLeased(e, at) || at-l.deal.changedAt > shrinkTimeout {
			l.cancelDeal(at)
			return false
		}
		shrunk = shrunk && e.confirmed
	}
	return shrunk
}

func (l *Ledger) cancelDeal(at time.Duration) {
	l.deal = deal{changedAt: at}
	for _, e := range l.entries {
		e.next = e.share
		e.grant(e.share)
	}
}

// fairShares returns equal shares for the VMs that follow this leader, beside what others may hold, or nil if the shares are fair already.
func (l *Ledger) fairShares(at time.Duration) map[azuretiller.VMID]azuretiller.RateShare {
	shares := map[azuretiller.VMID]azuretiller.RateShare{}
	pool := azuretiller.WholeRate
	var followers []azuretiller.VMID
	unfair := false
	for vm, e := range l.entries {
		switch {
		case l.isLeased(e, at) && !e.leaving && (e.share > 0 || at-e.joinedAt >= dealMinAge):
			followers = append(followers, vm)
		case e.share > 0 && l.isReclaimable(e, at):
			unfair = true
		case e.share > 0:
			shares[vm] = e.share
			pool -= e.share
		}
	}
	if len(followers) == 0 || pool <= 0 {
		return nil
	}
	slices.Sort(followers)
	fair := pool / azuretiller.RateShare(len(followers))
	for _, vm := range followers {
		e := l.entries[vm]
		difference := float64(e.share - fair)
		unfair = unfair || e.share == 0 || vm != l.self && max(difference, -difference) > unevenRatio*float64(fair)
		shares[vm] = fair
	}
	if !unfair || fair == 0 {
		return nil
	}
	shares[followers[0]] += pool - fair*azuretiller.RateShare(len(followers))
	return shares
}

// isReclaimable reports whether a VM that does not follow this leader has certainly stopped spending its share, and no other leader spends
// it.
func (l *Ledger) isReclaimable(e *entry, at time.Duration) bool {
	if l.isLeased(e, at) {
		return false
	}
	if e.leaving && at >= e.leasedUntil && !slices.ContainsFunc(e.pledges, func(p pledge) bool { return at < p.until }) {
		return true
	}
	if l.majoritySince < 0 || l.expired {
		return at-max(e.heardAt, 0) >= abandonTime && at-l.confirmedAt < confirmationTime
	}
	return at-max(e.heardAt, l.majoritySince, confirmationTime) >= shareholder.Validity+expiryMargin
}
