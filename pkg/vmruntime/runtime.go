package vmruntime

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/clientlimit"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/connlimit"
	"github.com/azuretiller/azuretiller/pkg/control"
	"github.com/azuretiller/azuretiller/pkg/dispatch"
	"github.com/azuretiller/azuretiller/pkg/drain"
	"github.com/azuretiller/azuretiller/pkg/handshake"
	"github.com/azuretiller/azuretiller/pkg/httpserve"
	"github.com/azuretiller/azuretiller/pkg/idempotency"
	"github.com/azuretiller/azuretiller/pkg/idstore"
	"github.com/azuretiller/azuretiller/pkg/ingress"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/mesh"
	"github.com/azuretiller/azuretiller/pkg/peers"
	"github.com/azuretiller/azuretiller/pkg/picker"
	"github.com/azuretiller/azuretiller/pkg/poolowner"
	"github.com/azuretiller/azuretiller/pkg/ratelimit"
	"github.com/azuretiller/azuretiller/pkg/rateshare"
	"github.com/azuretiller/azuretiller/pkg/record"
	"github.com/azuretiller/azuretiller/pkg/settings"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
	"github.com/azuretiller/azuretiller/pkg/stall"
	"github.com/azuretiller/azuretiller/pkg/timer"
)

const (
	timerStep           = 10 * time.Millisecond
	controlTickInterval = 50 * time.Millisecond
	poolTickInterval    = 20 * time.Millisecond
	// sweepInterval is the time between two sweeps of the rate limiter.
	sweepInterval = 100 * time.Millisecond
	inboxSize     = 1024
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	// endTimeout bounds the time that requests get to write their log lines after their connections were closed.
	endTimeout = 100 * time.Millisecond
)

// Listeners are the listening sockets of a VM.
type Listeners struct {
	Caller   net.Listener
	Peer     net.Listener
	Operator net.Listener
}

// Runtime runs one VM of the fleet.
type Runtime struct {
	common   *common.Common
	settings settings.Settings
	log      azuretiller.Log
	self     azuretiller.VM

	snapshot atomic.Pointer[snapshot.Snapshot]
	// inbox carries control.Event and func(*control.State) values to the control goroutine.
	inbox      chan any
	state      *control.State
	timer      *timer.Service
	stalls     *stall.Watch
	mesh       *mesh.Mesh
	peers      *peers.Client
	sender     *dispatch.Sender
	ownedPools *poolowner.Manager
	ingress    *ingress.Handler
	requestIDs *idstore.Store
	limiter    *ratelimit.Limiter
	ready      chan struct{}
	readyOnce  sync.Once
	// ctx ends when the VM stops; background work of the control goroutine uses it.
	ctx  context.Context
	stop context.CancelFunc

	ratesMu          sync.Mutex
	rates            *rateshare.Manager
	idsMu            sync.Mutex
	ids              *idempotency.Store
	verdictWaitersMu sync.Mutex
	verdictWaiters   map[string]chan record.Verdict
}

// New returns a VM that is not running yet.
func New(c *common.Common, s settings.Settings, log azuretiller.Log) *Runtime {
	now := c.Clock.Now()
	self := s.VM
	self.Incarnation = azuretiller.Incarnation(now.UnixNano())
	rt := &Runtime{
		common:         c,
		settings:       s,
		log:            log,
		self:           self,
		inbox:          make(chan any, inboxSize),
		state:          control.New(self, s.Control, uint64(self.Incarnation)),
		timer:          timer.New(timerStep),
		stalls:         stall.New(c.Clock),
		sender:         dispatch.New(),
		ready:          make(chan struct{}),
		rates:          rateshare.New(self.ID, s.Control.MaxViewAge),
		ids:            idempotency.New(now, s.MemoryBytes),
		verdictWaiters: map[string]chan record.Verdict{},
	}
	rt.snapshot.Store(&snapshot.Snapshot{Self: self, MaxViewAge: s.Control.MaxViewAge})
	invariants := invariant.New(func(message string) { c.Log.WithField("message", message).Error("invariant violated") })
	rt.mesh = mesh.New(c, handshake.New(s.FleetSecret, self), rt)
	rt.peers = peers.New(rt)
	rt.ownedPools = poolowner.New(c, invariants, rt.sender, rt, rt.Snapshot)
	rt.limiter = ratelimit.New(self.ID, c.Clock, rt.peers)
	random := rand.New(rand.NewPCG(uint64(self.Incarnation), 1))
	rt.requestIDs = idstore.New(c, rt.peers)
	rt.ingress = ingress.New(c, rt.Snapshot, rt.limiter, picker.New(self.Zone, c.Clock, random), rt, rt.requestIDs)
	return rt
}

// Snapshot returns the latest snapshot of the configuration and of the membership view.
func (rt *Runtime) Snapshot() *snapshot.Snapshot { return rt.snapshot.Load() }

// Ready returns a channel that is closed once the VM has a configuration.
func (rt *Runtime) Ready() <-chan struct{} { return rt.ready }

