package ramp

import (
	"math"
	"time"

	"github.com/azuretiller/azuretiller"
)

const (
	// windowSize is the number of responses of a route over which one mean latency is computed.
	windowSize = 30
	// warmingRatio is the ratio of the mean latencies of two consecutive windows below which the server is still warming up.
	warmingRatio = 0.93
	// stepSamples is the number of responses after an increase of the limit that decide whether it is reverted.
	stepSamples = 8
	// minSteadyWindows is the number of consecutive windows without a fall in latency after which the limit is increased.
	minSteadyWindows = 2
	// overloadRatio is the ratio of the latency after an increase to that before it above which the server counts as overloaded.
	overloadRatio = 1.6
	// initialBackoff and maxBackoff are the first and the longest time without requests after a server at limit one sheds load.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// initialStepDelay and maxStepDelay are the first and the longest time without an increase after the server was overloaded.
	initialStepDelay = time.Second
	maxStepDelay     = time.Minute
)

// Ramp is the concurrency limit of one backend server. The limit is increased by one when the latency no longer falls,
// which shows that the server has stopped warming up at this limit. It is lowered as soon as the server sheds load or
// its latency rises after an increase.
type Ramp struct {
	limit  int
	slots  int
	routes map[azuretiller.RouteID]*latencyWindows
	// stepSamplesLeft is the number of responses that are still needed to evaluate the last increase, and zero when there is
	// none to evaluate.
	stepSamplesLeft int
	// stepSlowdown sums the log latencies since the last increase, each minus the mean log latency of its route before it.
	stepSlowdown float64
	backoff      time.Duration
	backoffUntil time.Time
	stepDelay    time.Duration
	nextStepAt   time.Time
	coldSince    time.Time
}

// latencyWindows computes the mean logarithm of a route's latency over consecutive windows of windowSize responses.
type latencyWindows struct {
	sum              float64
	count            int
	lastMean         float64
	completedWindows int
	// steadyWindows counts the consecutive windows whose latency did not fall.
	steadyWindows int
}

// New returns a ramp whose limit starts at one request and rises to the server's slots at most.
func New(slots int, now time.Time) *Ramp {
	r := &Ramp{slots: max(slots, 1)}
	r.Reset(now)
	return r
}

// Limit returns how many requests the server may run at once now. It is zero during a backoff.
func (r *Ramp) Limit(now time.Time) int {
	if now.Before(r.backoffUntil) {
		return 0
	}
	return r.limit
}

// BaseLimit returns the limit regardless of a backoff.
func (r *Ramp) BaseLimit() int { return r.limit }

// Warm reports whether the limit has reached the server's slots.
func (r *Ramp) Warm() bool { return r.limit >= r.slots }

// ColdSince returns when the server was last treated as cold.
func (r *Ramp) ColdSince() time.Time { return r.coldSince }

// SetSlots changes the number of slots.
func (r *Ramp) SetSlots(slots int) {
	r.slots = max(slots, 1)
	r.limit = min(r.limit, r.slots)
}

// Reset treats the server as cold. The delay after the next overload is initialStepDelay again.
func (r *Ramp) Reset(now time.Time) {
	r.setLimit(1)
	r.stepDelay = 0
	r.coldSince = now
}

// RaiseTo raises the limit to one that the server has sustained before. It does not lower the limit.
func (r *Ramp) RaiseTo(limit int) {
	if limit = min(limit, r.slots); limit > r.limit {
		r.setLimit(limit)
	}
}

func (r *Ramp) setLimit(limit int) {
	r.limit = limit
	r.routes = map[azuretiller.RouteID]*latencyWindows{}
	r.stepSamplesLeft = 0
}

// ObserveSuccess records the latency of a successful response and increases the limit if the latency has settled.
func (r *Ramp) ObserveSuccess(now time.Time, route azuretiller.RouteID, latency time.Duration) {
	r.backoff = 0
	if r.Warm() && r.stepSamplesLeft == 0 {
		return
	}
	logLatency := math.Log(float64(max(latency, time.Microsecond)))
	w := r.routes[route]
	if w == nil {
		w = &latencyWindows{}
		r.routes[route] = w
	}
	if r.stepSamplesLeft > 0 {
		r.evaluateStep(now, w, logLatency)
		return
	}
	if w.add(logLatency) && !now.Before(r.nextStepAt) {
		r.raiseLimit()
	}
}

// add records one latency. It reports true if the latency completes a window and at least minSteadyWindows consecutive
// windows have shown no fall.
func (w *latencyWindows) add(logLatency float64) bool {
	w.sum += logLatency
	w.count++
	if w.count < windowSize {
		return false
	}
	mean := w.sum / float64(w.count)
	if w.completedWindows > 0 && mean >= w.lastMean+math.Log(warmingRatio) {
		w.steadyWindows++
	} else {
		w.steadyWindows = 0
	}
	w.lastMean = mean
	w.completedWindows++
	w.sum = 0
	w.count = 0
	return w.steadyWindows >= minSteadyWindows
}

func (r *Ramp) raiseLimit() {
	r.limit++
	r.stepSamplesLeft = stepSamples
	r.stepSlowdown = 0
}

// evaluateStep compares the latencies after an increase with the mean before it; routes without a mean are ignored. If the server
// is overloaded, it reverts the increase and doubles the delay of the next one.
func (r *Ramp) evaluateStep(now time.Time, w *latencyWindows, logLatency float64) {
	if w.completedWindows == 0 {
		return
	}
	r.stepSlowdown += logLatency - w.lastMean
	r.stepSamplesLeft--
	if r.stepSamplesLeft > 0 {
		return
	}
	if r.stepSlowdown/stepSamples > math.Log(overloadRatio) {
		r.setLimit(r.limit - 1)
		r.stepDelay = min(max(initialStepDelay, 2*r.stepDelay), maxStepDelay)
		r.nextStepAt = now.Add(r.stepDelay)
		return
	}
	// The increase is kept. Its latencies are measured in new windows.
	for _, other := range r.routes {
		other.sum = 0
		other.count = 0
		other.steadyWindows = 0
	}
}

// MarkCold treats a server as cold again because its responses became slow.
func (r *Ramp) MarkCold(now time.Time) {
	r.setLimit(1)
	r.coldSince = now
}

// ObserveShed records that the server rejected a request because of overload. It halves the limit, or backs off for an
// exponentially growing time if the limit is one.
func (r *Ramp) ObserveShed(now time.Time) {
	if r.limit > 1 {
		r.setLimit(max(1, r.limit/2))
		r.stepDelay = min(max(initialStepDelay, 2*r.stepDelay), maxStepDelay)
		r.nextStepAt = now.Add(r.stepDelay)
		return
	}
	r.backoff = min(max(initialBackoff, 2*r.backoff), maxBackoff)
	r.backoffUntil = now.Add(r.backoff)
}
