package rollout

import (
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// keptDurations is the number of durations for each route that are kept.
	keptDurations = 200
	// minDurations is the number of durations below which durations say nothing.
	minDurations = 5
	// densityBins and densityBinWidth describe a histogram over the logarithm of the duration, from densityLow on.
	densityBins     = 120
	densityBinWidth = 0.1
	densityLow      = time.Millisecond
	// densityBandwidth is the standard deviation of the kernel by which the histogram is smoothed.
	densityBandwidth = 0.25
	// densityFloor is the part of the density that is even over all durations. It limits what a single duration can say.
	densityFloor = 0.15
	// refreshInterval is the least time between two computations of the density.
	refreshInterval = 200 * time.Millisecond
)

// durations is the distribution of the durations of recent successful attempts on old servers.
type durations struct {
	kept []time.Duration
	next int
	// sorted and density describe the durations as of refreshed.
	sorted    []time.Duration
	density   [densityBins]float64
	refreshed time.Time
}

func (d *durations) add(took time.Duration) {
	if len(d.kept) < keptDurations {
		d.kept = append(d.kept, took)
		return
	}
	d.kept[d.next] = took
	d.next = (d.next + 1) % keptDurations
}

// refresh computes the density from the durations.
func (d *durations) refresh(now time.Time) {
	if len(d.kept) < minDurations || now.Sub(d.refreshed) < refreshInterval {
		return
	}
	d.refreshed = now
	d.sorted = slices.Clone(d.kept)
	slices.Sort(d.sorted)
	for i := range d.density {
		d.density[i] = densityFloor / (densityBins * densityBinWidth)
	}
	norm := (1 - densityFloor) / (float64(len(d.kept)) * densityBandwidth * math.Sqrt(2*math.Pi))
	reach := int(math.Ceil(3 * densityBandwidth / densityBinWidth))
	for _, took := range d.kept {
		position := binPosition(took)
		for i := max(0, int(position)-reach); i <= min(densityBins-1, int(position)+reach+1); i++ {
			distance := (float64(i) - position) * densityBinWidth / densityBandwidth
			d.density[i] += norm * math.Exp(-distance*distance/2)
		}
	}
}

func binPosition(took time.Duration) float64 {
	return math.Log(float64(max(took, densityLow))/float64(densityLow)) / densityBinWidth
}

// known reports whether there are enough durations.
func (d *durations) known() bool { return len(d.sorted) > 0 }

// densityAt returns the density of the logarithm of the duration.
func (d *durations) densityAt(took time.Duration) float64 {
	position := min(binPosition(took), densityBins-1.001)
	i := int(position)
	part := position - float64(i)
	return d.density[i]*(1-part) + d.density[i+1]*part
}

// exceeds returns the share of durations that are longer, which is never quite zero.
func (d *durations) exceeds(took time.Duration) float64 {
	shorter := sort.Search(len(d.sorted), func(i int) bool { return d.sorted[i] > took })
	return (float64(len(d.sorted)-shorter) + 0.5) / float64(len(d.sorted)+1)
}

// quantile returns the duration that is longer than the given share of the durations.
func (d *durations) quantile(share float64) time.Duration {
	return d.sorted[int(share*float64(len(d.sorted)-1))]
}
