package poolowner

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
	"github.com/azuretiller/azuretiller/pkg/forward"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/pool"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
	"github.com/azuretiller/azuretiller/pkg/timer"
	"github.com/azuretiller/azuretiller/pkg/wire"
)

// Manager runs the requests of the pools that one VM owns.
type Manager struct {
	common  *common.Common
	check   *invariant.Checker
	sender  *dispatch.Sender
	peers   Peers
	current func() *snapshot.Snapshot

	// lastSnapshot is the snapshot that the last tick used.
	lastSnapshot *snapshot.Snapshot
	mu           sync.Mutex
	pools        map[azuretiller.PoolID]*runner
	crashMu      sync.Mutex
	crashes      *crash.Tracker
	// running counts the requests that are being served.
	running atomic.Int64
	// draining means that no more requests are accepted.
	draining atomic.Bool
}

// runner serializes the calls to one pool and passes the actions of the pool to the requests that they concern.
type runner struct {
	mu       sync.Mutex
	pool     *pool.Pool
	snapshot *snapshot.Snapshot
	sessions map[pool.TicketID]*session
	// retained is a completed request that the pool may use to recheck servers.
	retained *session
	// rechecks holds the request of each recheck in progress.
	rechecks map[pool.RecheckID]*session
	// isOwner means that this VM owns the pool.
	isOwner bool
	// handoverVersion is the version of the view as of which this VM last handed the pool over to another VM.
	handoverVersion azuretiller.Revision
	lastTicketID    pool.TicketID
	lastUse         time.Time
}

const (
	// unusedPoolTimeout is the time without a request after which the runner of a pool that this VM does not own is deleted.
	unusedPoolTimeout = time.Minute
	// drainPollInterval is the interval at which Drain checks whether requests are still running.
	drainPollInterval = 20 * time.Millisecond
)

// New returns a Manager without pools. The function current must return the newest snapshot.
func New(c *common.Common, check *invariant.Checker, sender *dispatch.Sender, peers Peers, current func() *snapshot.Snapshot) *Manager {
	return &Manager{
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
func (m *Manager) Running() int { return int(m.running.Load()) }

// Drain refuses further requests and returns when none is being served or the context ends. Other VMs may keep sending requests until they
// learn that this one is leaving, which they do from the log.
func (m *Manager) Drain(ctx context.Context) {
	m.draining.Store(true)
	for m.Running() > 0 && ctx.Err() == nil {
		timer.Sleep(ctx, drainPollInterval)
	}
}

// Serve runs one request and sends the response on the stream on which the request arrived.
func (m *Manager) Serve(ctx context.Context, r forward.Request, stream *wire.Stream) {
	m.running.Add(1)
	defer m.running.Add(-1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(context.Canceled)
	s := &session{
		manager:     m,
		request:     r,
		stream:      stream,
		cancel:      cancel,
		deadline:    m.common.Clock.Now().Add(r.Timeout),
		fingerprint: crash.Fingerprint(r.Fingerprint),
	}
	// The timeout applies until the response headers have arrived; the body may take longer.
	s.timer = time.AfterFunc(r.Timeout, func() { cancel(context.DeadlineExceeded) })
	defer s.timer.Stop()
	s.run(ctx)
}

// runner returns the runner of a pool, or nil when the configuration has no such pool.
func (m *Manager) runner(id azuretiller.PoolID) *runner {
	now := m.common.Clock.Now()
	current := m.current()
	m.mu.Lock()
	r := m.pools[id]
	if r == nil {
		if _, ok := current.Topology.Find(id); !ok {
			m.mu.Unlock()
			return nil
		}
		r = &runner{
			pool:     pool.New(current.Config.Services[id.Service], m.check),
			sessions: map[pool.TicketID]*session{},
			rechecks: map[pool.RecheckID]*session{},
		}
		m.pools[id] = r
	}
	m.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastUse = now
	m.configure(r, id, current, now)
	return r
}

// configure updates the owner, the settings and the servers of a pool from a snapshot. The caller must hold the
// runner's lock.
func (m *Manager) configure(r *runner, id azuretiller.PoolID, s *snapshot.Snapshot, now time.Time) {
	if r.snapshot == s {
		return
	}
	sameConfig := r.snapshot != nil && r.snapshot.Config == s.Config
	r.snapshot = s
	m.updateOwnership(r, id, s, now)
	if sameConfig {
		return
	}
	p, _ := s.Topology.Find(id)
	m.execute(r, id, r.pool.Configure(now, s.Config.Services[id.Service], p.Servers))
}

// execute performs the actions of a pool. The caller must hold the runner's lock.
func (m *Manager) execute(r *runner, id azuretiller.PoolID, actions []pool.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case pool.Start:
			r.notify(a.Ticket, a)
		case pool.Refuse:
			r.notify(a.Ticket, a)
		case pool.Deliver:
			r.notify(a.Ticket, a)
		case pool.Retain:
			r.retained = r.sessions[a.Ticket]
		case pool.Recheck:
			m.startRecheck(r, id, a)
		case pool.Probe:
			go m.probe(r, id, a.Server)
		case pool.LogLine:
			m.common.Log.WithFields(logFields(id, a)).Info(a.Name)
		}
	}
}

func (r *runner) notify(ticket pool.TicketID, a pool.Action) {
	if s, ok := r.sessions[ticket]; ok {
		s.actions <- a
	}
}

func (m *Manager) probe(r *runner, id azuretiller.PoolID, server azuretiller.ServerID) {
	ok := m.sender.Probe(context.Background(), server, m.current().Config.Services[id.Service].ProbePath)
	r.mu.Lock()
	defer r.mu.Unlock()
	m.execute(r, id, r.pool.FinishProbe(m.common.Clock.Now(), server, ok))
}

// Tick advances time in all pools and takes over the pools that this VM has become the owner of.
func (m *Manager) Tick() {
	now := m.common.Clock.Now()
	current := m.current()
	if m.lastSnapshot != current {
		m.lastSnapshot = current
		m.createOwnedRunners(current)
	}
	for id, r := range m.runners() {
		m.tick(r, id, current, now)
	}
}

// createOwnedRunners creates the runners of the pools that this VM owns. Without it, the takeover of a pool would only
// start with its first request.
func (m *Manager) createOwnedRunners(s *snapshot.Snapshot) {
	for _, pools := range s.Topology {
		for _, p := range pools {
			if p.Owner.ID == s.Self.ID {
				m.runner(p.ID)
			}
		}
	}
}

// runners returns a copy of the runners by pool.
func (m *Manager) runners() map[azuretiller.PoolID]*runner {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.pools)
}

