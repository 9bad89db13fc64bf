package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/backend"
	"github.com/azuretiller/azuretiller/pkg/operator"
)

const (
	teamPerSecond  = 18
	floodPerSecond = 50
	// idAge is the time after which a new fleet holds the teams' rates and knows all request ids that are sent.
	idAge    = 6 * time.Second
	zoneOut  = "b"
	settleIn = 3 * time.Second
)

// Options are what the command line chooses.
type Options struct {
	// Kill ends one VM without warning while work goes on.
	Kill bool
	// Level is the level of events that the VMs log.
	Level string
}

// Demo is one run of the whole path.
type Demo struct {
	options Options
	out     io.Writer
	site    *site
	ledger  *ledger
	report  report
}

// New returns a demo that prints its report to out and the VMs' logs to errOut.
func New(options Options, out, errOut io.Writer) *Demo {
	return &Demo{options: options, out: out, site: newSite(errOut, options.Level), ledger: newLedger()}
}

// Run runs the demo for about 20 s and returns an error when a promise was broken.
func (d *Demo) Run(ctx context.Context) error {
	defer d.site.close()
	if err := d.start(ctx); err != nil {
		return err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	for i, team := range teams() {
		group.Go(func() { d.callers(traffic, team, uint64(i)) })
	}
	d.report.started = time.Now()
	err := d.events(ctx)
	stop()
	group.Wait()
	d.report.lasted = time.Since(d.report.started)
	if err != nil {
		return err
	}
	return d.conclude()
}

func (d *Demo) start(ctx context.Context) error {
	var secrets []string
	for _, team := range teams() {
		secrets = append(secrets, keyOf(team))
	}
	for _, step := range []func() error{
		func() error { return d.site.startPlatform(ctx) },
		func() error { return d.site.startServers(ctx, secrets) },
		func() error { return d.site.startVMs(ctx, zones(), vmsPerZone) },
	} {
		if err := step(); err != nil {
			return err
		}
	}
	v, err := d.site.edit(ctx, "first settings", d.site.firstTree()...)
	if err != nil {
		return err
	}
	d.site.awaitRevision(v.Offset)
	time.Sleep(idAge)
	return nil
}

// callers sends the work of one team.
func (d *Demo) callers(ctx context.Context, team string, seed uint64) {
	c := newCaller(team, keyOf(team), d.site.callerAddresses(), d.ledger, seed)
	random := rand.New(rand.NewPCG(seed, 1))
	perSecond := float64(teamPerSecond)
	if team == floodTeam {
		perSecond = floodPerSecond
	}
	c.run(ctx, perSecond, func() work { return nextWork(random) })
}

func nextWork(random *rand.Rand) work {
	switch n := random.IntN(10); {
	case n < 6:
		return work{id: newID(), method: "GET", path: "/orders/status/7", idempotent: true}
	case n < 8:
		return work{id: newID(), method: "POST", path: "/orders/confirm"}
	default:
		return work{id: newID(), method: "GET", path: "/packs/frame?size=100000", idempotent: true}
	}
}

// events is what happens during the traffic.
func (d *Demo) events(ctx context.Context) error {
	for _, step := range []func(context.Context) error{
		d.warmUp, d.editDuringTraffic, d.withdrawKey, d.grayServer, d.zoneLeaves, d.logOutage, d.zoneReturns, d.killVM,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *Demo) warmUp(context.Context) error {
	time.Sleep(2 * time.Second)
	return nil
}

func (d *Demo) editDuringTraffic(ctx context.Context) error {
	start := time.Now()
	v, err := d.site.edit(ctx, "raise a rate", set("/teams/alder", "rate", "70"))
	if err != nil {
		return err
	}
	d.site.awaitRevision(v.Offset)
	d.report.editTime = time.Since(start)
	return nil
}

func (d *Demo) withdrawKey(ctx context.Context) error {
	start := time.Now()
	_, err := d.site.edit(ctx, "withdraw a key", operator.Change{
		Kind: "delete",
		Path: "/teams/" + gonerTeam + "/keys/" + string(azuretiller.HashKey(keyOf(gonerTeam))),
	})
	if err != nil {
		return err
	}
	time.Sleep(settleIn)
	d.report.withdrawTime = max(d.ledger.lastSuccess(gonerTeam).Sub(start), 0)
	return nil
}

func (d *Demo) grayServer(ctx context.Context) error {
	bad := d.site.servers["orders"][0]
	d.site.awaitWarm(ctx, "orders/"+bad.zone+"/0")
	bad.backend.SetFaults(backend.Faults{Fail: 0.5})
	start := time.Now()
	for !d.site.ejected(ctx, bad.address) {
		if time.Since(start) > 8*time.Second {
			return errors.New("the gray server was not ejected")
		}
		time.Sleep(5 * time.Millisecond)
	}
	d.report.detectTime = time.Since(start)
	bad.backend.SetFaults(backend.Faults{})
	return nil
}

func (d *Demo) zoneLeaves(ctx context.Context) error {
	if _, err := d.site.edit(ctx, "take a zone out", set("/zones/"+zoneOut, "out", "true")); err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(settleIn)
	for _, service := range services() {
		for _, server := range d.site.servers[service] {
			if server.zone == zoneOut {
				d.report.zoneTime = max(d.report.zoneTime, server.backend.Report().LastRun.Sub(start))
			}
		}
	}
	return nil
}

func (d *Demo) logOutage(ctx context.Context) error {
	d.site.log.SetOut(true)
	defer d.site.log.SetOut(false)
	time.Sleep(6 * time.Second)
	if _, err := d.site.edit(ctx, "edit during an outage", set("/teams/birch", "rate", "1")); err == nil {
		return errors.New("an edit was accepted while the log was out")
	}
	for _, v := range d.site.vms {
		if !v.dead && !v.process.Node().Snapshot().Current(time.Now()) {
			d.report.staleVMs++
		}
	}
	return nil
}

func (d *Demo) zoneReturns(ctx context.Context) error {
	time.Sleep(1500 * time.Millisecond)
	if _, err := d.site.edit(ctx, "bring the zone back", set("/zones/"+zoneOut, "out", "false")); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

func (d *Demo) killVM(context.Context) error {
	if !d.options.Kill {
		return nil
	}
	victim := d.site.vms[len(d.site.vms)-1]
	start := time.Now()
	d.site.kill(victim)
	for time.Since(start) < 6*time.Second {
		if !d.stillNamed(victim) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.report.killTime = time.Since(start)
	time.Sleep(2 * time.Second)
	return nil
}

func (d *Demo) stillNamed(victim *vm) bool {
	for _, v := range d.site.vms {
		if v.dead {
			continue
		}
		for _, live := range v.process.Node().Snapshot().Live {
			if live.ID == victim.settings.VM.ID {
				return true
			}
		}
	}
	return false
}

// conclude compares what callers were told with what the backend servers ran, prints the report and returns what was broken.
func (d *Demo) conclude() error {
	runs := map[string]int{}
	for _, service := range services() {
		for _, server := range d.site.servers[service] {
			r := server.backend.Report()
			for id, n := range r.Runs {
				runs[id] += n
			}
			d.report.leaks += len(r.Leaks)
			d.report.overruns += r.Overruns
		}
	}
	d.report.compare(d.ledger, runs)
	d.report.print(d.out, d.ledger, d.options)
	if broken := d.report.broken(d.options); len(broken) > 0 {
		for _, text := range broken {
			_, _ = fmt.Fprintln(d.out, "BROKEN:", text)
		}
		return errors.Newf("%d promises were broken", len(broken))
	}
	return nil
}
