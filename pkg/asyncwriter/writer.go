package asyncwriter

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/azuretiller/azuretiller/pkg/timer"
)

const (
	// most bounds the bytes of log lines that wait to be written.
	most = 256 << 10
	// flushGap is how long lines are collected before they are written together.
	flushGap = 100 * time.Millisecond
)

// Writer collects lines and writes them in the background; it drops and counts those that find no room.
type Writer struct {
	to   io.Writer
	wake chan struct{}

	mu      sync.Mutex
	buffer  bytes.Buffer
	dropped int
}

// New returns a writer that passes lines on to another one while Run runs.
func New(to io.Writer) *Writer { return &Writer{to: to, wake: make(chan struct{}, 1)} }

// Write takes one line; it never fails and never waits for the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.buffer.Len()+len(line) > most {
		w.dropped++
	} else {
		w.buffer.Write(line)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Run writes until the context ends, and then what is left.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return
		case <-w.wake:
		}
		timer.Pause(ctx, flushGap)
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.buffer.Bytes())
	dropped := w.dropped
	w.buffer.Reset()
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "level=warn message=\"log lines dropped\" lines=%d\n", dropped)
	}
	if len(lines) > 0 {
		// Nobody is left to be told that the log cannot be written.
		_, _ = w.to.Write(lines)
	}
}
