package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/backendserver"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/faultproxy"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/keyedstore"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/loopback"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/operatorconfig"
	"github.com/azuretiller/azuretiller/pkg/timer"
)

const (
	// heartbeatInterval is the time between two registry entries of a backend server.
	heartbeatInterval = 500 * time.Millisecond
	// limitedRatePerSecond and limitedBurst are the quota of the limited team. Within a window, the team may exceed the quota by
	// the fraction rateTolerance of it plus rateSlackRequests requests.
	limitedRatePerSecond = 15.0
	limitedBurst         = 10.0
	rateTolerance        = 0.1
	rateSlackRequests    = 20
	// requestTimeout is the timeout of the routes unless planned work changes it, and that which callers ask for.
	requestTimeout = 2 * time.Second
	// recoveryTimeout is the time within which all VMs must serve after the start and after the last fault.
	recoveryTimeout = 15 * time.Second
)

// Params are the parameters of a run.
type Params struct {
	// Program is the path of the azuretiller program, and Folder the directory for settings and logs.
	Program string
	Folder  string
	Seed    uint64
	VMs     int
	Servers int
	Callers int
	// FaultDuration is the time during which new faults are injected.
	FaultDuration time.Duration
	// Rollouts means that a version is rolled out meanwhile, see runRollout.
	Rollouts bool
	// Planned means that rolling restarts and changes take the place of the random faults, and that some callers pipeline requests.
	Planned bool
	Out     io.Writer
}

// Soak is the state of one run.
type Soak struct {
	params Params
	random *rand.Rand
	// restores draws the restores of the store, and endless the kinds of responses without an end. Each has a source of its own, so that the
	// other faults of a seed stay the same.
	restores, endless *rand.Rand
	store             *keyedstore.Store
	vms               []*vm
	servers           []*backendserver.Server
	proxies           []*faultproxy.Proxy
	// configVersion is the version of the newest configuration in the store.
	configVersion int
	// routeTimeout is the timeout of the routes in it.
	routeTimeout time.Duration
	recorder     *recorder
	rollout      rolloutRun

	// mu serialises configure calls of overlapping faults, and guards routeTimeout.
	mu sync.Mutex
	// faults describes the faults that were started.
	faults []string
	// noticeCount is the number of times that a server began to say that it leaves or wants a pause.
	noticeCount int
}

// Run performs one run and returns the violations of the system's guarantees.
func Run(ctx context.Context, p Params) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &Soak{params: p, random: rand.New(rand.NewPCG(p.Seed, 21)), restores: rand.New(rand.NewPCG(p.Seed, 22)), endless: rand.New(rand.NewPCG(p.Seed, 24)), store: keyedstore.New(), routeTimeout: requestTimeout, recorder: newRecorder()}
	if err := os.MkdirAll(p.Folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "create the directory for settings and logs")
	}
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	defer s.stop()
	if !s.waitUntil(ctx, s.allVMsServe) {
		return []string{"not all VMs served requests after the start"}, nil
	}
	callerCtx, stopCallers := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range p.Callers {
		callers.Go(func() { s.runCaller(callerCtx, i) })
	}
	for i := range uploaders {
		callers.Go(func() { s.runUploads(callerCtx, i) })
	}
	var rollout sync.WaitGroup
	if p.Rollouts {
		rollout.Go(func() { s.runRollout(ctx) })
	}
	if p.Planned {
		for i := range pipeliners {
			callers.Go(func() { s.runPipelines(callerCtx, i) })
		}
		s.runPlannedWork(ctx)
	} else {
		var notices sync.WaitGroup
		notices.Go(func() { s.injectNotices(ctx) })
		s.injectFaults(ctx)
		notices.Wait()
	}
	rollout.Wait()
	s.clearFaults()
	recovered := s.waitUntil(ctx, s.allVMsServe)
	configured := s.configureAroundRestore(ctx)
	stopCallers()
	callers.Wait()
	violations := s.recorder.findViolations(slices.Concat(s.servers, s.rollout.servers))
	violations = append(violations, s.checkRollout()...)
	if !recovered {
		violations = append(violations, "not all VMs served requests again within "+recoveryTimeout.String()+" of the last fault")
	}
	if !configured {
		violations = append(violations, "not all VMs served a new route within "+recoveryTimeout.String())
	}
	peakMemory := int64(0)
	for _, v := range s.vms {
		v.recordMemory()
		peakMemory = max(peakMemory, v.peakMemory)
		if v.unexpectedExits > 0 {
			violations = append(violations, fmt.Sprintf("VM %d exited unexpectedly %d times, last with %s", v.index, v.unexpectedExits, v.lastUnexpectedExit))
		}
		if v.peakMemory > memoryMB<<20 {
			violations = append(violations, fmt.Sprintf("VM %d used %d MB of memory", v.index, v.peakMemory>>20))
		}
	}
	if p.Rollouts {
		_, _ = fmt.Fprintf(p.Out, "seed %d: %s\n", p.Seed, s.describeRollout())
	}
	_, _ = fmt.Fprintf(p.Out, "seed %d: %s, %d faults, %d notices, peak memory %d MB, violations: %d\n",
		p.Seed, s.recorder, len(s.faults), s.noticeCount, peakMemory>>20, len(violations))
	return violations, nil
}

