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
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/backendserver"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/invalidentry"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/keyedstore"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/loopback"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/operatorconfig"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/edge"
	"github.com/azuretiller/azuretiller/pkg/systemclock"
	"github.com/azuretiller/azuretiller/pkg/timer"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	// heartbeatInterval is the time between two registry entries of a backend server.
	heartbeatInterval = 500 * time.Millisecond
	// Host is the host name in the callers' requests.
	Host = "gateway.example"
	// Key is the API key of Team.
	Key = "key-of-team-a"
	// Team is the team that the callers belong to.
	Team = "team-a"
	// shutdownGrace is the time that a VM has to shut down after Stop.
	shutdownGrace = time.Second
)

// Fleet is a complete deployment in one process.
type Fleet struct {
	Store   *keyedstore.Store
	Servers []*backendserver.Server
	vms     []*vm
	log     log.Interface
	// storeAddress is the host:port of the store.
	storeAddress string
	// configVersion is the version of the newest configuration in the store.
	configVersion int

	mu sync.Mutex
	// states holds the state that each backend server reports to the registry.
	states map[azuretiller.InstanceID]string
}

type vm struct {
	settings platform.Settings
	edge     *edge.Edge
	stop     context.CancelFunc
	done     chan struct{}
}

// New starts a deployment with the given numbers of VMs and backend servers. It stops when the context ends. The given entries of
// other writers are in the server registry before the VMs start.
func New(ctx context.Context, logger log.Interface, vms, servers int, entries ...invalidentry.Entry) (*Fleet, error) {
	f := &Fleet{Store: keyedstore.New(), log: logger, states: map[azuretiller.InstanceID]string{}}
	for _, entry := range entries {
		f.Store.Put("keyed.servers", entry.ID, entry.Value)
	}
	var listenConfig net.ListenConfig
	l, err := listenConfig.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the store")
	}
	f.storeAddress = l.Addr().String()
	storeServer := &http.Server{Handler: f.Store.Handler(), ReadHeaderTimeout: time.Second}
	context.AfterFunc(ctx, func() { _ = storeServer.Close() })
	go func() { _ = storeServer.Serve(l) }()
	if err := f.AddServers(ctx, servers, backendserver.FirstVersion); err != nil {
		return nil, err
	}
	go f.register(ctx)
	f.Configure(nil)
	f.AddVMs(ctx, vms, platform.Bounds{})
	return f, nil
}

// AddServers starts backend servers of a version.
func (f *Fleet) AddServers(ctx context.Context, servers int, version string) error {
	for range servers {
		i := len(f.Servers)
		server, err := backendserver.New(ctx, fmt.Sprint("i-", i), "service", fmt.Sprint("zone-", i%2))
		if err != nil {
			return err
		}
		server.SetVersion(version)
		f.mu.Lock()
		f.Servers = append(f.Servers, server)
		f.states[server.ID()] = "ready"
		f.mu.Unlock()
		go server.Serve(ctx)
	}
	return nil
}

// AddVMs starts VMs whose settings have the bounds on rollouts of b.
func (f *Fleet) AddVMs(ctx context.Context, vms int, b platform.Bounds) {
	for range vms {
		i := len(f.vms)
		settings := f.settings(i)
		settings.Bounds.ExposeShare, settings.Bounds.ExposeSlack, settings.Bounds.Rollback = b.ExposeShare, b.ExposeSlack, b.Rollback
		f.vms = append(f.vms, &vm{settings: settings})
		f.Start(ctx, i)
	}
}

// register writes the registry entries of all backend servers once per heartbeat interval.
func (f *Fleet) register(ctx context.Context) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		f.mu.Lock()
		for _, server := range f.Servers {
			if state := f.states[server.ID()]; state != "" {
				f.Store.Put("keyed.servers", string(server.ID()), server.RegistryEntry(state, sequence))
			}
		}
		f.mu.Unlock()
		timer.Sleep(ctx, heartbeatInterval)
	}
}

// Drain makes a backend server report that it is draining.
func (f *Fleet) Drain(server *backendserver.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[server.ID()] = "draining"
}

