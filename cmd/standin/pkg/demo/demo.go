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
	teamRequestsPerSecond  = 18
	floodRequestsPerSecond = 50
	// fleetWarmup is the time after which a new fleet enforces the teams' rates and can recognise each request ID that callers
	// send.
	fleetWarmup = 6 * time.Second
	// removedZone is the zone that the demo takes out of service.
	removedZone = "b"
	// settleTime is the wait after an edit before its effect is measured.
	settleTime = 3 * time.Second
)

// Options are the command-line options of the demo.
type Options struct {
	// Kill stops one VM during the traffic without draining it.
	Kill bool
	// LogLevel is the log level of the VMs.
	LogLevel string
}

// Demo is one run of the demo.
type Demo struct {
	options  Options
	out      io.Writer
	cluster  *cluster
	recorder *recorder
	report   report
}

// New returns a demo that writes its report to out and the VMs' logs to errOut.
func New(options Options, out, errOut io.Writer) *Demo {
	return &Demo{options: options, out: out, cluster: newCluster(errOut, options.LogLevel), recorder: newRecorder()}
}

// Run runs the demo for about 20 s and returns an error if a guarantee was violated.
func (d *Demo) Run(ctx context.Context) error {
	defer d.cluster.close()
	if err := d.start(ctx); err != nil {
		return err
	}
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	var group sync.WaitGroup
	for i, team := range teams() {
		group.Go(func() { d.runCaller(traffic, team, uint64(i)) })
	}
	d.report.started = time.Now()
	err := d.runScenario(ctx)
	stop()
	group.Wait()
	d.report.duration = time.Since(d.report.started)
	if err != nil {
		return err
	}
	return d.printAndCheck()
}

func (d *Demo) start(ctx context.Context) error {
	var secrets []string
	for _, team := range teams() {
		secrets = append(secrets, apiKeyOf(team))
	}
	for _, step := range []func() error{
		func() error { return d.cluster.startPlatform(ctx) },
		func() error { return d.cluster.startServers(ctx, secrets) },
		func() error { return d.cluster.startVMs(ctx, zones(), vmsPerZone) },
	} {
		if err := step(); err != nil {
			return err
		}
	}
	v, err := d.cluster.edit(ctx, "first settings", d.cluster.initialChanges()...)
	if err != nil {
		return err
	}
	d.cluster.awaitRevision(v.Offset)
	time.Sleep(fleetWarmup)
	return nil
}

// runCaller sends the operations of one team until ctx is done.
func (d *Demo) runCaller(ctx context.Context, team string, seed uint64) {
	c := newCaller(team, apiKeyOf(team), d.cluster.callerAddresses(), d.recorder, seed)
	random := rand.New(rand.NewPCG(seed, 1))
	perSecond := float64(teamRequestsPerSecond)
	if team == floodTeam {
		perSecond = floodRequestsPerSecond
	}
	c.runAtRate(ctx, perSecond, func() operation { return nextOperation(random) })
}

func nextOperation(random *rand.Rand) operation {
	switch n := random.IntN(10); {
	case n < 6:
		return operation{id: newID(), method: "GET", path: "/orders/status/7", idempotent: true}
	case n < 8:
		return operation{id: newID(), method: "POST", path: "/orders/confirm"}
	default:
		return operation{id: newID(), method: "GET", path: "/packs/frame?size=100000", idempotent: true}
	}
}