func (s *Soak) start(ctx context.Context) error {
	var listenConfig net.ListenConfig
	l, err := listenConfig.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the store")
	}
	storeServer := &http.Server{Handler: s.store.Handler(), ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = storeServer.Close() })
	go func() { _ = storeServer.Serve(l) }()
	for i := range s.params.Servers {
		server, err := backendserver.New(ctx, fmt.Sprint("i-", i), "service", fmt.Sprint("zone-", i%2))
		if err != nil {
			return err
		}
		proxy, err := faultproxy.New(ctx, "127.0.0.1:0", server.Address())
		if err != nil {
			return err
		}
		server.Advertise(proxy.Address())
		server.SetFault(backendserver.Healthy, 20*time.Millisecond)
		s.servers = append(s.servers, server)
		s.proxies = append(s.proxies, proxy)
		go server.Serve(ctx)
		go proxy.Serve(ctx)
	}
	if s.params.Rollouts {
		if err := s.startNewVersion(ctx); err != nil {
			return err
		}
	}
	go s.register(ctx)
	s.configure()
	for i := range s.params.VMs {
		storeProxy, err := faultproxy.New(ctx, "127.0.0.1:0", l.Addr().String())
		if err != nil {
			return err
		}
		go storeProxy.Serve(ctx)
		v := &vm{index: i, ip: loopback.Host(i), folder: s.params.Folder, program: s.params.Program, storeProxy: storeProxy}
		if s.params.Rollouts {
			v.bounds = rolloutSettings
		}
		if err := v.start(ctx, s.params.VMs); err != nil {
			return err
		}
		s.vms = append(s.vms, v)
	}
	return nil
}

// stop kills all processes that the soak started.
func (s *Soak) stop() {
	for _, v := range s.vms {
		v.signal(syscall.SIGKILL, true)
		<-v.exited
	}
}

// register writes the registry entries of all backend servers once per heartbeat interval.
func (s *Soak) register(ctx context.Context) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		for _, server := range s.servers {
			s.store.Put("keyed.servers", string(server.ID()), server.RegistryEntry("ready", sequence))
		}
		if s.rollout.registered.Load() {
			for _, server := range s.rollout.servers {
				s.store.Put("keyed.servers", string(server.ID()), server.RegistryEntry("ready", sequence))
			}
		}
		timer.Sleep(ctx, heartbeatInterval)
	}
}

// configure writes the configuration to the store under a new version.
func (s *Soak) configure() {
	s.configVersion++
	const targetLatency = "800ms"
	timeout := s.routeTimeout.String()
	s.store.Put("keyed.op", "config", operatorconfig.Encode(s.configVersion, []operatorconfig.Resource{
		operatorconfig.Route("reads", host, readsPath, "safe", timeout, targetLatency),
		operatorconfig.Route("orders", host, ordersPath, "unsafe", timeout, targetLatency),
		operatorconfig.Route("newest", host, s.newestRoute(), "safe", timeout, targetLatency),
		operatorconfig.Service(),
		operatorconfig.Team(freeTeam, freeKey, 0, 0),
		operatorconfig.Team(limitedTeam, limitedKey, limitedRatePerSecond, limitedBurst),
	}))
}

// configureAroundRestore writes configurations that are lost in a restore of the store, and another one afterwards. It reports whether all VMs
// applied them in time.
func (s *Soak) configureAroundRestore(ctx context.Context) bool {
	const lost = 4
	c := s.store.Copy()
	for range lost {
		s.configure()
	}
	if !s.waitUntil(ctx, s.allVMsHaveNewestConfiguration) {
		return false
	}
	rewrite := s.store.Restore(c)
	rewrite()
	s.configure()
	return s.waitUntil(ctx, s.allVMsHaveNewestConfiguration)
}

// newestRoute is the path of the route that only the newest configuration has.
func (s *Soak) newestRoute() string { return fmt.Sprintf("/v%d/", s.configVersion) }

// allVMsHaveNewestConfiguration reports whether every VM serves the route that only the newest configuration has.
func (s *Soak) allVMsHaveNewestConfiguration(ctx context.Context) bool {
	return s.allVMsServePath(ctx, s.newestRoute())
}

// waitUntil polls until a condition holds, and reports whether it held within recoveryTimeout.
func (s *Soak) waitUntil(ctx context.Context, holds func(context.Context) bool) bool {
	deadline := time.Now().Add(recoveryTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if holds(ctx) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// allVMsServe reports whether every VM answers a read successfully.
func (s *Soak) allVMsServe(ctx context.Context) bool { return s.allVMsServePath(ctx, readsPath) }

func (s *Soak) allVMsServePath(ctx context.Context, path string) bool {
	for _, v := range s.vms {
		if s.request(ctx, http.DefaultClient, v, "GET", path, freeKey).status != http.StatusOK {
			return false
		}
	}
	return true
}
