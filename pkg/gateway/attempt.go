package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/servergate"
	"github.com/azuretiller/azuretiller/pkg/upstream"
	"github.com/azuretiller/azuretiller/platform"
)

// attempt is one attempt to serve a request; its placement has no server if the request was refused.
type attempt struct {
	placement message.PlaceResponse
	// leaderAddress is the host:port of the leader that gets the report on the attempt.
	leaderAddress string
	response      upstream.Response
	// elapsed is the duration of the attempt without the time that reads from the caller took.
	elapsed time.Duration
	// bytesSent is the size of the request body in bytes.
	bytesSent int64
	// withoutLeader means that this VM selected the server without the leader.
	withoutLeader bool
	// cut means that the request ended during the attempt, which may have run. Its result has been reported.
	cut bool
}

// report returns the report on the attempt for the leader.
func (a attempt) report() message.Report {
	r := message.Report{Ticket: a.placement.Ticket, Result: a.response.Result, Took: a.elapsed, Bytes: len(a.response.Body) + int(a.bytesSent), Term: a.placement.Term}
	if notice := a.response.Notice; notice.Leaving || notice.PauseFor > 0 {
		r.Server, r.Incarnation = a.placement.Server, a.placement.Incarnation
		r.Leaving, r.PauseFor = notice.Leaving, notice.PauseFor
	}
	return r
}

// run makes attempts until one succeeds or no further attempt is allowed.
func (c *call) run(ctx context.Context) {
	attemptsCtx, stop := context.WithCancel(ctx)
	defer stop()
	results := make(chan attempt, maxPendingAttempts)
	var tried []azuretiller.InstanceID
	backends := c.route.Backends
	launch := func(previous *message.Report, hedge bool) {
		c.attempts++
		c.possiblySent++
		q := serverQuery{
			attemptNumber: c.attempts,
			backends:      backends,
			tried:         slices.Clone(tried),
			previous:      previous,
			hedge:         hedge,
			withoutLeader: c.withoutLeader,
		}
		go func() { results <- c.runAttempt(attemptsCtx, q) }()
	}
	launch(nil, false)
	pending := 1
	hedge := time.NewTimer(c.hedgeDelay())
	defer hedge.Stop()
	var failed *attempt
	for {
		select {
		case a := <-results:
			pending--
			if !a.response.Result.Sent() {
				c.possiblySent--
			}
			if a.response.Result == message.Withheld {
				c.withheld++
			}
			c.withoutLeader = c.withoutLeader || a.withoutLeader
			if a.response.Result == message.Succeeded {
				c.deliver(a)
				return
			}
			failed = mostRelevantFailure(failed, a)
			if a.placement.Code == azuretiller.CodeServersPaused {
				c.allPaused = c.gateway.areBlocked(a.placement.Service, tried)
			}
			if a.placement.Server != "" {
				tried = append(tried, a.placement.Server)
				backends = []config.Backend{{Service: a.placement.Service, Weight: 1}}
			}
			if ctx.Err() == nil && c.mayRetry(ctx, a, pending) {
				pending++
				previous := a.report()
				launch(&previous, false)
				continue
			}
			c.reportResult(a)
			if pending == 0 {
				c.fail(ctx, *failed)
				return
			}
		case <-hedge.C:
			if !c.placed.Load() {
				// The request has no token of its team yet, and the leader takes none for a second attempt.
				hedge.Reset(c.hedgeDelay())
				continue
			}
			if c.route.IsIdempotent("") && c.isBuffered() && c.hasAttemptsLeft() && pending == 1 && len(backends) == 1 && !c.withoutLeader {
				pending++
				launch(nil, true)
			}
		case <-c.gateway.stopped:
			if len(results) > 0 {
				// A response that has just arrived is delivered.
				continue
			}
			c.refuse(azuretiller.CodeStopped, 0)
			return
		case <-ctx.Done():
			c.abort(failed)
			return
		}
	}
}

// hedgeDelay returns the time after which an idempotent request is also sent to a second server.
func (c *call) hedgeDelay() time.Duration {
	return max(time.Duration(float64(c.route.TargetLatency)*hedgeDelayShare), minHedgeDelay)
}

// mostRelevantFailure returns the failure to report to the caller. A failure after which the request may have run takes precedence over
// one that proves that it did not, and a failure on a server takes precedence over a refusal.
func mostRelevantFailure(previous *attempt, a attempt) *attempt {
	if previous == nil || previous.placement.Server == "" || previous.response.Result.NotRun() && a.placement.Server != "" {
		return &a
	}
	return previous
}

// hasAttemptsLeft reports whether another attempt is allowed; attempts that were withheld and others that were not sent have limits of
// their own.
func (c *call) hasAttemptsLeft() bool {
	return c.possiblySent < c.route.MaxAttempts && c.attempts-c.withheld < c.route.MaxAttempts+maxUnsentAttempts && c.withheld < maxWithheldAttempts
}

// mayRetry reports whether the request may be attempted again after a failed attempt. There is no retry while another attempt is
// still running, nor if too little time is left.
func (c *call) mayRetry(ctx context.Context, a attempt, pending int) bool {
	if a.placement.Server == "" || !c.hasAttemptsLeft() || !c.isReplayable() || pending > 0 || c.withoutLeader && !a.response.Result.NotRun() {
		return false
	}
	if !a.response.Result.NotRun() && !c.route.IsIdempotent("") {
		return false
	}
	deadline, _ := ctx.Deadline()
	return time.Until(deadline) > minRetryTime
}

