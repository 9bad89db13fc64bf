package poolowner

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/pool"
)

// recheckTimeout is the time after which a recheck without a response ends as a timeout.
const recheckTimeout = time.Second

// startRecheck runs a completed request again in the background. The caller must hold the runner's lock.
func (m *Manager) startRecheck(r *runner, id azuretiller.PoolID, a pool.Recheck) {
	s := r.rechecks[a.ID]
	if s == nil {
		s = r.retained
	}
	m.check.Assert(s != nil && (r.rechecks[a.ID] != nil || s.ticket == a.Ticket), "recheck %d uses request %d, which is not retained", a.ID, a.Ticket)
	r.rechecks[a.ID] = s
	go m.recheck(r, id, a, s)
}

func (m *Manager) recheck(r *runner, id azuretiller.PoolID, a pool.Recheck, s *session) {
	kind := s.recheck(a.Server)
	r.mu.Lock()
	defer r.mu.Unlock()
	actions := r.pool.FinishRecheck(m.common.Clock.Now(), a.ID, kind)
	m.execute(r, id, actions)
	continues := slices.ContainsFunc(actions, func(action pool.Action) bool {
		next, ok := action.(pool.Recheck)
		return ok && next.ID == a.ID
	})
	if !continues {
		delete(r.rechecks, a.ID)
	}
}

// recheck sends the request, which has no body, to a server and discards the response.
func (s *session) recheck(server azuretiller.ServerID) pool.ResultKind {
	ctx, cancel := context.WithTimeoutCause(context.Background(), recheckTimeout, context.DeadlineExceeded)
	defer cancel()
	attempt := s.manager.sender.Send(ctx, server, s.request, http.NoBody, nil, recheckTimeout)
	if attempt.Response != nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(attempt.Response.Body, maxErrorBytes))
		_ = attempt.Response.Body.Close()
	}
	if attempt.Crashed {
		s.reportCrash(server)
	}
	return attempt.Kind
}
