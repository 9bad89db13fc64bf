package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/fallback"
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
	hedge := c.hedgeTimer()
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
			if c.route.IsIdempotent("") && c.isBuffered() && c.hasAttemptsLeft() && pending == 1 && len(backends) == 1 && !c.withoutLeader {
				pending++
				launch(nil, true)
			}
		case <-ctx.Done():
			c.abort(failed)
			return
		}
	}
}

func (c *call) hedgeTimer() *time.Timer {
	return time.NewTimer(time.Duration(float64(c.route.TargetLatency) * hedgeDelayShare))
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

// serverQuery describes the backend server that one attempt needs.
type serverQuery struct {
	// attemptNumber is the number of the attempt within the request, starting at 1.
	attemptNumber int
	backends      []config.Backend
	// tried are the servers that must not get the attempt.
	tried []azuretiller.InstanceID
	// previous is the report on the previous attempt, nil if there is none or it is still running.
	previous      *message.Report
	hedge         bool
	withoutLeader bool
}

// runAttempt acquires a server and sends the request to it.
func (c *call) runAttempt(ctx context.Context, q serverQuery) attempt {
	a := c.acquireServer(ctx, q)
	if a.placement.Code != azuretiller.CodeOK || a.placement.Server == "" {
		return a
	}
	started, waited := c.gateway.common.Clock.Now(), c.callerWait()
	a.response = c.send(ctx, a.placement)
	a.elapsed = c.gateway.common.Clock.Now().Sub(started) - (c.callerWait() - waited)
	a.bytesSent = c.bytesReceived()
	if a.placement.Ticket == 0 {
		c.finishLocal(a)
	}
	if ctx.Err() != nil && a.response.Result != message.Succeeded {
		// run no longer waits for this attempt, so its result is reported here.
		c.reportResult(a)
		a.placement.Ticket = 0
		a.placement.Server = ""
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
		g.common.Log.WithFields(log.Fields{"request": c.id, "server": server.ID, "service": server.Service, "value": notice.Invalid}).Warn("server notice invalid")
	}
	change, changed := g.gate.Record(g.common.Clock.Now(), server, notice.Leaving, notice.PauseFor)
	if !changed {
		return
	}
	g.common.Metrics.Tagged(map[string]string{"verdict": change.Verdict.String()}).Counter("server_notices").Inc(1)
	g.common.Log.WithFields(log.Fields{
		"request": c.id, "server": server.ID, "service": server.Service, "incarnation": server.Incarnation, "pause": change.PauseFor,
	}).Info("server " + change.Verdict.String())
}

// reportResult reports the result of an attempt that no other attempt follows; the PlaceRequest of a following attempt
// would carry the report.
func (c *call) reportResult(a attempt) {
	if a.placement.Server == "" || a.leaderAddress == "" {
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

// acquireServer gets a server from the leader, or selects one on this VM if the leader does not answer.
func (c *call) acquireServer(ctx context.Context, q serverQuery) attempt {
	q.tried = c.gateway.withBlocked(q)
	state := c.state
	for range maxLeadersAsked {
		if !state.LeaderReachable || q.withoutLeader {
			break
		}
		placement, err := c.askLeader(ctx, state, q)
		if err == nil {
			return attempt{placement: placement, leaderAddress: state.LeaderAddress}
		}
		if ctx.Err() != nil {
			return attempt{placement: message.PlaceResponse{Code: azuretiller.CodeQueueTimeout}}
		}
		askedAddress := state.LeaderAddress
		if state = c.gateway.current(); state.LeaderAddress == askedAddress {
			break
		}
	}
	if q.hedge {
		return attempt{placement: message.PlaceResponse{Code: azuretiller.CodeHomeUnreachable}, withoutLeader: true}
	}
	local := attempt{placement: c.placeWithoutLeader(q), leaderAddress: state.LeaderAddress, withoutLeader: true}
	if local.placement.Code != azuretiller.CodeRateUnavailable || q.attemptNumber > 1 {
		return local
	}
	// This VM's share of the team's rate is used up, but a leader can grant from the whole rate.
	maxWait := time.Duration(float64(c.route.TargetLatency) * leaderWaitShare)
	if state = c.awaitLeader(ctx, c.gateway.current(), c.started.Add(maxWait)); state.hasConfigAndLeader() {
		if placement, err := c.askLeader(ctx, state, q); err == nil {
			return attempt{placement: placement, leaderAddress: state.LeaderAddress}
		}
	}
	return local
}

// withBlocked returns the servers that an attempt has tried, and the servers that asked this VM for no requests.
func (g *Gateway) withBlocked(q serverQuery) []azuretiller.InstanceID {
	excluded := q.tried
	for _, b := range q.backends {
		blocked, _ := g.gate.Blocked(g.common.Clock.Now(), b.Service)
		for _, id := range blocked[:min(len(blocked), maxBlockedListed)] {
			if !slices.Contains(q.tried, id) {
				excluded = append(excluded, id)
			}
		}
	}
	return excluded
}

// areBlocked reports whether all given servers of a service asked this VM for no requests.
func (g *Gateway) areBlocked(service azuretiller.ServiceID, ids []azuretiller.InstanceID) bool {
	blocked, _ := g.gate.Blocked(g.common.Clock.Now(), service)
	return !slices.ContainsFunc(ids, func(id azuretiller.InstanceID) bool { return !slices.Contains(blocked, id) })
}

// placeWithoutLeader selects a server from the newest view, within this VM's share of the team's rate.
func (c *call) placeWithoutLeader(q serverQuery) message.PlaceResponse {
	state := c.gateway.current()
	return c.gateway.placer.Place(c.gateway.common.Clock.Now(), fallback.Request{
		Team:         c.team.ID,
		Rate:         c.team.Rate,
		Backends:     q.backends,
		Tried:        q.tried,
		FirstAttempt: q.attemptNumber == 1,
	}, state.Servers, state.FleetSize)
}

// errNotPlaced means that the VM that was asked for a server did not answer or is not the leader.
var errNotPlaced = errors.New("request not placed: the VM asked did not answer or is not the leader")

// askLeader asks the leader of the given state for a server, and waits while the leader reports that the request is queued. If this VM stops
// before the request must end, the request is refused.
func (c *call) askLeader(ctx context.Context, state *State, q serverQuery) (message.PlaceResponse, error) {
	callNumber, answers, done := c.gateway.transport.StartCall()
	defer done()
	now := c.gateway.common.Clock.Now()
	deadline, _ := ctx.Deadline()
	request := message.Envelope{Call: callNumber, Body: message.PlaceRequest{
		Request:     c.id,
		Route:       c.route.ID,
		Team:        c.team.ID,
		Backends:    q.backends,
		Timeout:     deadline.Sub(now),
		SoftTimeout: c.started.Add(c.route.TargetLatency).Sub(now),
		Priority:    c.priority(),
		Idempotent:  c.route.IsIdempotent(""),
		Attempt:     q.attemptNumber,
		Tried:       q.tried,
		Fingerprint: c.fingerprint,
		LastReport:  q.previous,
		Term:        state.Term,
		Hedge:       q.hedge,
	}}
	timeout := time.NewTimer(placeTimeout)
	defer timeout.Stop()
	resend := time.NewTicker(placeResendInterval)
	defer resend.Stop()
	if err := c.gateway.transport.Send(state.LeaderAddress, request); err != nil {
		return message.PlaceResponse{}, err
	}
	queued := false
	stopping := c.gateway.stopping
	for {
		select {
		case <-stopping:
			if c.gateway.stopsBefore(deadline) {
				return message.PlaceResponse{Code: azuretiller.CodeStopping}, nil
			}
			stopping = nil
		case answer := <-answers:
			placement, ok := answer.(message.PlaceResponse)
			if ok && placement.Code == azuretiller.CodePoolMoved {
				return message.PlaceResponse{}, errNotPlaced
			}
			if ok && !placement.Queued {
				return placement, nil
			}
			queued = true
		case <-resend.C:
			// The message is also sent again for a queued request, since the response may have been lost.
			if err := c.gateway.transport.Send(state.LeaderAddress, request); err != nil {
				return message.PlaceResponse{}, err
			}
		case <-timeout.C:
			if !queued {
				return message.PlaceResponse{}, errNotPlaced
			}
			// The leader must confirm within each placeTimeout that the request is still queued.
			queued = false
			timeout.Reset(placeTimeout)
		case <-ctx.Done():
			return message.PlaceResponse{}, ctx.Err()
		}
	}
}
