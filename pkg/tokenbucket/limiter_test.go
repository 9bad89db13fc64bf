package tokenbucket

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
)

// TestWindowsStayWithinRateAndBurst checks under random load that any sequence of up to 100 admitted requests stays within the
// burst plus what the rate allows in its time.
func TestWindowsStayWithinRateAndBurst(t *testing.T) {
	const rate, burst = 7, 5
	limit := Limit{Rate: rate * azuretiller.TokenCost, Burst: burst * azuretiller.TokenCost}
	random := rand.New(rand.NewPCG(3, 4))
	limiter := New(func(_ azuretiller.TeamID, l Limit) azuretiller.Millitokens { return l.Burst })
	now := time.Unix(0, 0)
	var admitted []time.Time
	for range 5000 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(30*time.Millisecond)))
		if _, ok := limiter.Take(now, "a", limit); ok {
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
	limiter := New(func(azuretiller.TeamID, Limit) azuretiller.Millitokens { return 0 })
	now := time.Unix(0, 0)
	wait, ok := limiter.Take(now, "a", limit)
	assert.False(t, ok)
	assert.Equal(t, 500*time.Millisecond, wait)
	_, ok = limiter.Take(now.Add(wait), "a", limit)
	assert.True(t, ok)
}

func TestRefundIsBoundedByBurst(t *testing.T) {
	limit := Limit{Rate: azuretiller.TokenCost, Burst: azuretiller.TokenCost}
	limiter := New(func(_ azuretiller.TeamID, l Limit) azuretiller.Millitokens { return l.Burst })
	now := time.Unix(0, 0)
	_, ok := limiter.Take(now, "a", limit)
	assert.True(t, ok)
	limiter.Refund("a")
	limiter.Refund("a")
	_, first := limiter.Take(now, "a", limit)
	_, second := limiter.Take(now, "a", limit)
	assert.True(t, first)
	assert.False(t, second)
}

func TestTeamWithoutRateHasNoLimit(t *testing.T) {
	limiter := New(func(azuretiller.TeamID, Limit) azuretiller.Millitokens { return 0 })
	_, ok := limiter.Take(time.Unix(0, 0), "a", Limit{})
	assert.True(t, ok)
}
