package purse

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/strict"
)

// Purse spends tokens only while their lease lasts by the stricter of the VM's clocks.
type Purse struct {
	batches []batch
	spent   map[azuretiller.VMID]azuretiller.Millitokens
}

type batch struct {
	from   azuretiller.VMID
	amount azuretiller.Millitokens
	// asked is when the tokens were asked for, which is before the lease began at the other VM.
	asked    time.Time
	lifetime time.Duration
}

func (b batch) valid(now time.Time) bool {
	return strict.Elapsed(now, b.asked) < b.lifetime && !now.Before(b.asked)
}

// New returns an empty purse.
func New() *Purse {
	return &Purse{spent: map[azuretiller.VMID]azuretiller.Millitokens{}}
}

// Add puts in tokens that a VM granted for a lifetime counted from when they were asked for.
func (p *Purse) Add(from azuretiller.VMID, amount azuretiller.Millitokens, asked time.Time, lifetime time.Duration) {
	if amount > 0 {
		p.batches = append(p.batches, batch{from: from, amount: amount, asked: asked, lifetime: lifetime})
	}
}

// Spend takes an amount out, the oldest tokens first, or nothing when there is less.
func (p *Purse) Spend(amount azuretiller.Millitokens, now time.Time) bool {
	if p.Level(now) < amount {
		return false
	}
	for i := range p.batches {
		b := &p.batches[i]
		part := min(b.amount, amount)
		b.amount -= part
		amount -= part
		p.spent[b.from] += part
	}
	p.tidy()
	return true
}

// Level returns the tokens that can be spent now; tokens whose lease ran out are dropped.
func (p *Purse) Level(now time.Time) azuretiller.Millitokens {
	var level azuretiller.Millitokens
	for i := range p.batches {
		if !p.batches[i].valid(now) {
			p.batches[i].amount = 0
		}
		level += p.batches[i].amount
	}
	p.tidy()
	return level
}

func (p *Purse) tidy() {
	kept := p.batches[:0]
	for _, b := range p.batches {
		if b.amount > 0 {
			kept = append(kept, b)
		}
	}
	p.batches = kept
}

// Settle takes out what was spent of a VM's tokens since the last call, to be reported to it.
func (p *Purse) Settle(from azuretiller.VMID) azuretiller.Millitokens {
	spent := p.spent[from]
	delete(p.spent, from)
	return spent
}

// Idle takes out the tokens that were asked for longer ago than age, by the VM they go back to.
func (p *Purse) Idle(age time.Duration, now time.Time) map[azuretiller.VMID]azuretiller.Millitokens {
	out := map[azuretiller.VMID]azuretiller.Millitokens{}
	for i := range p.batches {
		b := &p.batches[i]
		if b.valid(now) && strict.Elapsed(now, b.asked) >= age {
			out[b.from] += b.amount
			b.amount = 0
		}
	}
	p.tidy()
	return out
}
