package pipeline

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/bytebudget"
)

// phase says what happens to what a handler writes.
type phase int

const (
	// recording means that it is kept until the turn of the response, as far as the limits allow.
	recording phase = iota
	// copying means that the recorded part is being sent to the caller.
	copying
	// passing means that it is sent to the caller at once.
	passing
	// dropped means that the caller does not get the response.
	dropped
)

var errDropped = errors.New("the response is not delivered")

// recorder is the response writer of a request that was read ahead.
type recorder struct {
	clock  azuretiller.Clock
	budget *bytebudget.Budget
	// unreported counts calls of afterTurn for dropped responses.
	unreported *atomic.Int64
	ctx        context.Context
	readAt     time.Time

	mu      sync.Mutex
	changed *sync.Cond
	header  http.Header
	phase   phase
	// status is 0 until the handler writes the header; sent is the header at that time.
	status  int
	sent    http.Header
	readyAt time.Time
	data    []byte
	// flushed is the size of the part of data that the handler flushed, or -1 if it flushed nothing.
	flushed int
	// caller is the writer to the caller during the phases copying and passing.
	caller http.ResponseWriter
	// turn is when the earlier responses had been sent, or zero before.
	turn time.Time
	// deadlineSetAt is when the handler set the deadline.
	writeDeadline, deadlineSetAt time.Time
	// stalled is how long writes of the handler have waited for the turn.
	stalled time.Duration
	// finished means that the handler returned; panicked is the value with which it panicked.
	finished bool
	panicked any
	// waited is how long the response waited for its turn.
	waited    time.Duration
	afterTurn func(waited time.Duration, delivered bool)
	// writeErr is the error with which the recorded part could not be sent.
	writeErr error
}

func newRecorder(ctx context.Context, l *Listener, readAt time.Time) *recorder {
	r := &recorder{
		clock: l.common.Clock, budget: l.responses, unreported: &l.unreported, ctx: ctx, readAt: readAt,
		header: http.Header{}, flushed: -1,
	}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// run calls the handler.
func (r *recorder) run(h http.Handler, request *http.Request) {
	stop := context.AfterFunc(r.ctx, r.wake)
	defer stop()
	defer func() {
		panicked := recover()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.finished, r.panicked = true, panicked
		r.changed.Broadcast()
	}()
	h.ServeHTTP(r, request)
}

func (r *recorder) wake() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed.Broadcast()
}

// ReadAt returns the time at which the request was read.
func (r *recorder) ReadAt() time.Time { return r.readAt }

// AfterTurn calls f once: when the recorded part of the response has been sent, or when the response is dropped. The handler calls it last. If
// the response is not delivered, WriteErr or the cause of the context of the request says why.
func (r *recorder) AfterTurn(f func(waited time.Duration, delivered bool)) {
	r.mu.Lock()
	if r.phase == recording || r.phase == copying {
		r.afterTurn = f
		r.mu.Unlock()
		return
	}
	waited, delivered := r.waited, r.isDelivered()
	r.mu.Unlock()
	f(waited, delivered)
}

func (r *recorder) isDelivered() bool { return r.phase != dropped && r.writeErr == nil }

// WriteErr returns the error with which the recorded part of the response could not be sent.
func (r *recorder) WriteErr() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writeErr
}

// Header returns the header of the response.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader records the status and the header. Informational responses are not recorded.
func (r *recorder) WriteHeader(status int) {
	if status < http.StatusOK {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeHeader(status)
}

func (r *recorder) writeHeader(status int) {
	if r.status != 0 {
		return
	}
	r.status, r.sent, r.readyAt = status, r.header.Clone(), r.clock.Now()
	r.changed.Broadcast()
}

// Write records a part of the body, or waits for the turn of the response and sends it.
func (r *recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	r.writeHeader(http.StatusOK)
	if r.phase == recording && len(r.data)+len(p) <= maxResponse && r.budget.Take(int64(len(p))) {
		r.data = append(r.data, p...)
		r.mu.Unlock()
		return len(p), nil
	}
	err := r.awaitPassing()
	caller := r.caller
	r.mu.Unlock()
	if err != nil {
		return 0, err
	}
	return caller.Write(p)
}

// awaitPassing waits until the recorded part has been sent. The deadlines of the earlier responses bound the wait for the turn, and the end of the
// connection cancels the context.
func (r *recorder) awaitPassing() error {
	if r.turn.IsZero() {
		r.awaitTurn()
	}
	for r.phase != passing {
		switch {
		case r.phase == dropped:
			return errDropped
		case r.ctx.Err() != nil:
			return r.ctx.Err()
		}
		r.changed.Wait()
	}
	return nil
}

// awaitTurn waits until the turn of the response comes, or it is known not to come.
func (r *recorder) awaitTurn() {
	started := r.clock.Now()
	for r.turn.IsZero() && r.phase != dropped && r.ctx.Err() == nil {
		r.changed.Wait()
	}
	r.stalled += r.clock.Now().Sub(started)
}

// Stalled returns how long writes of the handler have waited for the turn of the response.
func (r *recorder) Stalled() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stalled
}

