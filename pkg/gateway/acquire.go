package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/fallback"
	"github.com/azuretiller/azuretiller/pkg/message"
)

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

// acquireServer gets a server from the leader, or selects one on this VM if the leader does not answer. If this VM stops before the request must
// end, the attempt is refused.
func (c *call) acquireServer(ctx context.Context, q serverQuery) attempt {
	if c.stopsBeforeEnd(ctx) {
		return attempt{placement: message.PlaceResponse{Code: azuretiller.CodeStopping}}
	}
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
	return c.awaitRate(ctx, q, local)
}

// stopsBeforeEnd reports whether this VM stops before the request must end.
func (c *call) stopsBeforeEnd(ctx context.Context) bool {
	deadline, _ := ctx.Deadline()
	return c.gateway.stopsBefore(deadline)
}

// awaitRate waits until this VM may spend more of the team's rate, or until there is a leader, which can grant from the whole rate. It returns the
// given refusal if neither happens in time.
func (c *call) awaitRate(ctx context.Context, q serverQuery, refused attempt) attempt {
	deadline := c.started.Add(time.Duration(float64(c.route.TargetLatency) * leaderWaitShare))
	for {
		tokenAt := c.gateway.common.Clock.Now().Add(refused.placement.RetryAfter)
		state := c.awaitLeader(ctx, c.gateway.current(), earlier(tokenAt, deadline))
		if state.hasConfigAndLeader() {
			if placement, err := c.askLeader(ctx, state, q); err == nil {
				return attempt{placement: placement, leaderAddress: state.LeaderAddress}
			}
			return refused
		}
		mayGetTokens := state.LeaderExpected || c.gateway.placer.HasShare()
		if !mayGetTokens || tokenAt.After(deadline) || !c.sleepUntil(ctx, tokenAt) {
			return refused
		}
		if c.stopsBeforeEnd(ctx) {
			return attempt{placement: message.PlaceResponse{Code: azuretiller.CodeStopping}}
		}
		local := attempt{placement: c.placeWithoutLeader(q), leaderAddress: state.LeaderAddress, withoutLeader: true}
		if local.placement.Code != azuretiller.CodeRateUnavailable {
			return local
		}
		refused = local
	}
}

// sleepUntil waits until the given time, and reports whether the context has not ended by then.
func (c *call) sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(at.Sub(c.gateway.common.Clock.Now())):
		return true
	case <-ctx.Done():
		return false
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
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
		Backends:     q.backends,
		Tried:        q.tried,
		FirstAttempt: q.attemptNumber == 1,
	}, state.Servers)
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
		Request:     c.loggedID,
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
