package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func meanLossRate(t *testing.T, w workload, newPlacer func(*simulation) placer) float64 {
	t.Helper()
	sum, seeds := 0.0, 5
	for seed := range seeds {
		got := simulate(w, uint64(seed), newPlacer)
		require.Positive(t, got.submitted)
		sum += got.lossRate()
	}
	return sum / float64(seeds)
}

// TestGrayServersWithNonIdempotentRequests simulates a service without idempotent requests while some of its servers are
// gray. In the first two cases about a third of the servers is gray at any time.
func TestGrayServersWithNonIdempotentRequests(t *testing.T) {
	for _, c := range []struct {
		name     string
		workload workload
		// maxOracleRatio is the allowed ratio of the loss rate to that of the oracle.
		maxOracleRatio float64
	}{
		{"high request rate", workload{servers: 16, requestRate: 60, serviceTime: 200 * time.Millisecond, grayRate: 0.11, recoveryRate: 0.26, grayFailureRate: 0.75}, 1.5},
		{"low request rate", workload{servers: 8, requestRate: 7, serviceTime: 160 * time.Millisecond, grayRate: 0.11, recoveryRate: 0.26, grayFailureRate: 0.75}, 1.5},
		{"few gray servers", workload{servers: 16, requestRate: 60, serviceTime: 200 * time.Millisecond, grayRate: 0.01, recoveryRate: 0.2, grayFailureRate: 0.9}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.workload.deadline = 2 * time.Second
			c.workload.duration = 100 * time.Second
			scheduler := meanLossRate(t, c.workload, newSchedulerPlacer)
			random := meanLossRate(t, c.workload, newRandomPlacer)
			ejection := meanLossRate(t, c.workload, newTwoSecondEjection)
			oracle := meanLossRate(t, c.workload, newOraclePlacer)
			t.Logf("loss rate: scheduler %.4f, ejection for 2 s %.4f, random %.4f, oracle %.4f", scheduler, ejection, random, oracle)
			assert.Less(t, scheduler, ejection)
			assert.Less(t, scheduler, c.maxOracleRatio*oracle)
		})
	}
}

// TestIdempotentRequestsSucceedDespiteGrayServers simulates idempotent requests, which are retried once on another server.
func TestIdempotentRequestsSucceedDespiteGrayServers(t *testing.T) {
	w := workload{servers: 8, requestRate: 20, serviceTime: 270 * time.Millisecond, grayRate: 0.11, recoveryRate: 0.26, grayFailureRate: 0.75, idempotent: true, deadline: 2 * time.Second, duration: 100 * time.Second}
	scheduler, random := meanLossRate(t, w, newSchedulerPlacer), meanLossRate(t, w, newRandomPlacer)
	t.Logf("loss rate: scheduler %.4f, random %.4f", scheduler, random)
	assert.Less(t, scheduler, 0.01)
	assert.Less(t, scheduler, random/4)
}

// TestBurstDoesNotReduceThroughput simulates a burst of four times the capacity. At least 95 % of the requests outside
// the burst plus 90 % of the capacity during the burst must be served, and 90 % of the answers must meet the target latency.
func TestBurstDoesNotReduceThroughput(t *testing.T) {
	w := workload{
		servers: 4, requestRate: 40, serviceTime: 200 * time.Millisecond, deadline: 2 * time.Second, duration: 30 * time.Second,
		rateFactor: func(at time.Duration) float64 {
			if at > 10*time.Second && at < 15*time.Second {
				return 6
			}
			return 1
		},
	}
	got := simulate(w, 1, newSchedulerPlacer)
	t.Logf("%+v", got)
	const capacity = 4 * 3 / 0.2
	assert.Greater(t, float64(got.served), 40*25*0.95+capacity*5*0.9)
	// 2 in 100 requests take longer than the target latency on the server alone.
	assert.Greater(t, float64(got.inTime), 0.9*float64(got.served))
}

// TestSheddingDoesNotHideGrayServers simulates a service in which all servers shed about half of their requests while some
// are gray. A request that was shed can go to another server, but a request that a gray server fails is lost. If shedding
// counted as failure, gray servers would look no worse than healthy ones and more requests would fail.
func TestSheddingDoesNotHideGrayServers(t *testing.T) {
	w := workload{servers: 16, requestRate: 60, serviceTime: 200 * time.Millisecond, grayRate: 0.04, recoveryRate: 0.1, grayFailureRate: 0.75, deadline: 2 * time.Second, duration: 60 * time.Second}
	failedWithoutShedding, failedWithShedding := 0, 0
	for seed := range uint64(5) {
		w.shedShare = 0
		failedWithoutShedding += simulate(w, seed, newSchedulerPlacer).failed
		w.shedShare = 0.55
		got := simulate(w, seed, newSchedulerPlacer)
		t.Logf("%+v", got)
		failedWithShedding += got.failed
	}
	t.Logf("failed requests: %d without shedding, %d while all servers shed", failedWithoutShedding, failedWithShedding)
	assert.LessOrEqual(t, failedWithShedding, failedWithoutShedding)
}
