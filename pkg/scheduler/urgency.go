package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

const (
	// demandWindow is the time over which the demand of each urgency is averaged. It is long enough for routes with a few requests a second.
	demandWindow = 2 * time.Second
	// minLeftShare is the smallest share of the slots that is assumed to be left by more urgent requests. It bounds the estimated wait.
	minLeftShare = 0.05
	// maxRetryAfter bounds the Retry-After times that follow from the expected wait.
	maxRetryAfter = 500 * time.Millisecond
	// urgentRetryReserve is the share of the retry budget that is kept for requests that are more urgent than others.
	urgentRetryReserve = 0.6
	// minUrgentDemand is the demand of more urgent requests, in slots, from which a part of the retry budget is kept for them.
	minUrgentDemand = 0.05
)

// urgency returns the place of a request in the order in which requests get slots, 0 for the most urgent. Of the same priority, requests
// that other services could have run yield to those that belong to this one.
func (r Request) urgency() int {
	if r.Shared {
		return 2*r.Priority + 1
	}
	return 2 * r.Priority
}

// demand is the moving average of the slots that requests of one urgency take.
type demand struct {
	urgency int
	// slotTime is the service time of the admitted requests, in seconds, each of which fades within demandWindow.
	slotTime float64
	at       time.Time
}

func (d *demand) slots(now time.Time) float64 {
	d.slotTime *= math.Exp(-now.Sub(d.at).Seconds() / demandWindow.Seconds())
	d.at = now
	return d.slotTime / demandWindow.Seconds()
}

// countDemand records that a request was admitted. Only urgentDemand uses it.
func (sc *Scheduler) countDemand(now time.Time, r Request) {
	if !sc.params.FavorUrgent {
		return
	}
	i, found := slices.BinarySearchFunc(sc.demands, r.urgency(), func(d *demand, u int) int { return d.urgency - u })
	if !found {
		sc.demands = slices.Insert(sc.demands, i, &demand{urgency: r.urgency(), at: now})
	}
	sc.demands[i].slots(now)
	sc.demands[i].slotTime += sc.serviceTimeOf(r.Route).Seconds()
}

// urgentDemand returns how many slots the requests take that are more urgent than a request.
func (sc *Scheduler) urgentDemand(now time.Time, r Request) float64 {
	sum := 0.0
	if !sc.params.FavorUrgent {
		return sum
	}
	for _, d := range sc.demands {
		if d.urgency < r.urgency() {
			sum += d.slots(now)
		}
	}
	return sum
}

// retryAfter returns the Retry-After time of a request whose expected wait is too long. What arrives later is not known, so the time is
// bounded: a burst may end sooner.
func (sc *Scheduler) retryAfter(wait time.Duration) time.Duration {
	if !sc.params.FavorUrgent {
		return wait
	}
	return max(min(wait, maxRetryAfter), sc.drainTime())
}

// Refusal says why there is too little capacity for a request.
type Refusal string

const (
	// WaitTooLong means that the request would wait for a slot until it is too late.
	WaitTooLong Refusal = "wait too long"
	// NoRetries means that the retry budget is spent.
	NoRetries Refusal = "retry budget spent"
	// RetriesReserved means that the rest of the retry budget is kept for more urgent requests.
	RetriesReserved Refusal = "retry budget reserved"
)

// withdrawRetry takes a retry for a request from the retry budget. While more urgent requests are served as well, a part is kept for them.
// It returns an empty Refusal if there was a retry.
func (sc *Scheduler) withdrawRetry(now time.Time, r Request) Refusal {
	switch {
	case sc.retryBudget.Remaining() < urgentRetryReserve && sc.urgentDemand(now, r) > minUrgentDemand:
		return RetriesReserved
	case !sc.retryBudget.Withdraw():
		return NoRetries
	}
	return ""
}

func (sc *Scheduler) refuse(now time.Time, r Request, why Refusal, wait time.Duration) Decision {
	d := sc.reject(now, r, azuretiller.CodeOverloaded, wait)
	d.Refusal = why
	return d
}
