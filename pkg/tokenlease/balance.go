package tokenlease

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/leaseclock"
)

// Balance holds leased tokens of one team. A lease expires as soon as it has run out by either the monotonic or the wall
// clock of the VM.
type Balance struct {
	batches []batch
	spent   map[azuretiller.VMID]azuretiller.Millitokens
}

type batch struct {
	source azuretiller.VMID
	amount azuretiller.Millitokens
	// requestedAt is when the tokens were requested, which is before their lease began on the VM that granted them.
	requestedAt time.Time
	lifetime    time.Duration
}

func (b batch) valid(now time.Time) bool {
	return leaseclock.Elapsed(now, b.requestedAt) < b.lifetime && !now.Before(b.requestedAt)
}

// New returns an empty balance.
func New() *Balance {
	return &Balance{spent: map[azuretiller.VMID]azuretiller.Millitokens{}}
}

// Add stores tokens that a VM granted. They can be spent until lifetime has passed since requestedAt.
func (bal *Balance) Add(source azuretiller.VMID, amount azuretiller.Millitokens, requestedAt time.Time, lifetime time.Duration) {
	if amount > 0 {
		bal.batches = append(bal.batches, batch{source: source, amount: amount, requestedAt: requestedAt, lifetime: lifetime})
	}
}

// Take removes the given amount, starting with the tokens added first. If fewer tokens are left, it removes none and
// returns false.
func (bal *Balance) Take(amount azuretiller.Millitokens, now time.Time) bool {
	if bal.Level(now) < amount {
		return false
	}
	for i := range bal.batches {
		b := &bal.batches[i]
		taken := min(b.amount, amount)
		b.amount -= taken
		amount -= taken
		bal.spent[b.source] += taken
	}
	bal.dropEmptyBatches()
	return true
}

// Level returns the number of tokens that can be spent now. It drops tokens whose lease has expired.
func (bal *Balance) Level(now time.Time) azuretiller.Millitokens {
	var level azuretiller.Millitokens
	for i := range bal.batches {
		if !bal.batches[i].valid(now) {
			bal.batches[i].amount = 0
		}
		level += bal.batches[i].amount
	}
	bal.dropEmptyBatches()
	return level
}

func (bal *Balance) dropEmptyBatches() {
	kept := bal.batches[:0]
	for _, b := range bal.batches {
		if b.amount > 0 {
			kept = append(kept, b)
		}
	}
	bal.batches = kept
}

// ResetSpent returns the number of tokens granted by a VM that were spent since the last call for that VM. The caller
// reports it to that VM.
func (bal *Balance) ResetSpent(source azuretiller.VMID) azuretiller.Millitokens {
	spent := bal.spent[source]
	delete(bal.spent, source)
	return spent
}

// RemoveIdle removes the unspent tokens that were requested at least age ago. It returns their number by the VM that
// granted them, so that the caller can return them.
func (bal *Balance) RemoveIdle(age time.Duration, now time.Time) map[azuretiller.VMID]azuretiller.Millitokens {
	out := map[azuretiller.VMID]azuretiller.Millitokens{}
	for i := range bal.batches {
		b := &bal.batches[i]
		if b.valid(now) && leaseclock.Elapsed(now, b.requestedAt) >= age {
			out[b.source] += b.amount
			b.amount = 0
		}
	}
	bal.dropEmptyBatches()
	return out
}
