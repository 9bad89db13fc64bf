package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/clientlimit"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/connlimit"
	"github.com/azuretiller/azuretiller/pkg/datagram"
	"github.com/azuretiller/azuretiller/pkg/drain"
	"github.com/azuretiller/azuretiller/pkg/fallback"
	"github.com/azuretiller/azuretiller/pkg/gateway"
	"github.com/azuretiller/azuretiller/pkg/httpserve"
	"github.com/azuretiller/azuretiller/pkg/invalidentries"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/leader"
	"github.com/azuretiller/azuretiller/pkg/member"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/pipeline"
	"github.com/azuretiller/azuretiller/pkg/registrycache"
	"github.com/azuretiller/azuretiller/pkg/servergate"
	"github.com/azuretiller/azuretiller/pkg/stall"
	"github.com/azuretiller/azuretiller/pkg/timer"
	"github.com/azuretiller/azuretiller/pkg/upstream"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	timerResolution = 5 * time.Millisecond
	// tickInterval is the time between two runs of the periodic work of the control goroutine.
	tickInterval = 50 * time.Millisecond
	// inboxSize is the capacity of each event queue of the control goroutine.
	inboxSize = 4096
	// acceptShare is the share of the grace period during which a leaving VM accepts requests of callers that still have its address.
	// The rest of the period is left for these requests to finish.
	acceptShare = 0.5
	// maxAcceptTime limits that time for long grace periods. Only requests that were sent earlier may still be running when the VM stops.
	maxAcceptTime = 3 * time.Second
	// endTimeout bounds the time that requests get to write their log lines after their connections were closed.
	endTimeout = 100 * time.Millisecond
	// endShare is the share of the grace period after which the VM does not wait for them any more.
	endShare = 0.99
	// maxPlaceRequestAge is the age above which a PlaceRequest is discarded, since the VM that sent it is about to
	// select a server itself.
	maxPlaceRequestAge = 200 * time.Millisecond
)

// Edge is one VM of the fleet.
type Edge struct {
	common          *common.Common
	processSettings platform.Settings
	registry        azuretiller.Registry
	self            azuretiller.VM
	check           *invariant.Checker

	timer  *timer.Service
	stalls *stall.Watch
	inbox  chan any
	// urgent queues the messages about leadership and membership, which must not wait behind requests.
	urgent chan any
	state  atomic.Pointer[gateway.State]
	// grace is the grace period in nanoseconds: the time from SIGTERM to SIGKILL.
	grace atomic.Int64
	// ttl is the time in nanoseconds for which callers may cache an address response.
	ttl     atomic.Int64
	socket  *datagram.Socket
	gateway *gateway.Gateway
	// metricsAddress is empty if no metrics are served.
	metricsAddress string
	metricsHandler http.Handler
	// pipeline accepts the connections of callers.
	pipeline *pipeline.Listener
	placer   *fallback.Placer
	gate     *servergate.Gate

	// runCtx ends when the VM stops.
	runCtx context.Context

	// The fields below, except compressedConfig, are accessed only by the control goroutine.
	member *member.Member
	leader *leader.Leader
	// handOver holds the tokens of the last term that this VM led, until they are sent to its successor.
	handOver      *message.HandOver
	registryCache *registrycache.Cache
	// invalidEntries selects the invalid entries of the server registry that are logged.
	invalidEntries *invalidentries.Tracker
	config         *config.Config
	reads          readState
	leaving        bool
	// listed identifies the servers that were passed to gate last.
	listed listedServers
	// compressedConfig returns the newest configuration in the platform's format, compressed with gzip, for VMs that do not read the
	// store.
	compressedConfig atomic.Pointer[func() []byte]
}

// New returns a VM that is not running yet.
func New(c *common.Common, s platform.Settings, registry azuretiller.Registry) *Edge {
	now := c.Clock.Now()
	e := &Edge{
		common:          c,
		processSettings: s,
		registry:        registry,
		self: azuretiller.VM{
			ID:            s.VM,
			Incarnation:   azuretiller.Incarnation(now.UnixNano()),
			Zone:          s.Zone,
			CallerAddress: s.CallerAddress,
			PeerAddress:   s.PeerAddress,
			CPUPercent:    s.CPUPercent,
		},
		timer:          timer.New(timerResolution),
		stalls:         stall.New(c.Clock),
		inbox:          make(chan any, inboxSize),
		urgent:         make(chan any, inboxSize),
		registryCache:  registrycache.New(s.ServerHeartbeat),
		invalidEntries: invalidentries.New(),
	}
	e.check = invariant.New(func(text string) { c.Log.WithField("message", text).Error("invariant violated") })
	e.member = member.New(now, e.self, s.Seeds)
	e.gate = servergate.New()
	e.placer = fallback.New(now, s.Zone, rand.New(rand.NewPCG(uint64(e.self.Incarnation), 1)))
	e.placer.SetTolerance(rateTolerance(s.Bounds))
	e.grace.Store(int64(s.Bounds.Grace))
	e.ttl.Store(int64(addressTTL(s.Bounds)))
	e.state.Store(&gateway.State{VM: s.VM, Zone: s.Zone, LeaderExpected: true})
	return e
}

