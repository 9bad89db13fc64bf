package poolhome

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/pool"
)

// recheckTimeout ends a recheck without an answer.
const recheckTimeout = time.Second

// startRecheck runs an answered request again in the background. The runner's lock is held.
func (h *Home) startRecheck(r *runner, id azuretiller.PoolID, a pool.Recheck) {
	s := r.checking[a.ID]
	if s == nil {
		s = r.kept
	}
	h.check.That(s != nil && (r.checking[a.ID] != nil || s.ticket == a.Ticket), "recheck %d of request %d that is not kept", a.ID, a.Ticket)
	r.checking[a.ID] = s
	go h.recheck(r, id, a, s)
}

func (h *Home) recheck(r *runner, id azuretiller.PoolID, a pool.Recheck, s *session) {
	kind := s.recheck(a.Server)
	r.mu.Lock()
	defer r.mu.Unlock()
	actions := r.pool.Rechecked(h.common.Clock.Now(), a.ID, kind)
	h.act(r, id, actions)
	again := slices.ContainsFunc(actions, func(action pool.Action) bool {
		next, ok := action.(pool.Recheck)
		return ok && next.ID == a.ID
	})
	if !again {
		delete(r.checking, a.ID)
	}
}

// recheck sends the request, which has no body, once more and drops the answer.
func (s *session) recheck(server azuretiller.ServerID) pool.ResultKind {
	ctx, cancel := context.WithTimeoutCause(context.Background(), recheckTimeout, context.DeadlineExceeded)
	defer cancel()
	answer := s.home.sender.Send(ctx, server, s.request, http.NoBody, nil, recheckTimeout)
	if answer.Response != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Response.Body, errorBytes))
		_ = answer.Response.Body.Close()
	}
	if answer.Crashed {
		s.crashed(server)
	}
	return answer.Kind
}