// runScenario makes the edits and faults of the demo, one after the other, during the traffic.
func (d *Demo) runScenario(ctx context.Context) error {
	for _, step := range []func(context.Context) error{
		d.warmUp, d.editRate, d.withdrawKey, d.injectGrayFailure, d.takeZoneOut, d.logOutage, d.bringZoneBack, d.killVM,
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

func (d *Demo) editRate(ctx context.Context) error {
	start := time.Now()
	v, err := d.cluster.edit(ctx, "raise a rate", set("/teams/alder", "rate", "70"))
	if err != nil {
		return err
	}
	d.cluster.awaitRevision(v.Offset)
	d.report.editTime = time.Since(start)
	return nil
}

func (d *Demo) withdrawKey(ctx context.Context) error {
	start := time.Now()
	_, err := d.cluster.edit(ctx, "withdraw a key", operator.Change{
		Kind: "delete",
		Path: "/teams/" + withdrawnKeyTeam + "/keys/" + string(azuretiller.HashKey(apiKeyOf(withdrawnKeyTeam))),
	})
	if err != nil {
		return err
	}
	time.Sleep(settleTime)
	d.report.withdrawTime = max(d.recorder.lastSuccess(withdrawnKeyTeam).Sub(start), 0)
	return nil
}

func (d *Demo) injectGrayFailure(ctx context.Context) error {
	failing := d.cluster.servers["orders"][0]
	d.cluster.awaitWarm(ctx, "orders/"+failing.zone+"/0")
	failing.backend.SetFaults(backend.Faults{Fail: 0.5})
	start := time.Now()
	for !d.cluster.ejected(ctx, failing.address) {
		if time.Since(start) > 8*time.Second {
			return errors.New("the server with a gray failure was not ejected within 8 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
	d.report.ejectionTime = time.Since(start)
	failing.backend.SetFaults(backend.Faults{})
	return nil
}

func (d *Demo) takeZoneOut(ctx context.Context) error {
	if _, err := d.cluster.edit(ctx, "take a zone out", set("/zones/"+removedZone, "out", "true")); err != nil {
		return err
	}
	start := time.Now()
	time.Sleep(settleTime)
	for _, service := range services() {
		for _, server := range d.cluster.servers[service] {
			if server.zone == removedZone {
				d.report.zoneTime = max(d.report.zoneTime, server.backend.Report().LastArrival.Sub(start))
			}
		}
	}
	return nil
}

func (d *Demo) logOutage(ctx context.Context) error {
	d.cluster.log.SetUnavailable(true)
	defer d.cluster.log.SetUnavailable(false)
	time.Sleep(6 * time.Second)
	if _, err := d.cluster.edit(ctx, "edit during an outage", set("/teams/birch", "rate", "1")); err == nil {
		return errors.New("an edit was accepted while the log was unavailable")
	}
	for _, v := range d.cluster.vms {
		if !v.killed && !v.process.Runtime().Snapshot().Current(time.Now()) {
			d.report.staleVMs++
		}
	}
	return nil
}

func (d *Demo) bringZoneBack(ctx context.Context) error {
	time.Sleep(1500 * time.Millisecond)
	if _, err := d.cluster.edit(ctx, "bring the zone back", set("/zones/"+removedZone, "out", "false")); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	return nil
}

func (d *Demo) killVM(context.Context) error {
	if !d.options.Kill {
		return nil
	}
	victim := d.cluster.vms[len(d.cluster.vms)-1]
	start := time.Now()
	d.cluster.kill(victim)
	for time.Since(start) < 6*time.Second {
		if !d.listedAsLive(victim) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.report.killTime = time.Since(start)
	time.Sleep(2 * time.Second)
	return nil
}

func (d *Demo) listedAsLive(victim *vm) bool {
	for _, v := range d.cluster.vms {
		if v.killed {
			continue
		}
		for _, live := range v.process.Runtime().Snapshot().Live {
			if live.ID == victim.settings.VM.ID {
				return true
			}
		}
	}
	return false
}

// printAndCheck compares the results that callers received with what the backend servers ran, and prints the report. It
// returns an error if a guarantee was violated.
func (d *Demo) printAndCheck() error {
	runs := map[string]int{}
	for _, service := range services() {
		for _, server := range d.cluster.servers[service] {
			r := server.backend.Report()
			for id, n := range r.Runs {
				runs[id] += n
			}
			d.report.leaks += len(r.Leaks)
			d.report.overruns += r.Overruns
		}
	}
	d.report.compare(d.recorder, runs)
	d.report.print(d.out, d.recorder, d.options)
	if violations := d.report.violations(d.options); len(violations) > 0 {
		for _, text := range violations {
			_, _ = fmt.Fprintln(d.out, "BROKEN:", text)
		}
		return errors.Newf("%d guarantees were violated", len(violations))
	}
	return nil
}
