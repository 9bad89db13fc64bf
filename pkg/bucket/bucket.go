package bucket

import (
	"math/bits"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

// Bucket is a token bucket that also counts the tokens it handed out and that may still be spent:
// level and outstanding tokens together never exceed the burst.
type Bucket struct {
	rate        azuretiller.Millitokens
	burst       azuretiller.Millitokens
	level       azuretiller.Millitokens
	remainder   int64
	at          time.Time
	outstanding azuretiller.Millitokens
	batches     []batch
}

type batch struct {
	holder  azuretiller.VMID
	amount  azuretiller.Millitokens
	expires time.Time
}

// New returns a bucket that is empty at a time; the rate is in millitokens a second.
func New(rate, burst azuretiller.Millitokens, at time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, at: at}
}

// SetLimits changes rate and burst from now on; tokens above the new burst are lost.
func (b *Bucket) SetLimits(rate, burst azuretiller.Millitokens, now time.Time) {
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.trim()
}

// Draw hands out up to want tokens that may be spent for ttl.
func (b *Bucket) Draw(holder azuretiller.VMID, want azuretiller.Millitokens, ttl time.Duration, now time.Time) azuretiller.Millitokens {
	b.refill(now)
	granted := max(0, min(want, b.level))
	if granted == 0 {
		return 0
	}
	b.level -= granted
	b.outstanding += granted
	b.batches = append(b.batches, batch{holder: holder, amount: granted, expires: now.Add(ttl)})
	return granted
}

// Settle takes a holder's word on the tokens it was given: spent ones are gone, returned ones may be drawn again.
func (b *Bucket) Settle(holder azuretiller.VMID, spent, returned azuretiller.Millitokens, now time.Time) {
	b.refill(now)
	b.reduce(holder, max(spent, 0))
	b.level += b.reduce(holder, max(returned, 0))
	b.trim()
}

// reduce takes tokens off the holder's batches, the oldest first, and returns how many there were.
func (b *Bucket) reduce(holder azuretiller.VMID, amount azuretiller.Millitokens) azuretiller.Millitokens {
	var taken azuretiller.Millitokens
	kept := b.batches[:0]
	for _, batch := range b.batches {
		if batch.holder == holder && taken < amount {
			part := min(batch.amount, amount-taken)
			batch.amount -= part
			taken += part
		}
		if batch.amount > 0 {
			kept = append(kept, batch)
		}
	}
	b.batches = kept
	b.outstanding -= taken
	return taken
}

// refill adds the tokens of the time that passed, piece by piece: a batch counts against the burst until it expires,
// so the tokens that it kept out are not made up for afterwards.
func (b *Bucket) refill(now time.Time) {
	for len(b.batches) > 0 {
		first := b.batches[b.earliest()]
		if now.Before(first.expires) {
			break
		}
		b.accrue(first.expires)
		b.outstanding -= first.amount
		b.batches = slices.Delete(b.batches, b.earliest(), b.earliest()+1)
	}
	b.accrue(now)
}

func (b *Bucket) earliest() int {
	earliest := 0
	for i, batch := range b.batches {
		if batch.expires.Before(b.batches[earliest].expires) {
			earliest = i
		}
	}
	return earliest
}

func (b *Bucket) accrue(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.at = now
	// A long time fills the bucket anyway, and the product below must not overflow.
	seconds := int64(elapsed / time.Second)
	rest := int64(elapsed % time.Second)
	if seconds > 0 && int64(b.rate) > int64(b.burst)/seconds {
		b.level = b.burst
		b.remainder = 0
	} else {
		b.accrueExactly(seconds, rest)
	}
	b.trim()
}

// accrueExactly keeps the fraction of a millitoken for the next time.
func (b *Bucket) accrueExactly(seconds, nanos int64) {
	whole, part := bits.Mul64(uint64(nanos), uint64(b.rate))
	quotient, remainder := bits.Div64(whole, part, uint64(time.Second))
	sum := int64(remainder) + b.remainder
	b.level += azuretiller.Millitokens(seconds*int64(b.rate) + int64(quotient) + sum/int64(time.Second))
	b.remainder = sum % int64(time.Second)
}

func (b *Bucket) trim() {
	b.level = min(b.level, max(0, b.burst-b.outstanding))
}

// Level returns the tokens that can be drawn now.
func (b *Bucket) Level(now time.Time) azuretiller.Millitokens {
	b.refill(now)
	return b.level
}

// Full reports whether the bucket holds its whole burst, so that forgetting it loses nothing.
func (b *Bucket) Full(now time.Time) bool {
	b.refill(now)
	return b.level >= b.burst
}

// Wait returns the time until the bucket holds an amount, or an hour when it never will.
func (b *Bucket) Wait(amount azuretiller.Millitokens) time.Duration {
	if b.level >= amount {
		return 0
	}
	if b.rate <= 0 {
		return time.Hour
	}
	return min(time.Duration(float64(amount-b.level)/float64(b.rate)*float64(time.Second)), time.Hour)
}
