package demo

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/azuretiller/azuretiller"
)

const (
	histogramMax    = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// recorder records what callers were told, to be compared with what the backend servers ran.
type recorder struct {
	mu            sync.Mutex
	codes         map[azuretiller.Code]int
	teams         map[string]*teamCalls
	addedLatency  *hdrhistogram.Histogram
	queueTime     *hdrhistogram.Histogram
	outcomes      map[string]callOutcome
	mismatches    []string
	lastSuccesses map[string]time.Time
	unanswered    int
	noResponse    int
}

// teamCalls is how one team fared.
type teamCalls struct {
	Total   int
	Done    int
	Refused int
}

// callOutcome is what the caller was told about work that may run only once.
type callOutcome struct {
	done   bool
	notRun bool
}

func newRecorder() *recorder {
	return &recorder{
		codes:         map[azuretiller.Code]int{},
		teams:         map[string]*teamCalls{},
		addedLatency:  hdrhistogram.New(1, histogramMax, histogramDigits),
		queueTime:     hdrhistogram.New(1, histogramMax, histogramDigits),
		outcomes:      map[string]callOutcome{},
		lastSuccesses: map[string]time.Time{},
	}
}

func (l *recorder) recordAttempt(team string, _ call, r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.err != nil {
		l.noResponse++
		return
	}
	l.codes[r.code]++
	if r.code != azuretiller.CodeOK {
		return
	}
	l.lastSuccesses[team] = time.Now()
	_ = l.addedLatency.RecordValue((r.total - r.server - r.queue).Microseconds())
	_ = l.queueTime.RecordValue(r.queue.Microseconds())
}

// recordOutcome records the end of one piece of work; ran tells that some send may have run.
func (l *recorder) recordOutcome(team string, w call, r result, ran bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.teams[team]
	if t == nil {
		t = &teamCalls{}
		l.teams[team] = t
	}
	t.Total++
	done := r.err == nil && r.outcome == azuretiller.Done.String()
	switch {
	case done:
		t.Done++
	case r.code == azuretiller.CodeRateExceeded || r.code == azuretiller.CodeRateUnavailable:
		t.Refused++
	case r.code == azuretiller.CodeUnknownKey && team == withdrawnKeyTeam:
	default:
		if w.idempotent {
			l.unanswered++
		}
	}
	if !w.idempotent {
		l.outcomes[w.id] = callOutcome{done: done, notRun: !done && !ran}
	}
}

func (l *recorder) recordMismatch(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mismatches = append(l.mismatches, text)
}

func (l *recorder) lastSuccess(team string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastSuccesses[team]
}
