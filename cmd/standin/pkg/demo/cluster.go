package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/backend"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/platformserver"
	"github.com/azuretiller/azuretiller/pkg/logging"
	"github.com/azuretiller/azuretiller/pkg/memlog"
	"github.com/azuretiller/azuretiller/pkg/operator"
	"github.com/azuretiller/azuretiller/pkg/operatorclient"
	"github.com/azuretiller/azuretiller/pkg/settings"
	"github.com/azuretiller/azuretiller/pkg/vmprocess"
)

const (
	platformToken    = "token-of-the-platform"
	operatorToken    = "token-of-the-operators"
	fleetSecret      = "secret-of-the-whole-fleet"
	appendsPerSecond = 300
	// vmListLag is the delay until the platform's VM list shows a VM as leaving.
	vmListLag     = 2 * time.Second
	maxLogEntries = 4000
	serviceTime   = 5 * time.Millisecond
	warmupTime    = 300 * time.Millisecond
	// slots is the number of concurrent requests of a backend server.
	slots             = 3
	drainTimeout      = 3 * time.Second
	readyTimeout      = 15 * time.Second
	vmsPerZone        = 2
	serversPerZone    = 2
	readHeaderTimeout = 10 * time.Second
)

// cluster holds the stand-in of the platform, the VMs and the backend servers of a demo or test.
type cluster struct {
	log         *memlog.Log
	platformURL string
	vms         []*vm
	servers     map[string][]*server
	errOut      io.Writer
	logLevel    string
	closers     []func()
	group       sync.WaitGroup
}

type vm struct {
	settings settings.Settings
	process  *vmprocess.Process
	stop     context.CancelFunc
	client   *operatorclient.Client
	killed   bool
}

type server struct {
	address string
	zone    string
	backend *backend.Server
}

func zones() []string { return []string{"a", "b", "c", "d"} }

func services() []string { return []string{"orders", "packs"} }

func newCluster(errOut io.Writer, logLevel string) *cluster {
	return &cluster{log: memlog.New(maxLogEntries), servers: map[string][]*server{}, errOut: errOut, logLevel: logLevel}
}

// listen serves a handler on a free port of the loopback interface.
func (c *cluster) listen(ctx context.Context, handler http.Handler) (string, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "open socket")
	}
	h := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	c.group.Go(func() { _ = h.Serve(l) })
	c.closers = append(c.closers, func() { _ = h.Close() })
	return l.Addr().String(), nil
}

func (c *cluster) startPlatform(ctx context.Context) error {
	address, err := c.listen(ctx, platformserver.New(c.log, platformToken, appendsPerSecond, vmListLag))
	c.platformURL = "http://" + address
	return err
}

func (c *cluster) startServers(ctx context.Context, secrets []string) error {
	seed := uint64(1)
	for _, service := range services() {
		for _, zone := range zones() {
			for i := range serversPerZone {
				b := backend.New(fmt.Sprintf("%s-%s-%d", service, zone, i), slots, serviceTime, warmupTime, seed)
				b.SetSecrets(secrets)
				seed++
				address, err := c.listen(ctx, b)
				if err != nil {
					return err
				}
				c.servers[service] = append(c.servers[service], &server{address: address, zone: zone, backend: b})
			}
		}
	}
	return nil
}

