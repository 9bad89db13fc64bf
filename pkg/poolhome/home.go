package poolhome

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/crash"
	"github.com/azuretiller/azuretiller/pkg/dispatch"
	"github.com/azuretiller/azuretiller/pkg/exchange"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/pool"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
	"github.com/azuretiller/azuretiller/pkg/wire"
)

// Home holds the pools of one VM.
type Home struct {
	common  *common.Common
	check   *invariant.Checker
	sender  *dispatch.Sender
	peers   Peers
	current func() *snapshot.Snapshot

	// seen is the snapshot of the last tick.
	seen    *snapshot.Snapshot
	mu      sync.Mutex
	pools   map[azuretiller.PoolID]*runner
	crashMu sync.Mutex
	crashes *crash.Register
	// running counts the requests that are being served.
	running atomic.Int64
}

// runner guards one pool and wakes the requests that its actions concern.
type runner struct {
	mu       sync.Mutex
	pool     *pool.Pool
	snapshot *snapshot.Snapshot
	sessions map[pool.TicketID]*session
	// kept is the answered request that the pool may want to recheck servers with.
	kept *session
	// checking holds the requests of the rechecks that run.
	checking map[pool.RecheckID]*session
	// home means that this VM decides for the pool, and movedAt is the version at which another one took it over.
	home    bool
	movedAt azuretiller.Revision
	nextID  pool.TicketID
	lastUse time.Time
}

// forgetAfter is the time after which a pool that was not used and has another home is forgotten.
const forgetAfter = time.Minute

// New returns a home without pools; current returns the newest snapshot.
func New(c *common.Common, check *invariant.Checker, sender *dispatch.Sender, peers Peers, current func() *snapshot.Snapshot) *Home {
	return &Home{
		common:  c,
		check:   check,
		sender:  sender,
		peers:   peers,
		current: current,
		pools:   map[azuretiller.PoolID]*runner{},
		crashes: crash.New(),
	}
}

// Running returns the number of requests that are being served.
func (h *Home) Running() int { return int(h.running.Load()) }

// Serve runs one request that arrives on a stream and answers it there.
func (h *Home) Serve(ctx context.Context, r exchange.Request, stream *wire.Stream) {
	h.running.Add(1)
	defer h.running.Add(-1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	s := &session{
		home:        h,
		request:     r,
		stream:      stream,
		cancel:      cancel,
		deadline:    h.common.Clock.Now().Add(r.Timeout),
		fingerprint: crash.Fingerprint(r.Fingerprint),
	}
	// The timer ends with the head of the answer; a body may take longer.
	s.timer = time.AfterFunc(r.Timeout, func() { cancel(context.DeadlineExceeded) })
	defer s.timer.Stop()
	s.run(ctx)
}

// runner returns the runner of a pool, or nil when the configuration has no such pool.
func (h *Home) runner(id azuretiller.PoolID) *runner {
	now := h.common.Clock.Now()
	current := h.current()
	h.mu.Lock()
	r := h.pools[id]
	if r == nil {
		if _, ok := current.Topology.Find(id); !ok {
			h.mu.Unlock()
			return nil
		}
		r = &runner{
			pool:     pool.New(current.Config.Services[id.Service], h.check),
			sessions: map[pool.TicketID]*session{},
			checking: map[pool.RecheckID]*session{},
		}
		h.pools[id] = r
	}
	h.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastUse = now
	h.configure(r, id, current, now)
	return r
}

// configure brings a pool up to date with a snapshot. The runner's lock is held.
func (h *Home) configure(r *runner, id azuretiller.PoolID, s *snapshot.Snapshot, now time.Time) {
	if r.snapshot == s {
		return
	}
	known := r.snapshot != nil && r.snapshot.Config == s.Config
	r.snapshot = s
	h.noteHome(r, id, s, now)
	if known {
		return
	}
	p, _ := s.Topology.Find(id)
	h.act(r, id, r.pool.Configure(now, s.Config.Services[id.Service], p.Servers))
}

// act carries out the actions of a pool. The runner's lock is held.
func (h *Home) act(r *runner, id azuretiller.PoolID, actions []pool.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case pool.Start:
			r.wake(a.Ticket, a)
		case pool.Refuse:
			r.wake(a.Ticket, a)
		case pool.Deliver:
			r.wake(a.Ticket, a)
		case pool.Keep:
			r.kept = r.sessions[a.Ticket]
		case pool.Recheck:
			h.startRecheck(r, id, a)
		case pool.Probe:
			go h.probe(r, id, a.Server)
		case pool.Notice:
			h.common.Log.WithFields(noticeFields(id, a)).Info(a.Name)
		}
	}
}