// Configure writes a new version of the configuration to the store and returns the version. A change function that is not nil
// modifies the resources first.
func (f *Fleet) Configure(change func(resources []operatorconfig.Resource) []operatorconfig.Resource) int {
	f.configVersion += 3
	const timeout, targetLatency = "3000ms", "1000ms"
	resources := []operatorconfig.Resource{
		operatorconfig.Route("reads", Host, "/reads/", "safe", timeout, targetLatency),
		operatorconfig.Route("orders", Host, "/orders/", "unsafe", timeout, targetLatency),
		operatorconfig.Service(),
		operatorconfig.Team(Team, Key, 500, 500),
		operatorconfig.Limits(1 << 20),
	}
	if change != nil {
		resources = change(resources)
	}
	f.Store.Put("keyed.op", "config", operatorconfig.Encode(f.configVersion, resources))
	return f.configVersion
}

// settings returns the settings of the VM with index i.
func (f *Fleet) settings(i int) platform.Settings {
	listenAddress := func(port int) string { return net.JoinHostPort(loopback.Host(i), strconv.Itoa(port)) }
	return platform.Settings{
		VM:               azuretiller.VMID(fmt.Sprint("vm-", i)),
		Zone:             azuretiller.Zone(fmt.Sprint("zone-", i%2)),
		CallerAddress:    listenAddress(loopback.CallerPort),
		ReadinessAddress: listenAddress(loopback.ReadinessPort),
		ResolveAddress:   listenAddress(loopback.ResolvePort),
		PeerAddress:      listenAddress(loopback.PeerPort),
		StoreAddress:     f.storeAddress,
		Bounds: platform.Bounds{
			RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
			RateTolerance: 0.1, RateSlack: 20, RateWindow: 5 * time.Second,
			ColdTolerance: 1.5, ColdSlack: 5, Grace: shutdownGrace,
		},
	}
}

// Start starts a VM that is not running.
func (f *Fleet) Start(ctx context.Context, i int) {
	v := f.vms[i]
	vmCtx, stop := context.WithCancel(ctx)
	c := &common.Common{Log: f.log.WithField("on", v.settings.VM), Clock: systemclock.New(), Metrics: tally.NoopScope}
	v.edge = edge.New(c, v.settings, platform.NewRegistry(platform.NewStore(f.storeAddress, func(string, bool) {})))
	v.stop = stop
	v.done = make(chan struct{})
	go func() {
		defer close(v.done)
		if err := v.edge.Run(vmCtx, nil); err != nil {
			f.log.WithError(err).Error("VM stopped with an error")
		}
	}()
}

// Stop shuts a VM down as SIGTERM would, and waits until it has stopped.
func (f *Fleet) Stop(i int) {
	f.vms[i].stop()
	<-f.vms[i].done
}

// State returns the configuration version, the term and the number of members that a VM knows, and whether it is ready.
func (f *Fleet) State(i int) (version string, term azuretiller.Term, members int, ready bool) {
	s := f.vms[i].edge.State()
	if s.Config != nil {
		version = s.Config.Version
	}
	return version, s.Term, len(s.Members), s.Ready()
}

// IsLeader reports whether a VM considers itself the leader.
func (f *Fleet) IsLeader(i int) bool {
	return f.vms[i].edge.State().LeaderAddress == f.vms[i].settings.PeerAddress
}

// Response is the result of a request; Err is set when no complete response arrived.
type Response struct {
	Status  int
	Body    string
	Headers http.Header
	Err     error
}

// Request sends a caller's request to a VM.
func (f *Fleet) Request(ctx context.Context, i int, method, path, attempt, key, body string) Response {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.vms[i].settings.CallerAddress+path, stringReader(body))
	if err != nil {
		return Response{Err: err}
	}
	request.Host = Host
	request.Header.Set(platform.HeaderAttempt, attempt)
	request.Header.Set(platform.HeaderDeadline, "2500")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	return send(request)
}

func send(request *http.Request) Response {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Response{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return Response{Status: response.StatusCode, Body: string(data), Headers: response.Header, Err: err}
}

// Addresses asks VM i for the addresses of the VMs that callers from a zone should use.
func (f *Fleet) Addresses(ctx context.Context, i int, zone string) Response {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.vms[i].settings.ResolveAddress+platform.PathResolve+"?name="+Host+"&zone="+zone, nil)
	if err != nil {
		return Response{Err: err}
	}
	return send(request)
}
