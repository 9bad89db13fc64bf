package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/bytebudget"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/fallback"
	"github.com/azuretiller/azuretiller/pkg/lifetime"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/servergate"
	"github.com/azuretiller/azuretiller/pkg/upstream"
)

// Transport sends datagrams to other VMs and receives their answers.
type Transport interface {
	// Send sends one datagram, which may be lost.
	Send(to string, e message.Envelope) error
	// StartCall begins a call and returns its number, its answers and the function that ends it.
	StartCall() (call uint64, answers <-chan any, done func())
}

// Sender sends attempts to backend servers.
type Sender interface {
	// Send sends one attempt and returns its result; it returns early when the context ends.
	Send(ctx context.Context, a upstream.Attempt) upstream.Response
}

// Gateway is the HTTP handler that serves the requests of callers on a VM.
type Gateway struct {
	common    *common.Common
	current   func() *State
	transport Transport
	sender    Sender
	placer    *fallback.Placer
	gate      *servergate.Gate
	running   atomic.Int64
	// bodies is the memory for buffered request bodies.
	bodies *bytebudget.Budget
	// readingMu guards reading, the bodies that are being buffered and the deadlines of their requests.
	readingMu sync.Mutex
	reading   map[*body]time.Time
	// stopAt is when the VM stops, nil while it accepts all requests.
	stopAt atomic.Pointer[time.Time]
	// stopping is closed when stopAt has been set, and stopped when the VM stops.
	stopping, stopped chan struct{}
	life              *lifetime.Lifetime
}

// New returns a gateway; current returns the newest state, placer selects servers while the leader cannot be reached, and gate holds
// back requests from servers that asked for none.
func New(c *common.Common, current func() *State, transport Transport, sender Sender, placer *fallback.Placer, gate *servergate.Gate) *Gateway {
	return &Gateway{
		common: c, current: current, transport: transport, sender: sender, placer: placer, gate: gate,
		bodies: bytebudget.New(maxBufferedRequests), reading: map[*body]time.Time{}, stopping: make(chan struct{}), stopped: make(chan struct{}),
		life: lifetime.New(c.Clock.Now()),
	}
}

// Running returns the number of requests that are being served.
func (g *Gateway) Running() int { return int(g.running.Load()) }

// Lifetime returns the lifetime of the VM, which the log lines of its requests refer to.
func (g *Gateway) Lifetime() *lifetime.Lifetime { return g.life }

// StopAt makes the gateway refuse requests that wait for their body or for a backend server, now or later, and whose deadline is after the
// time at which the VM stops. It must be called once.
func (g *Gateway) StopAt(at time.Time) {
	g.stopAt.Store(&at)
	close(g.stopping)
	g.readingMu.Lock()
	defer g.readingMu.Unlock()
	for b, deadline := range g.reading {
		if at.Before(deadline) {
			b.interrupt()
		}
	}
}

// Stop makes all requests that are still running respond that the VM stopped, and refuses further ones. It must be called once. Without a response of
// their own, they would take the complete ones behind them on their connections with them.
func (g *Gateway) Stop() {
	now := g.common.Clock.Now()
	g.stopAt.Store(&now)
	close(g.stopped)
}

// stopReadingAt interrupts the reading of a body when the VM stops before the deadline of the request, until the returned function is
// called.
func (g *Gateway) stopReadingAt(deadline time.Time, b *body) func() {
	g.readingMu.Lock()
	defer g.readingMu.Unlock()
	g.reading[b] = deadline
	if g.stopsBefore(deadline) {
		b.interrupt()
	}
	return func() {
		g.readingMu.Lock()
		defer g.readingMu.Unlock()
		delete(g.reading, b)
	}
}

func (g *Gateway) stopsBefore(deadline time.Time) bool {
	at := g.stopAt.Load()
	return at != nil && at.Before(deadline)
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	c := newCall(g, w, r)
	if c.body != nil {
		defer c.body.close()
	}
	defer c.end()
	c.awaitReady(r.Context())
	if code := c.prepare(); code != azuretiller.CodeOK {
		c.refuse(code, defaultRetryAfter)
		return
	}
	deadline := c.started.Add(c.timeout)
	c.stopAt = g.stopAt.Load()
	if g.stopsBefore(deadline) {
		c.refuse(azuretiller.CodeStopping, 0)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	c.run(ctx)
}

// report sends the result of an attempt to the leader until the leader acknowledges it, at most maxReportSends times.
func (g *Gateway) report(leader string, r message.Report) {
	callNumber, answers, done := g.transport.StartCall()
	defer done()
	for range maxReportSends {
		if err := g.transport.Send(leader, message.Envelope{Call: callNumber, Body: r}); err != nil {
			return
		}
		select {
		case <-answers:
			return
		case <-time.After(reportResendInterval):
		}
	}
	g.common.Metrics.Counter("reports_lost").Inc(1)
}

// formatRetryAfter returns a Retry-After value in seconds with two decimals, at least 0.05.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(max(d.Seconds(), 0.05), 'f', 2, 64)
}