func (r *runner) wake(id pool.TicketID, a pool.Action) {
	if s, ok := r.sessions[id]; ok {
		s.actions <- a
	}
}

func (h *Home) probe(r *runner, id azuretiller.PoolID, server azuretiller.ServerID) {
	ok := h.sender.Probe(context.Background(), server, h.current().Config.Services[id.Service].Probe)
	r.mu.Lock()
	defer r.mu.Unlock()
	h.act(r, id, r.pool.Probed(h.common.Clock.Now(), server, ok))
}

// Tick advances time in all pools and takes over those that this VM has come to decide for.
func (h *Home) Tick() {
	now := h.common.Clock.Now()
	current := h.current()
	if h.seen != current {
		h.seen = current
		h.adopt(current)
	}
	for id, r := range h.runners() {
		h.tick(r, id, current, now)
	}
}

// adopt makes the runners of the pools that this VM decides for, so that a takeover does not wait for a request.
func (h *Home) adopt(s *snapshot.Snapshot) {
	for _, pools := range s.Topology {
		for _, p := range pools {
			if p.Home.ID == s.Self.ID {
				h.runner(p.ID)
			}
		}
	}
}

// runners returns a copy of the runners by pool.
func (h *Home) runners() map[azuretiller.PoolID]*runner {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.pools)
}

func (h *Home) tick(r *runner, id azuretiller.PoolID, s *snapshot.Snapshot, now time.Time) {
	r.mu.Lock()
	h.configure(r, id, s, now)
	h.act(r, id, r.pool.Tick(now))
	idle := len(r.sessions) == 0 && len(r.checking) == 0 && now.Sub(r.lastUse) > forgetAfter
	r.mu.Unlock()
	if !idle {
		return
	}
	if p, ok := s.Topology.Find(id); !ok || p.Home.ID != s.Self.ID {
		h.mu.Lock()
		delete(h.pools, id)
		h.mu.Unlock()
	}
}

// Crashed notes a crash that this or another home saw.
func (h *Home) Crashed(f crash.Fingerprint, server azuretiller.ServerID) {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	if h.crashes.Crashed(f, server, h.common.Clock.Now()) {
		h.common.Log.WithField("server", server).Warn("request held back")
	}
}

func (h *Home) admit(f crash.Fingerprint) (bool, time.Duration) {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	return h.crashes.Admit(f, h.common.Clock.Now())
}

func (h *Home) held(f crash.Fingerprint) bool {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	return h.crashes.Held(f, h.common.Clock.Now())
}

// released ends the trial of a held request that neither succeeded nor crashed a server.
func (h *Home) released(f crash.Fingerprint) {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	h.crashes.Released(f)
}

func (h *Home) survived(f crash.Fingerprint) {
	h.crashMu.Lock()
	defer h.crashMu.Unlock()
	h.crashes.Succeeded(f)
}

// Report returns the state of all pools here.
func (h *Home) Report() map[azuretiller.PoolID][]pool.ServerReport {
	now := h.common.Clock.Now()
	runners := h.runners()
	out := make(map[azuretiller.PoolID][]pool.ServerReport, len(runners))
	for id, r := range runners {
		r.mu.Lock()
		out[id] = r.pool.Report(now)
		r.mu.Unlock()
	}
	return out
}
