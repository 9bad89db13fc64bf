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
	minDurations = 10
	// densityBins and densityBinWidth describe a histogram over the logarithm of the duration, from densityLow on.
	densityBins     = 120
	densityBinWidth = 0.1
	densityLow      = time.Millisecond
	// leastDuration is the duration up to which all count as equal, since links between zones and new connections make up a large part of
	// shorter ones.
	leastDuration = 20 * time.Millisecond
	// bandwidthFactor scales the standard deviation of the kernel by which the histogram is smoothed (the rule of Silverman), and
	// minBandwidth is the smallest one.
	bandwidthFactor = 1.06
	minBandwidth    = 0.12
	// priorDeviation is the assumed standard deviation of the logarithm of the duration, worth priorDeviationCount durations.
	priorDeviation      = 0.5
	priorDeviationCount = 4
	// densityFloor is the part of the density that is even over all durations. It limits what a single duration can say.
	// It is larger while few durations are known, by fewDurations divided by their number.
	densityFloor = 0.1
	fewDurations = 2
	// minExceeding is the smallest probability of a longer duration.
	minExceeding = 0.02
	// settledAfter is the time from sending an attempt after which its duration counts. Without it, the first durations that a new
	// leader sees would be the short ones, as the long ones come later.
	settledAfter = 1500 * time.Millisecond
	// refreshInterval is the least time between two computations of the density.
	refreshInterval = 200 * time.Millisecond
)

// durations is the distribution of the durations of recent successful attempts on old servers.
type durations struct {
	kept []time.Duration
	next int
	// unsettled are the durations that do not count yet.
	unsettled []unsettledDuration
	// sorted and density describe the durations as of refreshed.
	sorted    []time.Duration
	density   [densityBins]float64
	refreshed time.Time
}

type unsettledDuration struct {
	sent time.Time
	took time.Duration
}

func (d *durations) add(now time.Time, took time.Duration) {
	d.unsettled = append(d.unsettled, unsettledDuration{sent: now.Add(-took), took: took})
}

// settle takes the durations over that count from now on.
func (d *durations) settle(now time.Time) {
	d.unsettled = slices.DeleteFunc(d.unsettled, func(u unsettledDuration) bool {
		if now.Sub(u.sent) < settledAfter {
			return false
		}
		d.keep(u.took)
		return true
	})
}

func (d *durations) keep(took time.Duration) {
	if len(d.kept) < keptDurations {
		d.kept = append(d.kept, took)
		return
	}
	d.kept[d.next] = took
	d.next = (d.next + 1) % keptDurations
}

// refresh computes the density from the durations.
func (d *durations) refresh(now time.Time) {
	if now.Sub(d.refreshed) < refreshInterval {
		return
	}
	d.settle(now)
	if len(d.kept) < minDurations {
		return
	}
	d.refreshed = now
	d.sorted = slices.Clone(d.kept)
	slices.Sort(d.sorted)
	count := float64(len(d.kept))
	floor := densityFloor + fewDurations/count
	for i := range d.density {
		d.density[i] = floor / (densityBins * densityBinWidth)
	}
	bandwidth := d.bandwidth()
	norm := (1 - floor) / (count * bandwidth * math.Sqrt(2*math.Pi))
	reach := int(math.Ceil(3 * bandwidth / densityBinWidth))
	for _, took := range d.kept {
		position := binPosition(took)
		for i := max(0, int(position)-reach); i <= min(densityBins-1, int(position)+reach+1); i++ {
			distance := (float64(i) - position) * densityBinWidth / bandwidth
			d.density[i] += norm * math.Exp(-distance*distance/2)
		}
	}
}

// bandwidth returns the standard deviation of the kernel.
func (d *durations) bandwidth() float64 {
	sum, squares := 0.0, 0.0
	for _, took := range d.kept {
		x := binPosition(took) * densityBinWidth
		sum += x
		squares += x * x
	}
	count := float64(len(d.kept))
	variance := (squares - sum*sum/count + priorDeviationCount*priorDeviation*priorDeviation) / (count + priorDeviationCount)
	return max(minBandwidth, bandwidthFactor*math.Sqrt(variance)*math.Pow(count, -0.2))
}

func binPosition(took time.Duration) float64 {
	return math.Log(float64(max(took, leastDuration))/float64(densityLow)) / densityBinWidth
}

// known reports whether there are enough durations.
func (d *durations) known() bool { return len(d.sorted) > 0 }

// short reports whether most durations are so short that much longer ones would count as equal.
func (d *durations) short() bool { return d.known() && d.quantile(0.5) < leastDuration/2 }

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
	return max(minExceeding, (float64(len(d.sorted)-shorter)+0.5)/float64(len(d.sorted)+1))
}

// quantile returns the duration that is longer than the given share of the durations.
func (d *durations) quantile(share float64) time.Duration {
	return d.sorted[int(share*float64(len(d.sorted)-1))]
}
