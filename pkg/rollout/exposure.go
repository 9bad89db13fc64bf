package rollout

import (
	"math"
	"time"
)

// exposure accounts for the attempts on target servers. Attempts are taken from blocks that the store has confirmed.
type exposure struct {
	params Params
	// started and cutoverAt limit the time over which the slack is spread.
	started, cutoverAt time.Time
	// requests is a lower bound of the requests that reached the service, and counted those of them that this leader counted since
	// countedSince.
	requests, counted int
	countedSince      time.Time
	// successor means that a former leader reserved attempts.
	successor bool
	// suspicious means that more evidence is needed soon.
	suspicious bool
	// slots is the mean number of slots of a target server.
	slots int
	// confirmed is the stored high-water mark, and attempted the largest one that may have been stored.
	confirmed, attempted int
	// used counts the attempts, including all that former leaders reserved; placed counts those of this leader.
	used, placed int
}

// bound returns the number of attempts that are allowed up to now.
func (e *exposure) bound() float64 {
	return exposureMargin * (e.params.ExposeShare*float64(e.requests) + e.params.ExposeSlack)
}

// paced returns the part of the bound that the trial may use up to now.
func (e *exposure) paced(now time.Time) float64 {
	elapsed := now.Sub(e.started).Seconds() / max(e.cutoverAt.Sub(e.started).Seconds(), 1)
	if !now.Before(e.cutoverAt) {
		// The verdict is due, and the evidence was not clear.
		return e.bound()
	}
	if e.suspicious {
		elapsed += suspicionAdvance
	}
	slackPart := initialSlack + (1-initialSlack)*math.Pow(min(1, max(0, elapsed)), slackExponent)
	if e.successor {
		return exposureMargin * (successorRequestShare*e.params.ExposeShare*float64(e.requests) + successorSlackShare*e.params.ExposeSlack)
	}
	return exposureMargin * (trialRequestShare*e.params.ExposeShare*float64(e.requests) + trialSlackShare*slackPart*e.params.ExposeSlack)
}

// available returns the number of attempts that may be placed now.
func (e *exposure) available(now time.Time) int {
	return min(e.confirmed, int(e.paced(now))) - e.used
}

// requestRate returns the requests a second that this leader counts.
func (e *exposure) requestRate(now time.Time) float64 {
	return float64(e.counted) / max(now.Sub(e.countedSince).Seconds(), 1)
}

// expected returns the number of attempts that the whole trial may use at the current rate of requests.
func (e *exposure) expected(now time.Time) float64 {
	requests := e.requestRate(now) * e.cutoverAt.Sub(e.started).Seconds()
	return exposureMargin * (trialRequestShare*e.params.ExposeShare*requests + trialSlackShare*e.params.ExposeSlack)
}

// rate returns the attempts a second that become available.
func (e *exposure) rate(now time.Time) float64 {
	return e.expected(now) / max(e.cutoverAt.Sub(e.started).Seconds(), 1)
}

// visitSize returns the number of attempts for each visit of a target server.
func (e *exposure) visitSize() int { return max(minVisit, e.slots+visitSurplus) }

// nextBlock returns the high-water mark to store next, if one is needed now and the bound allows it. It is never smaller than
// one that may have been stored.
func (e *exposure) nextBlock(now time.Time) (int, bool) {
	visit := e.visitSize()
	if e.confirmed-e.used >= visit || e.paced(now)+float64(visit) <= float64(e.confirmed) {
		return 0, false
	}
	block := max(visit+minBlockStep, int(math.Ceil(blockShare*e.expected(now))))
	mark := max(e.attempted, min(e.used+block, int(e.bound())))
	return mark, mark >= e.confirmed+minBlockStep || mark > e.confirmed && mark == e.attempted
}
