package shareledger

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// tolerance is the right to use the tolerance for exceeding the rates. The record names the term of a leader that may have used it within the
// last window, so that its successors do not use it again.
type tolerance struct {
	recorded azuretiller.Term
	// wantedAt is when the leader last used the tolerance, or would have, and negative if it never did.
	wantedAt time.Duration
}

// WantTolerance reports whether the leader may use the tolerance now. If it may not, the record is written before it may.
func (l *Ledger) WantTolerance(now time.Time) bool {
	l.tolerance.wantedAt = l.clock.Elapsed(now)
	return l.tolerance.recorded == l.term && (l.deal.phase != dealWriting || l.deal.tolerance == l.term)
}

// SetWindow sets the window within which the tolerance may be used once.
func (l *Ledger) SetWindow(window time.Duration) { l.window = window }

// wantedTolerance returns the term that the record should name: this one for a window after the leader used the tolerance, and otherwise none.
// The leader of another term may have used it until this one began.
func (l *Ledger) wantedTolerance(at time.Duration) azuretiller.Term {
	switch {
	case l.tolerance.recorded != 0 && l.tolerance.recorded != l.term && at <= l.window:
		return l.tolerance.recorded
	case l.tolerance.wantedAt >= 0 && at-l.tolerance.wantedAt <= l.window:
		return l.term
	}
	return 0
}
