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
	// maxBufferedBytes limits the size of the log lines that are buffered.
	maxBufferedBytes = 256 << 10
	// flushDelay is how long lines are buffered before they are written together.
	flushDelay = 100 * time.Millisecond
)

// Writer buffers lines and writes them in the background. It drops and counts lines that exceed the buffer.
type Writer struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex
	buffer  bytes.Buffer
	dropped int
}

// New returns a writer that forwards lines to out while Run runs.
func New(out io.Writer) *Writer { return &Writer{out: out, wake: make(chan struct{}, 1)} }

// Write buffers one line. It never returns an error and never waits for the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.buffer.Len()+len(line) > maxBufferedBytes {
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

// Run writes buffered lines until the context ends, and then flushes the remaining ones.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.flush()
			return
		case <-w.wake:
		}
		timer.Sleep(ctx, flushDelay)
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
		// The error is ignored, because the log itself is the place where errors are reported.
		_, _ = w.out.Write(lines)
	}
}
