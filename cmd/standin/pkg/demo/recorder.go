package demo

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/azuretiller/azuretiller"
)

const (
	histogramMaxMicroseconds = int64(time.Minute / time.Microsecond)
	histogramDigits          = 3
)

// recorder records the results that callers received. The report compares them with what the backend servers ran.
type recorder struct {
	mu    sync.Mutex
	codes map[azuretiller.Code]int
	teams map[string]*teamCounts
	// addedLatency is the time of successful attempts without the time in the queue and in the backend server.
	addedLatency *hdrhistogram.Histogram
	// queueTime is the time that successful attempts waited for a slot.
	queueTime *hdrhistogram.Histogram
	// outcomes holds the operations that are not idempotent, by ID.
	outcomes map[string]operationOutcome
	// mismatches describes responses that belong to another operation.
	mismatches    []string
	lastSuccesses map[string]time.Time
	// failedIdempotent counts idempotent operations that failed for another reason than the rate limit or the withdrawn key.
	failedIdempotent int
	// noResponse counts attempts without a complete response.
	noResponse int
}

// teamCounts counts the operations of one team.
type teamCounts struct {
	Total   int
	Done    int
	Refused int
}

// operationOutcome is the outcome that the caller received for an operation that is not idempotent.
type operationOutcome struct {
	done   bool
	notRun bool
}

func newRecorder() *recorder {
	return &recorder{
		codes:         map[azuretiller.Code]int{},
		teams:         map[string]*teamCounts{},
		addedLatency:  hdrhistogram.New(1, histogramMaxMicroseconds, histogramDigits),
		queueTime:     hdrhistogram.New(1, histogramMaxMicroseconds, histogramDigits),
		outcomes:      map[string]operationOutcome{},
		lastSuccesses: map[string]time.Time{},
	}
}

// recordAttempt records the result of one attempt.
func (rec *recorder) recordAttempt(team string, _ operation, r result) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if r.err != nil {
		rec.noResponse++
		return
	}
	rec.codes[r.code]++
	if r.code != azuretiller.CodeOK {
		return
	}
	rec.lastSuccesses[team] = time.Now()
	_ = rec.addedLatency.RecordValue((r.totalTime - r.serverTime - r.queueTime).Microseconds())
	_ = rec.queueTime.RecordValue(r.queueTime.Microseconds())
}

// recordOutcome records the last result of an operation. mayHaveRun is true if one of its attempts may have run.
func (rec *recorder) recordOutcome(team string, op operation, r result, mayHaveRun bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	counts := rec.teams[team]
	if counts == nil {
		counts = &teamCounts{}
		rec.teams[team] = counts
	}
	counts.Total++
	done := r.err == nil && r.outcome == azuretiller.Done.String()
	switch {
	case done:
		counts.Done++
	case r.code == azuretiller.CodeRateExceeded || r.code == azuretiller.CodeRateUnavailable:
		counts.Refused++
	case r.code == azuretiller.CodeUnknownKey && team == withdrawnKeyTeam:
	default:
		if op.idempotent {
			rec.failedIdempotent++
		}
	}
	if !op.idempotent {
		rec.outcomes[op.id] = operationOutcome{done: done, notRun: !done && !mayHaveRun}
	}
}

func (rec *recorder) recordMismatch(text string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.mismatches = append(rec.mismatches, text)
}

func (rec *recorder) lastSuccess(team string) time.Time {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.lastSuccesses[team]
}
