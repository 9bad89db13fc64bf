package shareledger

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// entry is what the leader knows of the share of one VM. Times are those of the ledger's clock.
type entry struct {
	// share is the recorded share, which is the most that the VM may hold. next is the share in the deal that is under way.
	share, next azuretiller.RateShare
	// offset is the sum of the recorded shares of the VMs with smaller ids.
	offset azuretiller.RateShare
	// granted is the share in the responses to the VM. grantedAt is the stamp of the first one with it, zero until it is sent, and confirmed
	// means that the VM received it or a later one.
	granted   azuretiller.RateShare
	grantedAt time.Duration
	confirmed bool
	// stampedAt is the newest stamp that was sent to the VM.
	stampedAt time.Duration
	// leasedUntil is when the leader stops spending the share, unless the VM answers a later stamp.
	leasedUntil time.Duration
	// pledges are those to the leaders of earlier terms.
	pledges []pledge
	// joinedAt and heardAt are when the first and the last heartbeat arrived in this term, zero if none did.
	joinedAt, heardAt time.Duration
	// leaving means that the VM gave up its share.
	leaving bool
}

type pledge struct {
	term  azuretiller.Term
	until time.Duration
}

// grant sets the share in the responses to the VM.
func (e *entry) grant(share azuretiller.RateShare) {
	if share != e.granted {
		e.granted, e.grantedAt, e.confirmed = share, 0, false
	}
}

func (e *entry) setPledges(at time.Duration, pledges []message.Pledge) {
	e.pledges = e.pledges[:0]
	for _, p := range pledges {
		e.pledges = append(e.pledges, pledge{term: p.Term, until: at + p.Remaining})
	}
}
