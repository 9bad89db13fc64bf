package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/faultproxy"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/keyedstore"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/loopback"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/opconfig"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/worker"
	"github.com/azuretiller/azuretiller/pkg/timer"
)

const (
	// heartbeat is the time between the entries of a backend server.
	heartbeat = 500 * time.Millisecond
	// rate and burst limit the team with much traffic; rateOver and rateSlack are the tolerance of the deployment.
	rate      = 15.0
	burst     = 10.0
	rateOver  = 0.1
	rateSlack = 20
	// recovery is how long the fleet has after the last fault.
	recovery = 15 * time.Second
)

// Params say how a soak runs.
type Params struct {
	// Program is the path of azuretiller, Folder takes settings and logs.
	Program string
	Folder  string
	Seed    uint64
	VMs     int
	Workers int
	Callers int
	// Span is how long faults are made.
	Span time.Duration
	Out  io.Writer
}

// Soak is one run.
type Soak struct {
	params  Params
	random  *rand.Rand
	store   *keyedstore.Store
	vms     []*vm
	workers []*worker.Worker
	paths   []*faultproxy.Proxy
	version int
	ledger  *ledger

	mu     sync.Mutex
	faults []string
}

// Run makes one run and returns the broken promises.
func Run(ctx context.Context, p Params) ([]string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &Soak{params: p, random: rand.New(rand.NewPCG(p.Seed, 21)), store: keyedstore.New(), ledger: newLedger()}
	if err := os.MkdirAll(p.Folder, 0o700); err != nil {
		return nil, errors.Wrap(err, "make the folder for logs")
	}
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	defer s.stop()
	if !s.wait(ctx, recovery, s.serves) {
		return []string{"the fleet did not serve after its start"}, nil
	}
	load, endLoad := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range p.Callers {
		callers.Go(func() { s.call(load, i) })
	}
	s.harm(ctx)
	s.heal()
	recovered := s.wait(ctx, recovery, s.serves)
	endLoad()
	callers.Wait()
	broken := s.ledger.check(s.workers)
	if !recovered {
		broken = append(broken, "the fleet did not serve again within "+recovery.String()+" of the last fault")
	}
	for _, v := range s.vms {
		if v.exits > 0 {
			broken = append(broken, fmt.Sprintf("VM %d ended by itself %d times", v.index, v.exits))
		}
	}
	_, _ = fmt.Fprintf(p.Out, "seed %d: %s, %d faults, broken promises: %d\n", p.Seed, s.ledger, len(s.faults), len(broken))
	return broken, nil
}

func (s *Soak) start(ctx context.Context) error {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for the store")
	}
	server := &http.Server{Handler: s.store.Handler(), ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	for i := range s.params.Workers {
		w, err := worker.New(ctx, fmt.Sprint("i-", i), "service", fmt.Sprint("zone-", i%2))
		if err != nil {
			return err
		}
		path, err := faultproxy.New(ctx, "127.0.0.1:0", w.Address())
		if err != nil {
			return err
		}
		w.Behind(path.Address())
		w.Set(worker.Healthy, 20*time.Millisecond)
		s.workers = append(s.workers, w)
		s.paths = append(s.paths, path)
		go w.Serve(ctx)
		go path.Serve(ctx)
	}
	go s.register(ctx)
	s.configure()
	for i := range s.params.VMs {
		path, err := faultproxy.New(ctx, "127.0.0.1:0", l.Addr().String())
		if err != nil {
			return err
		}
		go path.Serve(ctx)
		v := &vm{index: i, ip: loopback.Host(i), folder: s.params.Folder, program: s.params.Program, store: path}
		if err := v.start(ctx, s.params.VMs); err != nil {
			return err
		}
		s.vms = append(s.vms, v)
	}
	return nil
}

// stop ends all processes that the soak started.
func (s *Soak) stop() {
	for _, v := range s.vms {
		v.signal(syscall.SIGKILL, true)
		<-v.ended
	}
}

func (s *Soak) register(ctx context.Context) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		for _, w := range s.workers {
			s.store.Put("keyed.servers", string(w.ID()), w.Entry("ready", sequence))
		}
		timer.Pause(ctx, heartbeat)
	}
}

// configure writes a new version of the same configuration.
func (s *Soak) configure() {
	s.version++
	const timeout, objective = "2s", "800ms"
	s.store.Put("keyed.op", "config", opconfig.Encode(s.version, []opconfig.Resource{
		opconfig.Route("reads", host, "/reads/", "safe", timeout, objective),
		opconfig.Route("orders", host, "/orders/", "unsafe", timeout, objective),
		opconfig.Service(),
		opconfig.Team(freeTeam, freeKey, 0, 0),
		opconfig.Team(limitedTeam, limitedKey, rate, burst),
	}))
}

// wait polls until a condition holds, and returns whether it did in time.
func (s *Soak) wait(ctx context.Context, most time.Duration, holds func(context.Context) bool) bool {
	deadline := time.Now().Add(most)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if holds(ctx) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// serves reports whether every VM serves a read.
func (s *Soak) serves(ctx context.Context) bool {
	for _, v := range s.vms {
		if s.request(ctx, http.DefaultClient, v.callers(), "GET", freeKey).status != http.StatusOK {
			return false
		}
	}
	return true
}
