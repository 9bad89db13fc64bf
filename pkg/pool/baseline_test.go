package pool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/azuretiller/azuretiller/pkg/figures"
)

const (
	// consecutive is the number of failures in a row after which the baseline ejects a server.
	consecutive = 5
	fleetSize   = 40
)

// baselineTime is how long it takes until failures in a row are seen by enough of the VMs that each decide alone.
func baselineTime(random *rand.Rand, perSecond, fail float64, vms int) time.Duration {
	var elapsed float64
	rows := make([]int, vms)
	out := 0
	for elapsed < 600 {
		elapsed += random.ExpFloat64() / perSecond
		vm := random.IntN(vms)
		if rows[vm] >= consecutive {
			continue
		}
		if random.Float64() >= fail {
			rows[vm] = 0
			continue
		}
		rows[vm]++
		if rows[vm] == consecutive {
			out++
		}
		if 2*out >= vms {
			break
		}
	}
	return time.Duration(elapsed * float64(time.Second))
}

// TestFigureBaselines measures counting failures in a row, at one place and at every VM alone.
func TestFigureBaselines(t *testing.T) {
	figures.Need(t)
	random := rand.New(rand.NewPCG(1, 1))
	for _, perSecond := range []float64{10, 2} {
		for _, vms := range []int{1, fleetSize} {
			var times []time.Duration
			for range 200 {
				times = append(times, baselineTime(random, perSecond, 0.5, vms))
			}
			figures.Print(fmt.Sprintf("baseline: %d failures in a row at %d VMs, half of the work fails, %.0f/s", consecutive, vms, perSecond),
				fmt.Sprintf("p50 %s p99 %s", figures.Quantile(times, 0.5).Round(100*time.Millisecond), figures.Quantile(times, 0.99).Round(100*time.Millisecond)), "-", "is one")
		}
	}
}