// ServeMetrics makes Run serve the metrics of the process on an address. It must be called before Run.
func (e *Edge) ServeMetrics(address string, handler http.Handler) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", handler)
	e.metricsAddress, e.metricsHandler = address, mux
}

// State returns the newest state of the VM.
func (e *Edge) State() *gateway.State { return e.state.Load() }

// Run serves until the context ends, then drains and returns. Settings received from reload replace the bounds, see Edge.reload.
func (e *Edge) Run(ctx context.Context, reload <-chan platform.Settings) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	socket, err := e.listenDatagrams()
	if err != nil {
		return err
	}
	e.socket = datagram.New(socket, uint64(e.self.Incarnation), e.enqueueMessage)
	e.gateway = gateway.New(e.common, e.State, e.socket, upstream.New(), e.placer, e.gate)
	callerServer, otherServers, err := e.listenHTTP(running)
	if err != nil {
		return err
	}
	group, running := errgroup.WithContext(running)
	e.runCtx = running
	httpServers := append(otherServers, callerServer)
	for _, s := range httpServers {
		group.Go(func() error { return httpserve.Run(s.server, s.listener) })
	}
	group.Go(func() error { return e.socket.Run(running) })
	group.Go(func() error { e.timer.Run(running); return nil })
	group.Go(func() error { e.stalls.Run(running, e.timer.Subscribe(stall.Interval)); return nil })
	group.Go(func() error { e.control(running, reload); return nil })
	group.Go(func() error {
		endBy := e.awaitStop(ctx, running, callerServer)
		stop()
		e.closeServers(context.WithoutCancel(ctx), httpServers, endBy)
		return nil
	})
	return group.Wait()
}

// awaitStop waits until ctx ends and then drains, or until a part of the VM has failed. It returns the time by which the process must end.
func (e *Edge) awaitStop(ctx, running context.Context, callers httpServer) time.Time {
	select {
	case <-ctx.Done():
		return e.drain(running, callers)
	case <-running.Done():
		return e.common.Clock.Now().Add(endTimeout)
	}
}

func (e *Edge) listenDatagrams() (*net.UDPConn, error) {
	address, err := net.ResolveUDPAddr("udp", e.processSettings.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "resolve UDP address for traffic between VMs")
	}
	socket, err := net.ListenUDP("udp", address)
	return socket, errors.Wrap(err, "open UDP socket for traffic between VMs")
}

// httpServer is an HTTP server of the VM with its listener.
type httpServer struct {
	server   *http.Server
	listener net.Listener
}

// listenHTTP opens the listeners of the VM. It returns the server for callers' requests and the others.
func (e *Edge) listenHTTP(ctx context.Context) (callers httpServer, others []httpServer, err error) {
	limits := e.newClientLimits()
	callers, err = e.listenCallers(ctx, limits.CallerLimiter())
	if err != nil {
		return httpServer{}, nil, err
	}
	resolver := gateway.NewResolver(e.common.Log, e.State, e.processSettings.CallerAddress, func() time.Duration { return time.Duration(e.ttl.Load()) })
	for _, h := range []struct {
		address string
		handler http.Handler
	}{
		{e.processSettings.ResolveAddress, resolverRoutes(resolver)},
		{e.processSettings.ReadinessAddress, readyRoutes(e.State)},
		{e.processSettings.PeerAddress, e.peerRoutes()},
		{e.metricsAddress, e.metricsHandler},
	} {
		if h.handler == nil {
			continue
		}
		other, err := newHTTPServer(ctx, h.address, h.handler, limits.OtherLimiter())
		if err != nil {
			return httpServer{}, nil, err
		}
		others = append(others, other)
	}
	return callers, others, nil
}

// listenCallers opens the listener for callers. The limiter counts what net/http reads, so that the requests that are read ahead lie below it.
func (e *Edge) listenCallers(ctx context.Context, limiter *connlimit.Limiter) (httpServer, error) {
	l, err := clientlimit.Listen(ctx, e.processSettings.CallerAddress)
	if err != nil {
		return httpServer{}, err
	}
	e.pipeline = pipeline.New(l, e.common, e.gateway, e.gateway.MayReadAhead)
	callers := limitedServer(ctx, e.pipeline, e.pipeline.Handler(), limiter)
	callers.server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return e.pipeline.ConnContext(limiter.ConnContext(ctx, c), c)
	}
	return callers, nil
}

