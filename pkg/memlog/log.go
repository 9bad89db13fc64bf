package memlog

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
)

// ErrOut is returned while the log is out, and for answers that are lost.
var ErrOut = errors.New("the log does not answer")

// Log keeps the newest entries.
type Log struct {
	mu      sync.Mutex
	entries []azuretiller.Entry
	next    azuretiller.Offset
	keep    int
	out     bool
	// lose is the number of coming appends whose answers are lost after they took effect.
	lose    int
	appends int
}

// New returns an empty log that keeps the given number of entries, or all when it is zero.
func New(keep int) *Log {
	return &Log{next: 1, keep: keep}
}

// Append adds an entry.
func (l *Log) Append(_ context.Context, data []byte) (azuretiller.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out {
		return 0, ErrOut
	}
	offset := l.next
	l.next++
	l.appends++
	l.entries = append(l.entries, azuretiller.Entry{Offset: offset, Data: data})
	if l.keep > 0 && len(l.entries) > l.keep {
		l.entries = append([]azuretiller.Entry(nil), l.entries[len(l.entries)-l.keep:]...)
	}
	if l.lose > 0 {
		l.lose--
		return 0, ErrOut
	}
	return offset, nil
}

// Read returns entries from an offset on and the oldest offset that is kept.
func (l *Log) Read(_ context.Context, from azuretiller.Offset, most int) ([]azuretiller.Entry, azuretiller.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out {
		return nil, 0, ErrOut
	}
	oldest := l.next - azuretiller.Offset(len(l.entries))
	start := max(from, oldest) - oldest
	if int(start) >= len(l.entries) {
		return nil, oldest, nil
	}
	rest := l.entries[start:]
	return append([]azuretiller.Entry(nil), rest[:min(most, len(rest))]...), oldest, nil
}

// SetOut switches an outage on or off.
func (l *Log) SetOut(out bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.out = out
}

// LoseAnswers makes the answers of the next appends be lost after they took effect.
func (l *Log) LoseAnswers(count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = count
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}