// freeAddress returns a loopback address with a port that is free at present.
func freeAddress(ctx context.Context) (string, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func (c *cluster) startVMs(ctx context.Context, zones []string, perZone int) error {
	for _, zone := range zones {
		for i := range perZone {
			conf := settings.Default()
			conf.VM = azuretiller.VM{ID: azuretiller.VMID(fmt.Sprintf("vm-%s%d", zone, i)), Zone: azuretiller.Zone(zone)}
			for _, field := range []*string{&conf.VM.CallerAddress, &conf.VM.PeerAddress, &conf.VM.OperatorAddress} {
				address, err := freeAddress(ctx)
				if err != nil {
					return err
				}
				*field = address
			}
			conf.Platform = settings.Platform{URL: c.platformURL, Token: platformToken}
			conf.FleetSecret = []byte(fleetSecret)
			conf.OperatorToken = operatorToken
			conf.DrainDuration = drainTimeout
			if err := c.startVM(ctx, conf); err != nil {
				return err
			}
		}
	}
	return c.awaitReady(ctx)
}

func (c *cluster) startVM(ctx context.Context, conf settings.Settings) error {
	logger, err := logging.New(c.errOut, c.logLevel)
	if err != nil {
		return err
	}
	p, err := vmprocess.New(ctx, conf, logger)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	v := &vm{settings: conf, process: p, stop: stop, client: operatorclient.New(conf.VM.OperatorAddress, operatorToken)}
	c.vms = append(c.vms, v)
	c.group.Go(func() { _ = p.Run(ctx) })
	return nil
}

// awaitReady waits until each VM lists all VMs as live and has a configuration that is recent enough to serve requests.
func (c *cluster) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		readyCount := 0
		for _, v := range c.vms {
			snap := v.process.Runtime().Snapshot()
			if len(snap.Live) == len(c.vms) && snap.Current(time.Now()) {
				readyCount++
			}
		}
		if readyCount == len(c.vms) {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("not all VMs listed each other as live before the timeout")
}

// operatorClient returns the client of a VM that was not killed.
func (c *cluster) operatorClient() *operatorclient.Client {
	for _, v := range c.vms {
		if !v.killed {
			return v.client
		}
	}
	return c.vms[0].client
}

// edit submits changes based on the newest revision and returns the verdict.
func (c *cluster) edit(ctx context.Context, comment string, changes ...operator.Change) (operator.Verdict, error) {
	client := c.operatorClient()
	t, err := client.Tree(ctx, "/zones")
	if err != nil {
		return operator.Verdict{}, err
	}
	v, determined, err := client.Edit(ctx, operator.Edit{Base: t.Revision, Operator: "demo", Comment: comment, Changes: changes})
	switch {
	case err != nil:
		return v, err
	case !determined:
		return v, errors.Newf("%s: outcome of the edit is unknown", comment)
	case !v.Accepted:
		return v, errors.Newf("%s: not accepted: %s", comment, v.Reason)
	}
	return v, nil
}

// awaitRevision waits until each VM that was not killed has applied a revision, for readyTimeout at most.
func (c *cluster) awaitRevision(revision uint64) {
	start := time.Now()
	for time.Since(start) < readyTimeout {
		behind := false
		for _, v := range c.vms {
			if !v.killed && uint64(v.process.Runtime().Snapshot().Revision) < revision {
				behind = true
			}
		}
		if !behind {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// kill stops a VM without draining it, as a crash would.
func (c *cluster) kill(v *vm) {
	v.killed = true
	v.process.Runtime().Kill()
}

// close kills all VMs, closes all servers and waits for both.
func (c *cluster) close() {
	for _, v := range c.vms {
		v.process.Runtime().Kill()
		v.stop()
	}
	for _, closeServer := range c.closers {
		closeServer()
	}
	c.group.Wait()
}

func (c *cluster) callerAddresses() []string {
	var out []string
	for _, v := range c.vms {
		out = append(out, v.settings.VM.CallerAddress)
	}
	return out
}

// awaitWarm waits until the backend servers of a pool are warm, for readyTimeout at most. Cold servers do not count towards the
// ejection floor, so that a failing server might not be ejected earlier.
func (c *cluster) awaitWarm(ctx context.Context, pool string) {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		found, cold := false, false
		for _, v := range c.vms {
			if v.killed {
				continue
			}
			for _, row := range v.process.Runtime().Dump(ctx).Servers {
				found = found || row.Pool == pool
				cold = cold || row.Pool == pool && row.Cold
			}
		}
		if found && !cold {
			return
		}
	}
}

// ejected reports whether the owner of the server's pool has ejected the server.
func (c *cluster) ejected(ctx context.Context, address string) bool {
	for _, v := range c.vms {
		if v.killed {
			continue
		}
		for _, row := range v.process.Runtime().Dump(ctx).Servers {
			if row.Server == address && row.Phase == "ejected" {
				return true
			}
		}
	}
	return false
}