func newHTTPServer(ctx context.Context, address string, handler http.Handler, limiter *connlimit.Limiter) (httpServer, error) {
	l, err := clientlimit.Listen(ctx, address)
	if err != nil {
		return httpServer{}, err
	}
	return limitedServer(ctx, l, handler, limiter), nil
}

// limitedServer returns a server with the limits for clients.
func limitedServer(ctx context.Context, l net.Listener, handler http.Handler, limiter *connlimit.Limiter) httpServer {
	go limiter.Run(ctx)
	return httpServer{listener: limiter.Listen(l), server: limiter.Server(handler)}
}

// drain announces that this VM is leaving, accepts requests until callers use other VMs, and then waits for the running ones. It returns the
// time by which the process must end.
//
// Without an end to the requests that it accepts, there would always be one that is running when the VM stops.
func (e *Edge) drain(ctx context.Context, callers httpServer) time.Time {
	grace := time.Duration(e.grace.Load())
	leavingAt := e.stalls.SentAt()
	e.gateway.Lifetime().Leave(leavingAt)
	e.logLeaving("leaving", log.Fields{"grace": grace})
	times := drain.NewTimes(leavingAt, grace)
	// The answers of this VM to callers that look up addresses expire within this time, also if it noticed late that it is leaving.
	e.acceptRequests(ctx, min(acceptTime(grace), times.StopAt.Sub(e.common.Clock.Now())))
	e.gateway.StopAt(times.StopAt)
	e.logLeaving("closed to callers", log.Fields{"running": e.running(), "until": times.StopAt.Sub(e.common.Clock.Now())})
	d := drain.Drain{Server: callers.server, Listener: callers.listener, Running: e.running, Stop: e.gateway.Stop}
	result := d.Run(ctx, times)
	result.Log(e.common.Log)
	e.logLeaving("left", log.Fields{"running": e.running(), "stopped": result.Stopped, "cut": result.Cut, "grace": grace})
	return leavingAt.Add(scale(grace, endShare))
}

// logLeaving logs a step of the stop of the VM.
func (e *Edge) logLeaving(step string, fields log.Fields) {
	now, life := e.common.Clock.Now(), e.gateway.Lifetime()
	fields["stopping"], fields["up"] = life.Stopping(now), life.Up(now)
	e.logEvent(step, fields)
}

// closeServers closes all connections, and waits until the requests that are cut by this have written their log lines, at most for endTimeout
// and until the given time.
func (e *Edge) closeServers(ctx context.Context, servers []httpServer, until time.Time) {
	e.gateway.Lifetime().Close()
	for _, s := range servers {
		_ = s.server.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, min(endTimeout, until.Sub(e.common.Clock.Now())))
	defer cancel()
	if !drain.AwaitEnds(ctx, func() int { return e.running() + e.pipeline.Unreported() }) {
		e.common.Log.WithField("running", e.running()).Warn("requests not ended")
	}
}

// acceptRequests tells the other VMs that this one is leaving, and returns after the given time.
func (e *Edge) acceptRequests(ctx context.Context, duration time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	// Unlike enqueue, this waits while the queue is full: nothing repeats a dropped event.
	select {
	case e.urgent <- func() { e.startLeaving() }:
	case <-ctx.Done():
		e.common.Log.Error("leaving not announced")
	}
	<-ctx.Done()
}

// running returns the number of requests that are being served or whose responses wait for their turn.
func (e *Edge) running() int {
	if e.pipeline == nil {
		// The listeners are not open yet.
		return e.gateway.Running()
	}
	return max(e.gateway.Running(), e.pipeline.Outstanding())
}

// acceptTime returns how long a leaving VM accepts requests.
func acceptTime(grace time.Duration) time.Duration {
	return min(scale(grace, acceptShare), maxAcceptTime)
}

func scale(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }

// enqueueMessage puts a message from another VM into one of the event queues of the control goroutine.
func (e *Edge) enqueueMessage(in datagram.Incoming) {
	switch in.Body.(type) {
	case message.PlaceRequest, message.Report, message.PlaceResponse:
		e.enqueue(e.inbox, in)
	default:
		e.enqueue(e.urgent, in)
	}
}

// enqueue puts an event into a queue of the control goroutine, or drops the event if the queue is full.
func (e *Edge) enqueue(to chan<- any, event any) {
	select {
	case to <- event:
	default:
		e.common.Metrics.Counter("events_dropped").Inc(1)
	}
}

func (e *Edge) logEvent(name string, fields log.Fields) {
	e.common.Log.WithFields(fields).Info(name)
}

// send sends a datagram. Errors are only counted, since senders have to handle lost datagrams anyway.
func (e *Edge) send(to string, m message.Envelope) {
	if err := e.socket.Send(to, m); err != nil {
		e.common.Metrics.Counter("datagrams_failed").Inc(1)
	}
}
