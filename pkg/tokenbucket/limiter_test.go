package tokenbucket

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
)

// newLimiter returns a limiter that spends the whole rates, with one team.
func newLimiter(now time.Time, limit Limit) *Limiter {
	limiter := New(Unspent{})
	limiter.SetLimits(now, map[azuretiller.TeamID]Limit{"a": limit})
	limiter.SetShare(now, azuretiller.WholeRate)
	return limiter
}

// TestWindowsStayWithinRateAndBurst checks under random load that any sequence of up to 100 admitted requests stays within the
// burst plus what the rate allows in its time.
func TestWindowsStayWithinRateAndBurst(t *testing.T) {
	const rate, burst = 7, 5
	limit := Limit{Rate: rate * azuretiller.TokenCost, Burst: burst * azuretiller.TokenCost}
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(0, 0)
	limiter := newLimiter(now, limit)
	var admitted []time.Time
	for range 5000 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(30*time.Millisecond)))
		if _, ok := limiter.Take(now, "a"); ok {
			admitted = append(admitted, now)
		}
	}
	for i := range admitted {
		for j := i; j < len(admitted) && j < i+100; j++ {
			window := admitted[j].Sub(admitted[i]).Seconds()
			assert.LessOrEqual(t, float64(j-i+1), rate*window+burst+0.01)
		}
	}
	assert.Greater(t, float64(len(admitted)), rate*now.Sub(time.Unix(0, 0)).Seconds()*0.95)
}

func TestTokenIsAvailableAfterReturnedWait(t *testing.T) {
	limit := Limit{Rate: 2 * azuretiller.TokenCost, Burst: azuretiller.TokenCost}
	now := time.Unix(0, 0)
	limiter := newLimiter(now, limit)
	wait, ok := limiter.Take(now, "a")
	assert.False(t, ok)
	assert.Equal(t, 500*time.Millisecond, wait)
	_, ok = limiter.Take(now.Add(wait), "a")
	assert.True(t, ok)
}

func TestRefundIsBoundedByBurst(t *testing.T) {
	limit := Limit{Rate: azuretiller.TokenCost, Burst: azuretiller.TokenCost}
	now := time.Unix(0, 0)
	limiter := newLimiter(now, limit)
	now = now.Add(time.Second)
	_, ok := limiter.Take(now, "a")
	assert.True(t, ok)
	limiter.Refund("a")
	limiter.Refund("a")
	_, first := limiter.Take(now, "a")
	_, second := limiter.Take(now, "a")
	assert.True(t, first)
	assert.False(t, second)
}

func TestTeamWithoutRateHasNoLimit(t *testing.T) {
	_, ok := newLimiter(time.Unix(0, 0), Limit{}).Take(time.Unix(0, 0), "a")
	assert.True(t, ok)
}

// TestLimitersWithSharesStayWithinRateAndBurst checks that several limiters, between which the shares of a rate move, together admit no more
// than the rate and the burst in any window, but for the one token that each may hold.
func TestLimitersWithSharesStayWithinRateAndBurst(t *testing.T) {
	const rate, burst, count = 40, 20, 4
	limit := Limit{Rate: rate * azuretiller.TokenCost, Burst: burst * azuretiller.TokenCost}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 5))
		now := time.Unix(0, 0)
		var limiters []*Limiter
		for range count {
			limiter := New(Unspent{})
			limiter.SetLimits(now, map[azuretiller.TeamID]Limit{"a": limit})
			limiters = append(limiters, limiter)
		}
		var admitted []time.Time
		for step := range 4000 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(8*time.Millisecond)))
			if step%50 == 0 {
				left := azuretiller.WholeRate
				shares := make([]azuretiller.RateShare, count)
				for i := range shares {
					shares[i] = azuretiller.RateShare(random.Int64N(int64(left) + 1))
					left -= shares[i]
				}
				for i, limiter := range limiters {
					limiter.SetShare(now, min(limiter.Share(), shares[i]))
				}
				for i, limiter := range limiters {
					limiter.SetShare(now, shares[i])
				}
			}
			if step/500%2 == 1 {
				continue // idle, so that tokens collect
			}
			if _, ok := limiters[random.IntN(count)].Take(now, "a"); ok {
				admitted = append(admitted, now)
			}
		}
		for i := range admitted {
			for j := i; j < len(admitted) && j < i+300; j++ {
				window := admitted[j].Sub(admitted[i]).Seconds()
				if float64(j-i+1) > rate*window+burst+count+0.01 {
					t.Fatalf("seed %d: %d requests in %.3f s", seed, j-i+1, window)
				}
			}
		}
	}
}

// TestAddedShareStartsWithoutTokens guards against tokens that a limiter gets although the one that held the share before spent them.
func TestAddedShareStartsWithoutTokens(t *testing.T) {
	now := time.Unix(0, 0)
	limiter := newLimiter(now, Limit{Rate: 10 * azuretiller.TokenCost, Burst: 10 * azuretiller.TokenCost})
	limiter.SetShare(now, azuretiller.WholeRate/2)
	now = now.Add(time.Minute)
	limiter.SetShare(now, azuretiller.WholeRate)
	taken := 0
	for {
		if _, ok := limiter.Take(now, "a"); !ok {
			break
		}
		taken++
	}
	assert.Equal(t, 5, taken)
}

// TestHandedOverTokensOutlastSmallShare guards against requests within their team's rate that are refused after a hand-over: the tokens of the
// former leader arrive before the shares of its VMs, and must not be dropped as exceeding the capacity of a small share. They do not add to the
// burst, and a share that stays small keeps them for a short time only.
func TestHandedOverTokensOutlastSmallShare(t *testing.T) {
	limit := Limit{Rate: 10 * azuretiller.TokenCost, Burst: 20 * azuretiller.TokenCost}
	for _, test := range []struct {
		name      string
		joinAfter time.Duration
		handed    azuretiller.Millitokens
		want      int
	}{
		{"the VMs join soon", 500 * time.Millisecond, 20 * azuretiller.TokenCost, 20},
		{"few tokens", 500 * time.Millisecond, 3 * azuretiller.TokenCost, 3},
		{"more than the burst", 500 * time.Millisecond, 900 * azuretiller.TokenCost, 20},
		{"the VMs join late", 10 * time.Second, 20 * azuretiller.TokenCost, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			limiter := New(Unspent{})
			limiter.SetLimits(now, map[azuretiller.TeamID]Limit{"a": limit})
			limiter.SetShare(now, azuretiller.WholeRate/40)
			limiter.AddTokens(now, map[azuretiller.TeamID]azuretiller.Millitokens{"a": test.handed})
			for range 2 {
				now = now.Add(test.joinAfter / 2)
				limiter.Tokens(now)
			}
			limiter.SetShare(now, azuretiller.WholeRate)
			taken := 0
			for range 50 {
				if _, ok := limiter.Take(now, "a"); ok {
					taken++
				}
			}
			assert.Equal(t, test.want, taken)
		})
	}
}