// Flush sends what net/http has buffered when the turn of the response has come.
func (r *recorder) Flush() {
	r.mu.Lock()
	r.writeHeader(http.StatusOK)
	switch r.phase {
	case recording:
		r.flushed = len(r.data)
	case copying:
		_ = r.awaitPassing()
	}
	caller := r.caller
	r.mu.Unlock()
	if caller != nil {
		_ = http.NewResponseController(caller).Flush()
	}
}

// SetWriteDeadline limits the time of writes to the caller. Before the turn of the response, the time that is left does not run, since the caller
// cannot read the response yet.
func (r *recorder) SetWriteDeadline(t time.Time) error {
	r.mu.Lock()
	r.writeDeadline, r.deadlineSetAt = t, r.clock.Now()
	caller := r.caller
	r.mu.Unlock()
	if caller == nil {
		return nil
	}
	return http.NewResponseController(caller).SetWriteDeadline(t)
}

// SetReadDeadline has no effect, since the request has no body.
func (r *recorder) SetReadDeadline(time.Time) error { return nil }

// EnableFullDuplex has no effect, since the request has no body.
func (r *recorder) EnableFullDuplex() error { return nil }

// deliver sends the response to the caller and returns when the handler has returned. It panics if the handler panicked.
func (r *recorder) deliver(w http.ResponseWriter) {
	r.mu.Lock()
	r.turn = r.clock.Now()
	if r.status != 0 {
		r.waited = max(r.turn.Sub(r.readyAt), 0)
	}
	if !r.writeDeadline.IsZero() {
		r.writeDeadline = r.writeDeadline.Add(r.turn.Sub(r.deadlineSetAt))
	}
	r.changed.Broadcast()
	for r.status == 0 && !r.finished {
		r.changed.Wait()
	}
	r.phase, r.caller = copying, w
	r.mu.Unlock()
	err := r.copy(w)
	r.mu.Lock()
	r.writeErr = err
	r.release()
	r.phase = passing
	r.changed.Broadcast()
	for !r.finished {
		r.changed.Wait()
	}
	r.caller = nil
	afterTurn, waited, delivered := r.afterTurn, r.waited, r.isDelivered()
	r.afterTurn = nil
	r.mu.Unlock()
	if afterTurn != nil {
		afterTurn(waited, delivered)
	}
	if r.panicked != nil {
		panic(r.panicked)
	}
}

// copy sends the recorded part of the response. If it cannot be written, net/http closes the connection afterwards.
func (r *recorder) copy(w http.ResponseWriter) error {
	r.mu.Lock()
	status, data, flushed, writeDeadline := r.status, r.data, r.flushed, r.writeDeadline
	r.mu.Unlock()
	if status == 0 {
		return nil
	}
	h := w.Header()
	for name, values := range r.sent {
		h[name] = values
	}
	controller := http.NewResponseController(w)
	if !writeDeadline.IsZero() {
		if earliest := time.Now().Add(minReadTime); writeDeadline.Before(earliest) {
			writeDeadline = earliest
		}
		_ = controller.SetWriteDeadline(writeDeadline)
	}
	w.WriteHeader(status)
	var failed error
	if flushed >= 0 {
		_, failed = w.Write(data[:flushed])
		_ = controller.Flush()
		data = data[flushed:]
	}
	if len(data) > 0 {
		_, err := w.Write(data)
		failed = cmp.Or(failed, err)
	}
	return failed
}

// drop discards the response.
func (r *recorder) drop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.phase = dropped
	r.release()
	r.changed.Broadcast()
	if r.afterTurn != nil {
		// The function may write a log line, for which the connection must not wait.
		afterTurn := r.afterTurn
		r.afterTurn = nil
		r.unreported.Add(1)
		go func() {
			defer r.unreported.Add(-1)
			afterTurn(0, false)
		}()
	}
}

func (r *recorder) release() {
	r.budget.Put(int64(len(r.data)))
	r.data = nil
}
