package edge

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// errNotLeader means that the leader record names another term or VM.
var errNotLeader = errors.New("the leader record names another leader")

// writeRates writes the shares of the rates into the leader record, unless it names another leader.
func (e *Edge) writeRates(ctx context.Context, term azuretiller.Term, rates azuretiller.RateLedger) {
	confirmation := e.readConfirmation(ctx)
	e.deliver(ctx, confirmation)
	e.deliver(ctx, ratesResult{term, e.replaceRates(ctx, term, rates, confirmation)})
}

func (e *Edge) replaceRates(ctx context.Context, term azuretiller.Term, rates azuretiller.RateLedger, read leaderConfirmation) error {
	if read.err != nil {
		return errors.Wrap(read.err, "read the leader record")
	}
	if read.record.Term != term || read.record.VM != e.self.ID {
		return errNotLeader
	}
	ctx, cancel := context.WithTimeout(ctx, leaderRecordTimeout)
	defer cancel()
	record := read.record
	record.Rates = rates
	return errors.Wrap(e.registry.ClaimLeader(ctx, read.next, record), "write the shares of the rates")
}

// updateShare passes the share of the rates that this VM may spend itself to its placer.
func (e *Edge) updateShare(now time.Time) {
	share := e.member.SpendableShare(now)
	held, offset := e.member.HeldShare(now)
	e.placer.SetReserve(held, offset)
	if old := e.placer.SetShare(now, share); old != share {
		e.logEvent("own rate share", log.Fields{"share": share.Of(1), "term": e.member.Term()})
	}
}

// stepDown ends the leadership of this VM.
func (e *Edge) stepDown() {
	if e.leader == nil {
		return
	}
	handOver := e.leader.HandOver(e.common.Clock.Now())
	e.leader, e.handOver = nil, &handOver
}

// sendHandOver sends the tokens of the last term that this VM led to the leader that it follows. It does so once, so that they are not spent
// twice.
func (e *Edge) sendHandOver() {
	_, address := e.member.Leader()
	if e.handOver == nil || e.leader != nil || e.member.Term() <= e.handOver.Term || address == "" {
		return
	}
	e.send(address, message.Envelope{Body: *e.handOver})
	e.handOver = nil
}
