package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azuretiller/azuretiller/pkg/figures"
)

const (
	// ejectAfterFailures is the number of consecutive failures after which the baseline ejects a server.
	ejectAfterFailures = 5
	vmCount            = 40
)

// baselineDetectionTime returns the time until half of the VMs, each of which counts failures on its own, have seen enough
// consecutive failures to eject a server.
func baselineDetectionTime(random *rand.Rand, perSecond, failureRate float64, vms int) time.Duration {
	var elapsed float64
	failuresInRow := make([]int, vms)
	vmsEjected := 0
	for elapsed < 600 {
		elapsed += random.ExpFloat64() / perSecond
		vm := random.IntN(vms)
		if failuresInRow[vm] >= ejectAfterFailures {
			continue
		}
		if random.Float64() >= failureRate {
			failuresInRow[vm] = 0
			continue
		}
		failuresInRow[vm]++
		if failuresInRow[vm] == ejectAfterFailures {
			vmsEjected++
		}
		if 2*vmsEjected >= vms {
			break
		}
	}
	return time.Duration(elapsed * float64(time.Second))
}

// TestFigureBaselines measures ejection by consecutive failures, counted in one place or on each VM separately.
func TestFigureBaselines(t *testing.T) {
	figures.SkipUnlessEnabled(t)
	random := rand.New(rand.NewPCG(1, 1))
	for _, perSecond := range []float64{10, 2} {
		for _, vms := range []int{1, vmCount} {
			var times []time.Duration
			for range 200 {
				times = append(times, baselineDetectionTime(random, perSecond, 0.5, vms))
			}
			figures.Print(fmt.Sprintf("baseline: %d failures in a row at %d VMs, half of the work fails, %.0f/s", ejectAfterFailures, vms, perSecond),
				fmt.Sprintf("p50 %s p99 %s", figures.Quantile(times, 0.5).Round(100*time.Millisecond), figures.Quantile(times, 0.99).Round(100*time.Millisecond)), "-", "is one")
		}
	}
}