// runAttempt acquires a server and sends the request to it.
func (c *call) runAttempt(ctx context.Context, q serverQuery) attempt {
	a := c.acquireServer(ctx, q)
	if a.placement.Code != azuretiller.CodeOK || a.placement.Server == "" {
		return a
	}
	a.placement.Incarnation = c.gateway.gate.NewestIncarnation(a.placement.Server, a.placement.Incarnation)
	c.placed.Store(true)
	server := a.placement.Server
	c.sentTo.Store(&server)
	started, waited := c.gateway.common.Clock.Now(), c.callerWait()
	a.response = c.send(ctx, a.placement)
	a.elapsed = c.gateway.common.Clock.Now().Sub(started) - (c.callerWait() - waited)
	a.bytesSent = c.bytesReceived()
	if a.placement.Ticket == 0 {
		c.finishLocal(a)
	}
	if ctx.Err() != nil && a.response.Result != message.Succeeded {
		// run may no longer wait for this attempt, so its result is reported here.
		c.reportResult(a)
		if a.cut = !a.response.Result.NotRun(); !a.cut {
			a.placement.Server = ""
		}
	}
	return a
}

// finishLocal ends an attempt that this VM placed itself. A server that asked for a pause is not avoided for longer than that.
func (c *call) finishLocal(a attempt) {
	if a.response.Result == message.Withheld || a.response.Notice.PauseFor > 0 {
		c.gateway.placer.Release(a.placement.Server)
		return
	}
	c.gateway.placer.Finish(c.gateway.common.Clock.Now(), a.placement.Server, a.response.Result)
}

// send sends the request to the server of a placement, unless the server asked this VM for no requests.
func (c *call) send(ctx context.Context, p message.PlaceResponse) upstream.Response {
	server := gatedServer(p)
	if verdict, pause := c.gateway.gate.Check(c.gateway.common.Clock.Now(), server); verdict != servergate.Open {
		c.gateway.common.Metrics.Counter("attempts_withheld").Inc(1)
		return upstream.Response{
			Result: message.Withheld,
			Err:    errors.Newf("not sent: backend server %s is %s", p.Server, verdict),
			// A leader that has just been elected may not know it yet.
			Notice: platform.ServerNotice{Leaving: verdict == servergate.Leaving, PauseFor: pause},
		}
	}
	if !c.gateway.gate.Start(c.gateway.common.Clock.Now(), p.Server, p.Ticket == 0, p.Term) {
		c.gateway.common.Metrics.Counter("attempts_withdrawn").Inc(1)
		return upstream.Response{Result: message.Withheld, Err: errors.Newf("not sent: a rollout withdrew backend server %s", p.Server)}
	}
	deadline, _ := ctx.Deadline()
	response := c.gateway.sender.Send(ctx, upstream.Attempt{
		Address:  p.Address,
		Server:   p.Server,
		Method:   c.request.Method,
		Target:   c.request.RequestURI,
		Host:     c.request.Host,
		Headers:  c.headers,
		Body:     c.bodyReader(),
		BodySize: c.bodySize(),
		ID:       c.id,
		Deadline: deadline,
	})
	if response.RemainingBody == nil {
		c.gateway.gate.End(p.Server)
	} else {
		// The context ends when the rest of the body has been passed on, or is not wanted.
		context.AfterFunc(ctx, func() { c.gateway.gate.End(p.Server) })
	}
	c.recordNotice(server, response.Notice)
	if response.Result == message.TimedOut && c.isBodyOverdue() {
		// The server cannot respond to a request that it has not received completely.
		response.Result = message.Cancelled
	}
	return response
}

// gatedServer returns the server of a placement, as the gate knows it.
func gatedServer(p message.PlaceResponse) servergate.Server {
	return servergate.Server{ID: p.Server, Service: p.Service, Incarnation: p.Incarnation}
}

// recordNotice records what a server said about further requests.
func (c *call) recordNotice(server servergate.Server, notice platform.ServerNotice) {
	g := c.gateway
	if notice.Invalid != "" {
		g.common.Metrics.Counter("server_notices_invalid").Inc(1)
		g.common.Log.WithFields(log.Fields{"request": c.loggedID, "server": server.ID, "service": server.Service, "value": notice.Invalid}).Warn("server notice invalid")
	}
	change, changed := g.gate.Record(g.common.Clock.Now(), server, notice.Leaving, notice.PauseFor)
	if !changed {
		return
	}
	g.common.Metrics.Tagged(map[string]string{"verdict": change.Verdict.String()}).Counter("server_notices").Inc(1)
	g.common.Log.WithFields(log.Fields{
		"request": c.loggedID, "server": server.ID, "service": server.Service, "incarnation": server.Incarnation, "pause": change.PauseFor,
	}).Info("server " + change.Verdict.String())
}

// reportResult reports the result of an attempt that no other attempt follows; the PlaceRequest of a following attempt
// would carry the report.
func (c *call) reportResult(a attempt) {
	if a.placement.Server == "" || a.leaderAddress == "" || a.cut {
		return
	}
	r := a.report()
	if r.Ticket == 0 && r.Result == message.Withheld {
		return
	}
	if r.Ticket == 0 {
		r.Server = a.placement.Server
	}
	go c.gateway.report(a.leaderAddress, r)
}
