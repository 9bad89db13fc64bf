package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/solo"
	"github.com/azuretiller/azuretiller/pkg/upstream"
)

// Link reaches other VMs.
type Link interface {
	// Send sends one datagram, which may be lost.
	Send(to string, e message.Envelope) error
	// Open begins a call and returns its number, the answers, and what ends it.
	Open() (call uint64, answers <-chan any, done func())
}

// Sender sends attempts to backend servers.
type Sender interface {
	// Send makes one attempt; it ends early with the context.
	Send(ctx context.Context, a upstream.Attempt) upstream.Answer
}

// Gateway is the callers' side of a VM.
type Gateway struct {
	common  *common.Common
	current func() *State
	link    Link
	sender  Sender
	solo    *solo.Solo
	running atomic.Int64
}

// New returns a gateway; current returns the newest state.
func New(c *common.Common, current func() *State, link Link, sender Sender, s *solo.Solo) *Gateway {
	return &Gateway{common: c, current: current, link: link, sender: sender, solo: s}
}

// Running returns the number of requests that are being served.
func (g *Gateway) Running() int { return int(g.running.Load()) }

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	c := newCall(g, w, r)
	defer c.log()
	c.settleIn(r.Context())
	if code := c.prepare(); code != azuretiller.CodeOK {
		c.refuse(code, notReadyRetry)
		return
	}
	limit := c.started.Add(c.limit)
	ctx, cancel := context.WithDeadline(r.Context(), limit)
	defer cancel()
	c.run(ctx)
}

// report tells the leader the result of an attempt until it says that it heard.
func (g *Gateway) report(leader string, r message.Report) {
	call, answers, done := g.link.Open()
	defer done()
	for range reportTries {
		if err := g.link.Send(leader, message.Envelope{Call: call, Body: r}); err != nil {
			return
		}
		select {
		case <-answers:
			return
		case <-time.After(reportRepeat):
		}
	}
	g.common.Metrics.Counter("reports_lost").Inc(1)
}

func retryAfter(d time.Duration) string {
	return strconv.FormatFloat(max(d.Seconds(), 0.05), 'f', 2, 64)
}
