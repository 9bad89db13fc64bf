package fleet

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/keyedstore"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/loopback"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/opconfig"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/worker"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/edge"
	"github.com/azuretiller/azuretiller/pkg/systemclock"
	"github.com/azuretiller/azuretiller/pkg/timer"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	// heartbeat is the time between the entries of a backend server.
	heartbeat = 500 * time.Millisecond
	// Host is the name that callers use.
	Host = "gateway.example"
	// Key is the key of the team Team.
	Key = "key-of-team-a"
	// Team is the team of the callers.
	Team = "team-a"
	// grace is the time from the signal to stop to the end.
	grace = time.Second
)

// Fleet is a whole deployment in one process.
type Fleet struct {
	Store   *keyedstore.Store
	Workers []*worker.Worker
	vms     []*vm
	log     log.Interface
	address string
	version int

	mu     sync.Mutex
	states map[azuretiller.InstanceID]string
}

type vm struct {
	settings platform.Settings
	edge     *edge.Edge
	stop     context.CancelFunc
	done     chan struct{}
}

// New starts a deployment with VMs and backend servers; it ends with the context.
func New(ctx context.Context, logger log.Interface, vms, workers int) (*Fleet, error) {
	f := &Fleet{Store: keyedstore.New(), log: logger, states: map[azuretiller.InstanceID]string{}}
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	f.address = l.Addr().String()
	server := &http.Server{Handler: f.Store.Handler(), ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	for i := range workers {
		w, err := worker.New(ctx, fmt.Sprint("i-", i), "service", fmt.Sprint("zone-", i%2))
		if err != nil {
			return nil, err
		}
		f.Workers = append(f.Workers, w)
		f.states[w.ID()] = "ready"
		go w.Serve(ctx)
	}
	go f.register(ctx)
	f.Configure(nil)
	for i := range vms {
		f.vms = append(f.vms, &vm{settings: f.settings(i)})
		f.Start(ctx, i)
	}
	return f, nil
}

// register writes the entries of all backend servers once a heartbeat.
func (f *Fleet) register(ctx context.Context) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		f.mu.Lock()
		for _, w := range f.Workers {
			if state := f.states[w.ID()]; state != "" {
				f.Store.Put("keyed.servers", string(w.ID()), w.Entry(state, sequence))
			}
		}
		f.mu.Unlock()
		timer.Pause(ctx, heartbeat)
	}
}

// Drain lets a backend server report that it leaves.
func (f *Fleet) Drain(w *worker.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[w.ID()] = "draining"
}

// Configure writes a configuration; change may alter it first.
func (f *Fleet) Configure(change func(resources []opconfig.Resource) []opconfig.Resource) int {
	f.version += 3
	const timeout, objective = "3000ms", "1000ms"
	resources := []opconfig.Resource{
		opconfig.Route("reads", Host, "/reads/", "safe", timeout, objective),
		opconfig.Route("orders", Host, "/orders/", "unsafe", timeout, objective),
		opconfig.Service(),
		opconfig.Team(Team, Key, 500, 500),
		opconfig.Limits(1 << 20),
	}
	if change != nil {
		resources = change(resources)
	}
	f.Store.Put("keyed.op", "config", opconfig.Encode(f.version, resources))
	return f.version
}

// settings returns those of a VM.
func (f *Fleet) settings(i int) platform.Settings {
	at := func(port int) string { return net.JoinHostPort(loopback.Host(i), strconv.Itoa(port)) }
	return platform.Settings{
		VM:        azuretiller.VMID(fmt.Sprint("vm-", i)),
		Zone:      azuretiller.Zone(fmt.Sprint("zone-", i%2)),
		Callers:   at(loopback.PortCallers),
		Ready:     at(loopback.PortReady),
		Addresses: at(loopback.PortAddresses),
		Peer:      at(loopback.PortPeers),
		Store:     f.address,
		Bounds: platform.Bounds{
			RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
			RateOver: 0.1, RateSlack: 20, RateWindow: 5 * time.Second,
			ColdOver: 1.5, ColdSlack: 5, Grace: grace,
		},
	}
}

// Start runs a VM that does not run.
func (f *Fleet) Start(ctx context.Context, i int) {
	v := f.vms[i]
	running, stop := context.WithCancel(ctx)
	c := &common.Common{Log: f.log.WithField("on", v.settings.VM), Clock: systemclock.New(), Metrics: tally.NoopScope}
	v.edge = edge.New(c, v.settings, platform.NewRegistry(platform.NewStore(f.address, func(string, bool) {})))
	v.stop = stop
	v.done = make(chan struct{})
	go func() {
		defer close(v.done)
		if err := v.edge.Run(running, nil); err != nil {
			f.log.WithError(err).Error("VM ended")
		}
	}()
}

// Stop ends a VM as a signal would, and waits for its end.
func (f *Fleet) Stop(i int) {
	f.vms[i].stop()
	<-f.vms[i].done
}

// State returns what a VM knows.
func (f *Fleet) State(i int) (version string, term azuretiller.Term, members int, ready bool) {
	s := f.vms[i].edge.State()
	if s.Config != nil {
		version = s.Config.Version
	}
	return version, s.Term, len(s.Members), s.Ready()
}

// Leads reports whether a VM leads.
func (f *Fleet) Leads(i int) bool { return f.vms[i].edge.State().Leader == f.vms[i].settings.Peer }

// Answer is what a caller got.
type Answer struct {
	Status  int
	Body    string
	Headers http.Header
	Err     error
}

// Request sends a request of a caller to a VM.
func (f *Fleet) Request(ctx context.Context, i int, method, path, attempt, key, body string) Answer {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.vms[i].settings.Callers+path, stringReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = Host
	request.Header.Set(platform.HeaderAttempt, attempt)
	request.Header.Set(platform.HeaderDeadline, "2500")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	return send(request)
}

func send(request *http.Request) Answer {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Body: string(data), Headers: response.Header, Err: err}
}

// Addresses asks a VM which VMs to use.
func (f *Fleet) Addresses(ctx context.Context, i int, zone string) Answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.vms[i].settings.Addresses+platform.PathResolve+"?name="+Host+"&zone="+zone, nil)
	if err != nil {
		return Answer{Err: err}
	}
	return send(request)
}
