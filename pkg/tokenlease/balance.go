package tokenlease

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/leaseclock"
)

// Balance holds leased tokens of one team. A lease expires as soon as it has run out by either the monotonic or the wall
// clock of the VM.
type Balance struct {
	leases []lease
	spent  map[azuretiller.VMID]azuretiller.Millitokens
}

// lease holds the unspent tokens of one draw.
type lease struct {
	// source is the VM that granted the tokens.
	source azuretiller.VMID
	amount azuretiller.Millitokens
	// requestedAt is when the tokens were requested, which is before their lease began on the VM that granted them.
	requestedAt time.Time
	lifetime    time.Duration
}

func (l lease) valid(now time.Time) bool {
	return leaseclock.Elapsed(now, l.requestedAt) < l.lifetime && !now.Before(l.requestedAt)
}

// New returns an empty balance.
func New() *Balance {
	return &Balance{spent: map[azuretiller.VMID]azuretiller.Millitokens{}}
}

// Add stores tokens that a VM granted. They can be spent until lifetime has passed since requestedAt.
func (b *Balance) Add(source azuretiller.VMID, amount azuretiller.Millitokens, requestedAt time.Time, lifetime time.Duration) {
	if amount > 0 {
		b.leases = append(b.leases, lease{source: source, amount: amount, requestedAt: requestedAt, lifetime: lifetime})
	}
}

// Take removes the given amount, starting with the tokens added first. If fewer tokens are left, it removes none and
// returns false.
func (b *Balance) Take(amount azuretiller.Millitokens, now time.Time) bool {
	if b.Level(now) < amount {
		return false
	}
	for i := range b.leases {
		l := &b.leases[i]
		taken := min(l.amount, amount)
		l.amount -= taken
		amount -= taken
		b.spent[l.source] += taken
	}
	b.dropEmptyLeases()
	return true
}

// Level returns the number of tokens that can be spent now. It drops tokens whose lease has expired.
func (b *Balance) Level(now time.Time) azuretiller.Millitokens {
	var level azuretiller.Millitokens
	for i := range b.leases {
		if !b.leases[i].valid(now) {
			b.leases[i].amount = 0
		}
		level += b.leases[i].amount
	}
	b.dropEmptyLeases()
	return level
}

func (b *Balance) dropEmptyLeases() {
	kept := b.leases[:0]
	for _, l := range b.leases {
		if l.amount > 0 {
			kept = append(kept, l)
		}
	}
	b.leases = kept
}

// ResetSpent returns the number of tokens granted by a VM that were spent since the last call for that VM. The caller
// reports it to that VM.
func (b *Balance) ResetSpent(source azuretiller.VMID) azuretiller.Millitokens {
	spent := b.spent[source]
	delete(b.spent, source)
	return spent
}

// RemoveIdle removes the unspent tokens that were requested at least age ago. It returns their number by the VM that
// granted them, so that the caller can return them.
func (b *Balance) RemoveIdle(age time.Duration, now time.Time) map[azuretiller.VMID]azuretiller.Millitokens {
	out := map[azuretiller.VMID]azuretiller.Millitokens{}
	for i := range b.leases {
		l := &b.leases[i]
		if l.valid(now) && leaseclock.Elapsed(now, l.requestedAt) >= age {
			out[l.source] += l.amount
			l.amount = 0
		}
	}
	b.dropEmptyLeases()
	return out
}
