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

// ledger records what callers were told, to be compared with what the backend servers ran.
type ledger struct {
	mu      sync.Mutex
	codes   map[azuretiller.Code]int
	teams   map[string]*teamCount
	added   *hdrhistogram.Histogram
	waited  *hdrhistogram.Histogram
	fates   map[string]fate
	wrongs  []string
	lastOK  map[string]time.Time
	broken  int
	noReply int
}

// teamCount is how one team fared.
type teamCount struct {
	Wanted  int
	Done    int
	Refused int
}

// fate is what the caller was told about work that may run only once.
type fate struct {
	done   bool
	notRun bool
}

func newLedger() *ledger {
	return &ledger{
		codes:  map[azuretiller.Code]int{},
		teams:  map[string]*teamCount{},
		added:  hdrhistogram.New(1, histogramMax, histogramDigits),
		waited: hdrhistogram.New(1, histogramMax, histogramDigits),
		fates:  map[string]fate{},
		lastOK: map[string]time.Time{},
	}
}

func (l *ledger) sent(team string, _ work, r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.err != nil {
		l.noReply++
		return
	}
	l.codes[r.code]++
	if r.code != azuretiller.CodeOK {
		return
	}
	l.lastOK[team] = time.Now()
	_ = l.added.RecordValue((r.total - r.server - r.queue).Microseconds())
	_ = l.waited.RecordValue(r.queue.Microseconds())
}

// ended records the end of one piece of work; ran tells that some send may have run.
func (l *ledger) ended(team string, w work, r result, ran bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.teams[team]
	if t == nil {
		t = &teamCount{}
		l.teams[team] = t
	}
	t.Wanted++
	done := r.err == nil && r.outcome == azuretiller.Done.String()
	switch {
	case done:
		t.Done++
	case r.code == azuretiller.CodeRateExceeded || r.code == azuretiller.CodeRateUnavailable:
		t.Refused++
	case r.code == azuretiller.CodeUnknownKey && team == gonerTeam:
	default:
		if w.idempotent {
			l.broken++
		}
	}
	if !w.idempotent {
		l.fates[w.id] = fate{done: done, notRun: !done && !ran}
	}
}

func (l *ledger) wrong(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrongs = append(l.wrongs, text)
}

func (l *ledger) lastSuccess(team string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastOK[team]
}
