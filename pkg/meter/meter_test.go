package meter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
)

// TestWindowsStayWithinRateAndBurst compares every window of a random load with the bound.
func TestWindowsStayWithinRateAndBurst(t *testing.T) {
	const rate, burst = 7, 5
	limit := Limit{Rate: rate * azuretiller.TokenCost, Burst: burst * azuretiller.TokenCost}
	random := rand.New(rand.NewPCG(3, 4))
	m := New(func(_ azuretiller.TeamID, l Limit) azuretiller.Millitokens { return l.Burst })
	now := time.Unix(0, 0)
	var taken []time.Time
	for range 5000 {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(30*time.Millisecond)))
		if _, ok := m.Spend(now, "a", limit); ok {
			taken = append(taken, now)
		}
	}
	for i := range taken {
		for j := i; j < len(taken) && j < i+100; j++ {
			span := taken[j].Sub(taken[i]).Seconds()
			assert.LessOrEqual(t, float64(j-i+1), rate*span+burst+0.01)
		}
	}
	assert.Greater(t, float64(len(taken)), rate*now.Sub(time.Unix(0, 0)).Seconds()*0.95)
}

func TestWaitIsTrue(t *testing.T) {
	limit := Limit{Rate: 2 * azuretiller.TokenCost, Burst: azuretiller.TokenCost}
	m := New(func(azuretiller.TeamID, Limit) azuretiller.Millitokens { return 0 })
	now := time.Unix(0, 0)
	wait, ok := m.Spend(now, "a", limit)
	assert.False(t, ok)
	assert.Equal(t, 500*time.Millisecond, wait)
	_, ok = m.Spend(now.Add(wait), "a", limit)
	assert.True(t, ok)
}

func TestRefundIsBoundedByBurst(t *testing.T) {
	limit := Limit{Rate: azuretiller.TokenCost, Burst: azuretiller.TokenCost}
	m := New(func(_ azuretiller.TeamID, l Limit) azuretiller.Millitokens { return l.Burst })
	now := time.Unix(0, 0)
	_, ok := m.Spend(now, "a", limit)
	assert.True(t, ok)
	m.Refund("a")
	m.Refund("a")
	_, first := m.Spend(now, "a", limit)
	_, second := m.Spend(now, "a", limit)
	assert.True(t, first)
	assert.False(t, second)
}

func TestTeamWithoutRateIsFree(t *testing.T) {
	m := New(func(azuretiller.TeamID, Limit) azuretiller.Millitokens { return 0 })
	_, ok := m.Spend(time.Unix(0, 0), "a", Limit{})
	assert.True(t, ok)
}
