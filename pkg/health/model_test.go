package health

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestOneFailureLowersSuccessProbability(t *testing.T) {
	now := time.Unix(0, 0)
	m := NewModel()
	succeeding, failing, gray := m.NewEstimate(now), m.NewEstimate(now), m.NewEstimate(now)
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		gray.Observe(now, true, 1)
		succeeding.Observe(now, false, 1)
		failing.Observe(now, false, 1)
	}
	now = now.Add(time.Second)
	failing.Observe(now, true, 1)
	assert.Greater(t, succeeding.SuccessProbability(now), 0.85)
	assert.Less(t, failing.SuccessProbability(now), succeeding.SuccessProbability(now)-0.3)
}

func TestFailureLosesWeightOverTime(t *testing.T) {
	now := time.Unix(0, 0)
	e := NewModel().NewEstimate(now)
	e.Observe(now, true, 1)
	after := e.SuccessProbability(now)
	later := e.SuccessProbability(now.Add(10 * time.Second))
	assert.Greater(t, later, after+0.2)
}

func TestWeightReducesEvidence(t *testing.T) {
	now := time.Unix(0, 0)
	m := NewModel()
	full, weak := m.NewEstimate(now), m.NewEstimate(now)
	weak.Observe(now, true, 0.3)
	full.Observe(now, true, 1)
	assert.Greater(t, weak.SuccessProbability(now), full.SuccessProbability(now))
}

// TestBestEstimateFailsLessThanRandomChoice simulates servers that turn gray and recover. Choosing the server with the best
// estimate must fail less than a quarter as often as choosing at random.
func TestBestEstimateFailsLessThanRandomChoice(t *testing.T) {
	const servers, rate = 10, 40
	for _, parameters := range []struct{ turnGray, recover, failureRate float64 }{{0.15, 0.35, 0.75}, {0.05, 0.2, 0.95}} {
		random := rand.New(rand.NewPCG(1, 2))
		now := time.Unix(0, 0)
		m := NewModel()
		gray := make([]bool, servers)
		estimates := make([]*Estimate, servers)
		for i := range estimates {
			estimates[i] = m.NewEstimate(now)
		}
		failedBest, failedRandom, total := 0, 0, 0
		for range 60 * rate {
			step := 1.0 / rate
			now = now.Add(time.Second / rate)
			for i := range gray {
				switch {
				case gray[i] && random.Float64() < parameters.recover*step:
					gray[i] = false
				case !gray[i] && random.Float64() < parameters.turnGray*step:
					gray[i] = true
				}
			}
			fails := func(i int) bool {
				return gray[i] && random.Float64() < parameters.failureRate || random.Float64() < healthyFailureRate
			}
			best := 0
			for i := range estimates {
				if estimates[i].SuccessProbability(now) > estimates[best].SuccessProbability(now) {
					best = i
				}
			}
			bestFailed := fails(best)
			estimates[best].Observe(now, bestFailed, 1)
			total++
			if bestFailed {
				failedBest++
			}
			if fails(random.IntN(servers)) {
				failedRandom++
			}
		}
		require.Greater(t, failedRandom, total/10)
		assert.Less(t, 4*failedBest, failedRandom, "of %d requests: %d failed on the server with the best estimate, %d on a random server", total, failedBest, failedRandom)
	}
}