func (m *Manager) tick(r *runner, id azuretiller.PoolID, s *snapshot.Snapshot, now time.Time) {
	r.mu.Lock()
	m.configure(r, id, s, now)
	m.execute(r, id, r.pool.Tick(now))
	idle := len(r.sessions) == 0 && len(r.rechecks) == 0 && now.Sub(r.lastUse) > unusedPoolTimeout
	r.mu.Unlock()
	if !idle {
		return
	}
	if p, ok := s.Topology.Find(id); !ok || p.Owner.ID != s.Self.ID {
		m.mu.Lock()
		delete(m.pools, id)
		m.mu.Unlock()
	}
}

// RecordCrash records a server crash that this or another VM observed.
func (m *Manager) RecordCrash(f crash.Fingerprint, server azuretiller.ServerID) {
	m.crashMu.Lock()
	defer m.crashMu.Unlock()
	if m.crashes.RecordCrash(f, server, m.common.Clock.Now()) {
		m.common.Log.WithField("server", server).Warn("request held back")
	}
}

func (m *Manager) admit(f crash.Fingerprint) (bool, time.Duration) {
	m.crashMu.Lock()
	defer m.crashMu.Unlock()
	return m.crashes.Admit(f, m.common.Clock.Now())
}

func (m *Manager) isHeld(f crash.Fingerprint) bool {
	m.crashMu.Lock()
	defer m.crashMu.Unlock()
	return m.crashes.IsHeld(f, m.common.Clock.Now())
}

// endTrial ends the trial of a request that had been held back. It has no effect if the request succeeded or crashed a
// server, because that ended the trial already.
func (m *Manager) endTrial(f crash.Fingerprint) {
	m.crashMu.Lock()
	defer m.crashMu.Unlock()
	m.crashes.EndTrial(f)
}

func (m *Manager) clearCrashes(f crash.Fingerprint) {
	m.crashMu.Lock()
	defer m.crashMu.Unlock()
	m.crashes.RecordSuccess(f)
}

// Report returns the state of the servers of all pools on this VM.
func (m *Manager) Report() map[azuretiller.PoolID][]pool.ServerReport {
	now := m.common.Clock.Now()
	runners := m.runners()
	out := make(map[azuretiller.PoolID][]pool.ServerReport, len(runners))
	for id, r := range runners {
		r.mu.Lock()
		out[id] = r.pool.Report(now)
		r.mu.Unlock()
	}
	return out
}
