package memlog

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
)

// ErrUnavailable is returned during an outage, and for appends whose answer is lost.
var ErrUnavailable = errors.New("the log does not answer")

// Log is an append-only log that keeps the newest entries.
type Log struct {
	mu          sync.Mutex
	entries     []azuretiller.LogEntry
	next        azuretiller.Offset
	keep        int
	unavailable bool
	// responsesToDrop is the number of further appends that take effect but return an error.
	responsesToDrop int
	appends         int
}

// New returns an empty log that keeps the given number of entries, or all entries if keep is zero.
func New(keep int) *Log {
	return &Log{next: 1, keep: keep}
}

// Append adds an entry and returns its offset.
func (l *Log) Append(_ context.Context, data []byte) (azuretiller.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return 0, ErrUnavailable
	}
	offset := l.next
	l.next++
	l.appends++
	l.entries = append(l.entries, azuretiller.LogEntry{Offset: offset, Data: data})
	if l.keep > 0 && len(l.entries) > l.keep {
		l.entries = append([]azuretiller.LogEntry(nil), l.entries[len(l.entries)-l.keep:]...)
	}
	if l.responsesToDrop > 0 {
		l.responsesToDrop--
		return 0, ErrUnavailable
	}
	return offset, nil
}

// Read returns at most limit entries from an offset on, and the oldest offset that is kept.
func (l *Log) Read(_ context.Context, from azuretiller.Offset, limit int) ([]azuretiller.LogEntry, azuretiller.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return nil, 0, ErrUnavailable
	}
	oldest := l.next - azuretiller.Offset(len(l.entries))
	start := max(from, oldest) - oldest
	if int(start) >= len(l.entries) {
		return nil, oldest, nil
	}
	rest := l.entries[start:]
	return append([]azuretiller.LogEntry(nil), rest[:min(limit, len(rest))]...), oldest, nil
}

// SetUnavailable begins or ends an outage, during which all calls fail.
func (l *Log) SetUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
}

// DropResponses makes the next count appends take effect but return an error.
func (l *Log) DropResponses(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responsesToDrop = count
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}