// Run serves requests until the context ends, then drains and returns. The operatorHandler is served on the operators' listener.
func (rt *Runtime) Run(ctx context.Context, l Listeners, operatorHandler http.Handler) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	rt.ctx = runCtx
	rt.stop = stop
	group, runCtx := errgroup.WithContext(runCtx)
	limits := clientlimit.New(clientlimit.Params{
		Common: rt.common, Memory: rt.settings.MemoryBytes, Descriptors: rt.settings.Descriptors, Limits: rt.clientLimits,
	})
	callers, others, vms := limits.CallerLimiter(), limits.OtherLimiter(), limits.OtherLimiter()
	ops := newOperators(operatorHandler)
	defer ops.stop()
	callerServer, operatorServer := callers.Server(rt.ingress), others.Server(ops)
	callerListener := callers.Listen(l.Caller)
	for _, limiter := range []*connlimit.Limiter{callers, others} {
		group.Go(func() error { limiter.Run(runCtx); return nil })
	}
	group.Go(func() error { return rt.mesh.Serve(runCtx, vms.ListenPlain(l.Peer)) })
	group.Go(func() error { return httpserve.Run(callerServer, callerListener) })
	group.Go(func() error { return httpserve.Run(operatorServer, others.Listen(l.Operator)) })
	group.Go(func() error { rt.timer.Run(runCtx); return nil })
	group.Go(func() error { rt.stalls.Run(runCtx, rt.timer.Subscribe(stall.Interval)); return nil })
	group.Go(func() error { rt.controlLoop(runCtx); return nil })
	group.Go(func() error { rt.runEvery(runCtx, poolTickInterval, rt.ownedPools.Tick); return nil })
	group.Go(func() error { rt.runEvery(runCtx, sweepInterval, func() { rt.limiter.Sweep(runCtx) }); return nil })
	group.Go(func() error {
		var until time.Time
		select {
		case <-ctx.Done():
			ends := rt.drain(runCtx, callerServer, callerListener)
			ops.drain(runCtx, operatorServer, ends.stop)
			until = ends.grace
		case <-runCtx.Done():
		}
		stop()
		rt.ingress.Lifetime().Close()
		_ = callerServer.Close()
		_ = operatorServer.Close()
		rt.finishRequestIDs(context.WithoutCancel(ctx), until)
		rt.mesh.Close()
		rt.sender.Close()
		rt.awaitEnds(context.WithoutCancel(ctx))
		return nil
	})
	return group.Wait()
}

// clientLimits returns the limits of a connection of a caller or an operator.
func (rt *Runtime) clientLimits() connlimit.Limits {
	return connlimit.Limits{HeadBytes: rt.settings.MaxHeaderBytes, HeadTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

func (rt *Runtime) runEvery(ctx context.Context, interval time.Duration, work func()) {
	ticks := rt.timer.Subscribe(interval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			work()
		}
	}
}

// ends are the times of a stop.
type ends struct {
	// stop is when requests that are still running must respond, and grace the end of the grace period.
	stop, grace time.Time
}

// drain announces that this VM is leaving, so that new address lists do not contain it. It serves callers until the earlier
// lists have expired and then waits for the running requests, at most until little of the grace period is left to finish their ids.
func (rt *Runtime) drain(ctx context.Context, callerServer *http.Server, callers net.Listener) ends {
	leavingAt, life := rt.stalls.SentAt(), rt.ingress.Lifetime()
	life.Leave(leavingAt)
	rt.common.Log.WithField("vm", rt.self.ID).WithField("up", life.Up(leavingAt)).Info("leaving")
	rt.postEvent(control.LeaveBegun{At: leavingAt})
	timer.Sleep(ctx, rt.settings.DrainDuration)
	drainedAt := leavingAt.Add(rt.settings.DrainDuration)
	times := drain.NewTimes(drainedAt, rt.settings.GracePeriod)
	d := drain.Drain{Server: callerServer, Listener: callers, Running: rt.ingress.Running, Stop: rt.ingress.Stop}
	result := d.Run(ctx, times)
	ctx, cancel := context.WithDeadline(ctx, times.CloseAt)
	defer cancel()
	rt.ownedPools.Drain(ctx)
	result.Cut += rt.ownedPools.Running()
	result.Log(rt.common.Log)
	rt.common.Metrics.Counter("requests_stopped").Inc(int64(result.Stopped))
	rt.common.Metrics.Counter("requests_cut").Inc(int64(result.Cut))
	rt.common.Log.WithField("vm", rt.self.ID).WithField("stopped", result.Stopped).WithField("cut", result.Cut).Info("left")
	return ends{stop: times.StopAt, grace: drainedAt.Add(rt.settings.GracePeriod)}
}

// finishRequestIDs waits until the ids of the requests that have ended, also of those whose connections were closed, are finished on the VMs that
// store them, at most until the given time.
func (rt *Runtime) finishRequestIDs(ctx context.Context, until time.Time) {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	closedCtx, cancelClosed := context.WithTimeout(ctx, endTimeout)
	defer cancelClosed()
	drain.AwaitEnds(closedCtx, rt.ingress.Running)
	// Calls that wait for a VM that does not read end with its connection only.
	defer context.AfterFunc(ctx, rt.mesh.Close)()
	rt.requestIDs.Close(ctx)
}

// awaitEnds waits until the requests whose connections were closed have written their log lines.
func (rt *Runtime) awaitEnds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	if !drain.AwaitEnds(ctx, rt.ingress.Running) {
		rt.common.Log.WithField("running", rt.ingress.Running()).Warn("requests not ended")
	}
}

// Kill stops the VM without draining it, as a crash would.
func (rt *Runtime) Kill() { rt.stop() }
