package leasebucket

import (
	"math/bits"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

// Bucket is a token bucket that leases its tokens. It counts the leased tokens that may still be spent as outstanding,
// and keeps the sum of level and outstanding tokens within the burst.
type Bucket struct {
	rate  azuretiller.Millitokens
	burst azuretiller.Millitokens
	level azuretiller.Millitokens
	// fraction is the part of a millitoken that the last refill left over, in billionths.
	fraction    int64
	refilledAt  time.Time
	outstanding azuretiller.Millitokens
	leases      []lease
}

// lease is a number of tokens that a VM may spend until they expire.
type lease struct {
	holder    azuretiller.VMID
	tokens    azuretiller.Millitokens
	expiresAt time.Time
}

// New returns a bucket that is empty at the given time; the rate is in millitokens per second.
func New(rate, burst azuretiller.Millitokens, at time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, refilledAt: at}
}

// SetLimits changes rate and burst from now on. Tokens above the new burst are discarded.
func (b *Bucket) SetLimits(rate, burst azuretiller.Millitokens, now time.Time) {
	b.refill(now)
	b.rate = rate
	b.burst = burst
	b.capLevel()
}

// Draw leases up to want tokens to a holder for the duration ttl and returns how many it leased.
func (b *Bucket) Draw(holder azuretiller.VMID, want azuretiller.Millitokens, ttl time.Duration, now time.Time) azuretiller.Millitokens {
	b.refill(now)
	granted := max(0, min(want, b.level))
	if granted == 0 {
		return 0
	}
	b.level -= granted
	b.outstanding += granted
	b.leases = append(b.leases, lease{holder: holder, tokens: granted, expiresAt: now.Add(ttl)})
	return granted
}

// ReportUsage ends leases of a holder that reports tokens as spent or returned. Returned tokens go back into the bucket.
func (b *Bucket) ReportUsage(holder azuretiller.VMID, spent, returned azuretiller.Millitokens, now time.Time) {
	b.refill(now)
	b.takeFromLeases(holder, max(spent, 0))
	b.level += b.takeFromLeases(holder, max(returned, 0))
	b.capLevel()
}

// takeFromLeases subtracts up to amount tokens from the holder's leases, the oldest first, and returns the number of
// tokens subtracted.
func (b *Bucket) takeFromLeases(holder azuretiller.VMID, amount azuretiller.Millitokens) azuretiller.Millitokens {
	var taken azuretiller.Millitokens
	kept := b.leases[:0]
	for _, held := range b.leases {
		if held.holder == holder && taken < amount {
			part := min(held.tokens, amount-taken)
			held.tokens -= part
			taken += part
		}
		if held.tokens > 0 {
			kept = append(kept, held)
		}
	}
	b.leases = kept
	b.outstanding -= taken
	return taken
}

// refill adds the tokens that accrued since the last refill, in steps that end at the expiry of each lease. A lease
// counts against the burst until it expires, so tokens that did not fit before then must not be added afterwards.
func (b *Bucket) refill(now time.Time) {
	for len(b.leases) > 0 {
		first := b.leases[b.earliestExpiry()]
		if now.Before(first.expiresAt) {
			break
		}
		b.accrue(first.expiresAt)
		b.outstanding -= first.tokens
		b.leases = slices.Delete(b.leases, b.earliestExpiry(), b.earliestExpiry()+1)
	}
	b.accrue(now)
}

// earliestExpiry returns the index of the lease that expires first.
func (b *Bucket) earliestExpiry() int {
	earliest := 0
	for i, held := range b.leases {
		if held.expiresAt.Before(b.leases[earliest].expiresAt) {
			earliest = i
		}
	}
	return earliest
}

func (b *Bucket) accrue(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	// Skips the exact computation when the whole seconds alone fill the bucket, because seconds*rate could overflow.
	seconds := int64(elapsed / time.Second)
	nanos := int64(elapsed % time.Second)
	if seconds > 0 && int64(b.rate) > int64(b.burst)/seconds {
		b.level = b.burst
		b.fraction = 0
	} else {
		b.accrueExactly(seconds, nanos)
	}
	b.capLevel()
}

// accrueExactly adds the tokens of the elapsed time and carries the fraction of a millitoken over to the next refill.
func (b *Bucket) accrueExactly(seconds, nanos int64) {
	high, low := bits.Mul64(uint64(nanos), uint64(b.rate))
	quotient, remainder := bits.Div64(high, low, uint64(time.Second))
	sum := int64(remainder) + b.fraction
	b.level += azuretiller.Millitokens(seconds*int64(b.rate) + int64(quotient) + sum/int64(time.Second))
	b.fraction = sum % int64(time.Second)
}

// capLevel discards the tokens that exceed the burst together with the outstanding ones.
func (b *Bucket) capLevel() {
	b.level = min(b.level, max(0, b.burst-b.outstanding))
}

// Level returns the tokens that can be drawn now.
func (b *Bucket) Level(now time.Time) azuretiller.Millitokens {
	b.refill(now)
	return b.level
}

// Full reports whether the bucket holds its whole burst, so that it can be deleted without losing state.
func (b *Bucket) Full(now time.Time) bool {
	b.refill(now)
	return b.level >= b.burst
}

// RefillTime returns the time until the bucket holds the given amount. It returns one hour if that takes longer or never happens.
func (b *Bucket) RefillTime(amount azuretiller.Millitokens) time.Duration {
	if b.level >= amount {
		return 0
	}
	if b.rate <= 0 {
		return time.Hour
	}
	return min(time.Duration(float64(amount-b.level)/float64(b.rate)*float64(time.Second)), time.Hour)
}
