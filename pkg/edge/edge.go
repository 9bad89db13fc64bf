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
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/gateway"
	"github.com/azuretiller/azuretiller/pkg/httpserve"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/leader"
	"github.com/azuretiller/azuretiller/pkg/link"
	"github.com/azuretiller/azuretiller/pkg/member"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/solo"
	"github.com/azuretiller/azuretiller/pkg/timer"
	"github.com/azuretiller/azuretiller/pkg/upstream"
	"github.com/azuretiller/azuretiller/pkg/world"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	timerStep = 5 * time.Millisecond
	// tickGap is the time between the ticks of the control state.
	tickGap = 50 * time.Millisecond
	// inboxSize is how many events may wait for the control goroutine.
	inboxSize = 4096
	// headerTimeout is used until a configuration states one.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than callers leave a connection idle.
	idleTimeout = 10 * time.Minute
	maxHeader   = 64 << 10
	// lingerShare is the share of the grace time in which a leaving VM still serves callers that know its address.
	lingerShare = 0.7
	// stopShare is the share of the grace time after which running requests are given up.
	stopShare = 0.95
	// askAge is the age from which a question is not answered any more: the VM that asked decides alone by then.
	askAge    = 200 * time.Millisecond
	drainPoll = 20 * time.Millisecond
)

// Edge is one VM.
type Edge struct {
	common   *common.Common
	settings platform.Settings
	registry azuretiller.Registry
	self     azuretiller.VM
	check    *invariant.Checker

	timer *timer.Service
	inbox chan any
	// urgent has the messages about the lead, which must not wait behind requests.
	urgent chan any
	state  atomic.Pointer[gateway.State]
	// grace is the time from SIGTERM to SIGKILL, in nanoseconds.
	grace   atomic.Int64
	link    *link.Link
	gateway *gateway.Gateway
	solo    *solo.Solo

	// running ends when the VM stops.
	running context.Context

	// What follows belongs to the control goroutine.
	member  *member.Member
	leader  *leader.Leader
	world   *world.World
	config  *config.Config
	feed    feed
	leaving bool
	// zipped returns the newest configuration in the platform's format, for VMs that cannot read the store.
	zipped atomic.Pointer[func() []byte]
}

// New returns a VM that is not running yet.
func New(c *common.Common, s platform.Settings, registry azuretiller.Registry) *Edge {
	now := c.Clock.Now()
	e := &Edge{
		common:   c,
		settings: s,
		registry: registry,
		self: azuretiller.VM{
			ID:          s.VM,
			Incarnation: azuretiller.Incarnation(now.UnixNano()),
			Zone:        s.Zone,
			Caller:      s.Callers,
			Peer:        s.Peer,
			Power:       s.Power,
		},
		timer:  timer.New(timerStep),
		inbox:  make(chan any, inboxSize),
		urgent: make(chan any, inboxSize),
		world:  world.New(),
	}
	e.check = invariant.New(func(text string) { c.Log.WithField("message", text).Error("invariant violated") })
	e.member = member.New(now, e.self, s.Seeds)
	e.solo = solo.New(s.Zone, rand.New(rand.NewPCG(uint64(e.self.Incarnation), 1)))
	e.grace.Store(int64(s.Bounds.Grace))
	e.state.Store(&gateway.State{VM: s.VM, Zone: s.Zone, Unsettled: true})
	return e
}

// State returns what the VM knows.
func (e *Edge) State() *gateway.State { return e.state.Load() }

// Run serves until the context ends, then drains and returns. Settings that come meanwhile replace the tolerances.
func (e *Edge) Run(ctx context.Context, reload <-chan platform.Settings) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	socket, err := e.listenDatagrams()
	if err != nil {
		return err
	}
	e.link = link.New(socket, uint64(e.self.Incarnation), e.incoming)
	e.gateway = gateway.New(e.common, e.State, e.link, upstream.New(), e.solo)
	servers, err := e.servers(running)
	if err != nil {
		return err
	}
	group, running := errgroup.WithContext(running)
	e.running = running
	for _, s := range servers {
		group.Go(func() error { return httpserve.Run(s.server, s.listener) })
	}
	group.Go(func() error { return e.link.Run(running) })
	group.Go(func() error { e.timer.Run(running); return nil })
	group.Go(func() error { e.control(running, reload); return nil })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			e.drain(running)
		case <-running.Done():
		}
		stop()
		for _, s := range servers {
			_ = s.server.Close()
		}
		return nil
	})
	return group.Wait()
}

func (e *Edge) listenDatagrams() (*net.UDPConn, error) {
	address, err := net.ResolveUDPAddr("udp", e.settings.Peer)
	if err != nil {
		return nil, errors.Wrap(err, "parse the address for traffic between VMs")
	}
	socket, err := net.ListenUDP("udp", address)
	return socket, errors.Wrap(err, "open the socket for datagrams")
}

// httpServer is one of the listeners of the VM.
type httpServer struct {
	server   *http.Server
	listener net.Listener
}

func (e *Edge) servers(ctx context.Context) ([]httpServer, error) {
	directory := gateway.NewDirectory(e.common.Log, e.State, e.settings.Callers, e.settings.Bounds.LongestTTL)
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{e.settings.Callers, e.gateway},
		{e.settings.Addresses, directoryRoutes(directory)},
		{e.settings.Ready, readyRoutes(e.State)},
		{e.settings.Peer, e.peerRoutes()},
	}
	var config net.ListenConfig
	var servers []httpServer
	for _, h := range handlers {
		l, err := config.Listen(ctx, "tcp", h.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", h.address)
		}
		servers = append(servers, httpServer{listener: l, server: &http.Server{
			Handler:           h.handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeader,
		}})
	}
	return servers, nil
}

// drain tells the fleet that this VM leaves, serves callers until they use others, and waits for running requests.
func (e *Edge) drain(ctx context.Context) {
	grace := time.Duration(e.grace.Load())
	e.common.Log.WithField("grace", grace).Info("leaving")
	started := e.common.Clock.Now()
	e.post(e.inbox, func() { e.leave() })
	timer.Pause(ctx, time.Duration(float64(grace)*lingerShare))
	for e.gateway.Running() > 0 && ctx.Err() == nil && e.common.Clock.Now().Sub(started) < time.Duration(float64(grace)*stopShare) {
		timer.Pause(ctx, drainPoll)
	}
	e.common.Log.WithField("running", e.gateway.Running()).Info("left")
}

// incoming hands a message to the control goroutine.
func (e *Edge) incoming(in link.Incoming) {
	switch in.Body.(type) {
	case message.Ask, message.Report, message.Grant:
		e.post(e.inbox, in)
	default:
		e.post(e.urgent, in)
	}
}

// post hands an event to the control goroutine, or drops it when too many wait.
func (e *Edge) post(to chan<- any, event any) {
	select {
	case to <- event:
	default:
		e.common.Metrics.Counter("events_dropped").Inc(1)
	}
}

func (e *Edge) note(name string, fields log.Fields) {
	e.common.Log.WithFields(fields).Info(name)
}

// send sends a datagram; one that cannot be sent is like one that was lost.
func (e *Edge) send(to string, m message.Envelope) {
	if err := e.link.Send(to, m); err != nil {
		e.common.Metrics.Counter("datagrams_failed").Inc(1)
	}
}
