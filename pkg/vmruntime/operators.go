package vmruntime

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/azuretiller/azuretiller/pkg/drain"
)

// operators serves the requests of the operators until the VM stops.
type operators struct {
	handler http.Handler
	running atomic.Int64
	// stopped ends when no request may wait any longer.
	stopped context.Context
	stop    context.CancelFunc
}

func newOperators(handler http.Handler) *operators {
	stopped, stop := context.WithCancel(context.Background())
	return &operators{handler: handler, stopped: stopped, stop: stop}
}

// ServeHTTP serves one request.
func (o *operators) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.running.Add(1)
	defer o.running.Add(-1)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(o.stopped, cancel)()
	o.handler.ServeHTTP(w, r.WithContext(ctx))
}

// drain waits for the running requests until stopAt. It then makes those that wait for the log respond that the outcome is not known, and closes the
// server when their responses have been sent.
func (o *operators) drain(ctx context.Context, server *http.Server, stopAt time.Time) {
	waitCtx, cancel := context.WithDeadline(ctx, stopAt)
	defer cancel()
	drain.AwaitEnds(waitCtx, func() int { return int(o.running.Load()) })
	o.stop()
	ctx, cancel = context.WithTimeout(ctx, endTimeout)
	defer cancel()
	_ = server.Shutdown(ctx)
}
