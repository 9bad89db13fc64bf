package drain

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/azuretiller/azuretiller/pkg/timer"
)

const (
	// arrivalTime is the time within which callers send a request on a connection that was accepted just before the listener closed.
	arrivalTime  = 250 * time.Millisecond
	pollInterval = 20 * time.Millisecond
	// queuePolls bounds how often the drain looks for connections that were opened before the listener closes, and queueInterval is the time between
	// two looks. Unlike a deadline, the number of looks does not run out while the process does not run.
	queuePolls    = 250
	queueInterval = time.Millisecond
	// closeTimeout bounds the time to serve requests that arrive while idle connections are closed, and to write the rest of the last responses.
	closeTimeout = 250 * time.Millisecond
)

// Drain is the graceful stop of an HTTP server whose callers keep sending requests.
type Drain struct {
	Server *http.Server
	// Listener should be a syscall.Conn, so that connections that wait to be accepted are not lost.
	Listener net.Listener
	// Running returns the number of requests that have no complete response yet.
	Running func() int
	// Stop makes all running requests respond. Requests that are read later must be refused by their handler.
	Stop func()
}

// Run closes the listener and waits for the running requests until StopAt. It then makes the others respond, and serves what is still read from
// open connections, at most until CloseAt. The caller closes the server.
//
// http.Server.Shutdown would drop requests that it reads.
func (d Drain) Run(ctx context.Context, times Times) Result {
	ctx, cancel := context.WithDeadline(ctx, times.CloseAt)
	defer cancel()
	stopAt := times.StopAt
	d.closeListener(ctx, stopAt)
	sleep(ctx, arrivalTime, stopAt)
	d.await(ctx, stopAt)
	stopped := d.Running()
	if stopped == 0 {
		// Closes idle connections, and the others with their next responses.
		d.Server.SetKeepAlivesEnabled(false)
		sleep(ctx, closeTimeout, stopAt)
		d.await(ctx, stopAt)
		stopped = d.Running()
	}
	d.Stop()
	d.await(ctx, times.CloseAt)
	return Result{Stopped: stopped, Cut: d.Running()}
}

// closeListener closes the listener as soon as no connection waits to be accepted: the kernel would reset it, and with it a request.
func (d Drain) closeListener(ctx context.Context, stopAt time.Time) {
	defer func() { _ = d.Listener.Close() }()
	ctx, cancel := context.WithDeadline(ctx, stopAt)
	defer cancel()
	for polls := 0; polls < queuePolls && ctx.Err() == nil && hasQueued(d.Listener); polls++ {
		timer.Sleep(ctx, queueInterval)
	}
}

// await waits until no request is running, at most until the given time. It looks twice, since no request runs for a moment between two that
// arrived together on a connection.
func (d Drain) await(ctx context.Context, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	awaitQuiet(ctx, d.Running, pollInterval, 2)
	// net/http may still be writing the last response.
	timer.Sleep(ctx, pollInterval)
}

// sleep sleeps for the duration, at most until the given time.
func sleep(ctx context.Context, duration time.Duration, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	timer.Sleep(ctx, duration)
}
