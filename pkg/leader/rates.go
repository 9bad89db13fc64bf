package leader

import (
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/shareledger"
	"github.com/azuretiller/azuretiller/pkg/tokenbucket"
)

// newLimiter returns the limiter of a leader that claimed its term with the given record.
func newLimiter(rates azuretiller.RateLedger, p Params) *tokenbucket.Limiter {
	unspent := tokenbucket.Unspent{}
	if isFirst(rates) {
		unspent.Rates = azuretiller.WholeRate
	}
	if rates.ToleranceTerm == 0 {
		unspent.Tolerance = azuretiller.WholeRate
	}
	limiter := tokenbucket.New(unspent)
	limiter.SetTolerance(p.RateTolerance, tolerancePart)
	return limiter
}

// isFirst reports whether a term was claimed with the first record of the deployment, so that nobody has granted tokens before.
func isFirst(rates azuretiller.RateLedger) bool { return len(rates.Former) == 0 }

// updateShare passes the share of the rates that this leader may spend to the limiter.
func (l *Leader) updateShare(now time.Time) { l.limiter.SetShare(now, l.ledger.Share(now)) }

// takeToken takes a token for a request, or returns the time until one is available. While the leader does not spend the whole rates, and
// when it has just replaced another one, it uses the tolerance too.
func (l *Leader) takeToken(now time.Time, team azuretiller.TeamID) (time.Duration, bool) {
	l.updateShare(now)
	wait, ok := l.limiter.Take(now, team)
	// The buckets of the first leader start full.
	collecting := l.ledger.Collecting(now) && !l.first
	switch {
	case ok || l.limiter.Share() == azuretiller.WholeRate && !collecting:
		return wait, ok
	case l.ledger.WantTolerance(now) && l.limiter.TakeTolerance(now, team):
		return 0, true
	case collecting:
		return min(wait, collectingWait), false
	}
	return wait, false
}

// awaitsTokens reports whether a request that got no token should be sent again, since VMs are still joining this leader with their shares, or
// since the leader is about to use the tolerance.
func (l *Leader) awaitsTokens(now time.Time) bool {
	return now.Sub(l.startedAt) < joinTime && (l.limiter.Share() < azuretiller.WholeRate || l.ledger.IsWriting())
}

// ReceiveHandOver adds the tokens that a former leader left unspent.
func (l *Leader) ReceiveHandOver(now time.Time, h message.HandOver) []Effect {
	if h.Term >= l.term || l.handedOver[h.Term] {
		return nil
	}
	l.handedOver[h.Term] = true
	l.updateShare(now)
	l.limiter.AddTokens(now, h.Tokens)
	return []Effect{LogLine{"tokens handed over", log.Fields{"from": h.Term, "teams": len(h.Tokens), "term": l.term}}}
}

// HandOver returns the tokens that this leader leaves unspent. It must not be used any more after that.
func (l *Leader) HandOver(now time.Time) message.HandOver {
	l.updateShare(now)
	return message.HandOver{Term: l.term, Tokens: l.limiter.Tokens(now)}
}

// checkRates updates the share of the rates and distributes the shares of the VMs.
func (l *Leader) checkRates(now time.Time) []Effect {
	l.updateShare(now)
	var effects []Effect
	share := l.limiter.Share()
	if difference := share - l.loggedShare; max(difference, -difference) >= loggedShareStep && !l.ledger.Collecting(now) {
		l.loggedShare = share
		effects = append(effects, LogLine{"rate share", log.Fields{"share": share.Of(1), "members": len(l.members), "term": l.term}})
	}
	return append(effects, l.writeRates(now)...)
}

// writeRates writes the record of the shares if it is to change.
func (l *Leader) writeRates(now time.Time) []Effect {
	record, ok := l.ledger.Deal(now)
	if !ok {
		return nil
	}
	fields := log.Fields{"vms": len(record.Shares), "tolerance": record.ToleranceTerm, "term": l.term}
	return []Effect{WriteRates{Rates: record}, LogLine{"rates distributed", fields}}
}

// rateCode returns the code for requests that get no token.
func (l *Leader) rateCode() azuretiller.Code {
	if l.limiter.Share() < azuretiller.WholeRate {
		return azuretiller.CodeRateUnavailable
	}
	return azuretiller.CodeRateExceeded
}

// ConfirmTerm records that a call to the store, which took the given time, returned a leader record of this term with the given shares.
func (l *Leader) ConfirmTerm(now time.Time, took time.Duration, rates azuretiller.RateLedger) {
	l.ledger.Confirm(now, took, rates)
	l.confirmedAt = now.Add(-took)
}

// RatesWritten handles the result of WriteRates.
func (l *Leader) RatesWritten(now time.Time, err error) { l.ledger.Written(now, err) }

// Rates returns the record of the shares of the rates.
func (l *Leader) Rates() azuretiller.RateLedger { return l.ledger.Recorded() }

// Share returns the share of the rates that this leader may spend.
func (l *Leader) Share(now time.Time) azuretiller.RateShare { return l.ledger.Share(now) }

// RateStates returns the share of the rates of each VM, for dumps.
func (l *Leader) RateStates(now time.Time) []shareledger.State { return l.ledger.States(now) }
