package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/backendserver"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/faultproxy"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/invalidentry"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/keyedstore"
)

// restoreInterval is the mean number of other faults between two restores of the store.
const restoreInterval = 8

// serviceTime is the time that a backend server takes for a request.
const serviceTime = 20 * time.Millisecond

// rollingRestartInterval is the time between the signals to two VMs of a rolling restart.
const rollingRestartInterval = 250 * time.Millisecond

// injectFaults starts random faults, some of which overlap, until FaultDuration has passed. It then waits until all of them have
// ended.
func (s *Soak) injectFaults(ctx context.Context) {
	end := time.Now().Add(s.params.FaultDuration)
	var pending sync.WaitGroup
	pending.Go(func() { s.writeInvalidEntries(ctx, end) })
	for time.Now().Before(end) && ctx.Err() == nil {
		name, fault := s.nextFault()
		duration := time.Duration(200+s.random.IntN(2500)) * time.Millisecond
		s.faults = append(s.faults, name)
		pending.Go(func() { fault(ctx, duration) })
		if s.restores.IntN(restoreInterval) == 0 {
			s.faults = append(s.faults, "store restored from a copy")
			pending.Go(func() { s.restoreStore(duration) })
		}
		time.Sleep(time.Duration(100+s.random.IntN(900)) * time.Millisecond)
	}
	pending.Wait()
}

// writeInvalidEntries writes invalid entries into the server registry until the given time, some under the ids of backend servers. It
// has a random source of its own, so that the other faults of a seed stay the same.
func (s *Soak) writeInvalidEntries(ctx context.Context, end time.Time) {
	random := rand.New(rand.NewPCG(s.params.Seed, 22))
	entries, values := invalidentry.List("service", "zone-0"), invalidentry.Values("service", "zone-0")
	for time.Now().Before(end) && ctx.Err() == nil {
		if random.IntN(3) == 0 {
			server := s.servers[random.IntN(len(s.servers))]
			s.store.Put("keyed.servers", string(server.ID()), values[random.IntN(len(values))].Value)
		} else {
			entry := entries[random.IntN(len(entries))]
			s.store.Put("keyed.servers", entry.ID, entry.Value)
		}
		time.Sleep(time.Duration(100+random.IntN(400)) * time.Millisecond)
	}
}

// restoreStore lets the store fail and come back from a copy that was made the given duration before. The operator and the backend servers
// write their records again a little later.
func (s *Soak) restoreStore(age time.Duration) {
	c := s.store.Copy()
	time.Sleep(age)
	// The operator writes no new configuration before the lost one.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.SetFaults(keyedstore.Faults{RefuseAll: true})
	time.Sleep(age / 4)
	rewrite := s.store.Restore(c)
	s.store.SetFaults(keyedstore.Faults{})
	time.Sleep(age / 2)
	rewrite()
}

// nextFault picks the next fault and returns its description and the function that runs it. The target is drawn here and not in
// the function, so that the sequence of faults depends only on the seed.
func (s *Soak) nextFault() (string, func(context.Context, time.Duration)) {
	v := s.vms[s.random.IntN(len(s.vms))]
	serverIndex := s.random.IntN(len(s.servers))
	restartAll := s.random.IntN(12) == 0
	restart := func(signal syscall.Signal) func(context.Context, time.Duration) {
		return func(ctx context.Context, duration time.Duration) {
			var group sync.WaitGroup
			for _, target := range s.vms {
				if target == v || restartAll {
					group.Go(func() { s.restartVM(ctx, target, signal, duration/4) })
				}
			}
			group.Wait()
		}
	}
	proxyFault := func(p *faultproxy.Proxy, f faultproxy.Faults) func(context.Context, time.Duration) {
		return func(_ context.Context, duration time.Duration) {
			p.SetFaults(f)
			time.Sleep(duration)
			p.SetFaults(faultproxy.Faults{})
		}
	}
	serverFault := func(f backendserver.Fault) func(context.Context, time.Duration) {
		return func(_ context.Context, duration time.Duration) {
			s.servers[serverIndex].SetFault(f, serviceTime)
			time.Sleep(duration)
			s.servers[serverIndex].SetFault(backendserver.Healthy, serviceTime)
		}
	}
	storeFault := func(f keyedstore.Faults) func(context.Context, time.Duration) {
		return func(_ context.Context, duration time.Duration) {
			s.store.SetFaults(f)
			time.Sleep(duration)
			s.store.SetFaults(keyedstore.Faults{})
		}
	}
	switch s.random.IntN(14) {
	case 0:
		return fmt.Sprint("kill VM ", v.index, " all ", restartAll), restart(syscall.SIGKILL)
	case 1:
		if restartAll {
			return "terminate all VMs one after the other", s.rollingRestart
		}
		return fmt.Sprint("terminate VM ", v.index), restart(syscall.SIGTERM)
	case 2:
		return fmt.Sprint("pause VM ", v.index), func(_ context.Context, duration time.Duration) {
			defer s.recorder.disruptVM(v.index)()
			defer s.recorder.interruptVM(v.index, pauseAftermath)()
			v.signal(syscall.SIGSTOP, false)
			time.Sleep(duration)
			v.signal(syscall.SIGCONT, false)
		}
	case 3:
		return fmt.Sprint("send SIGHUP to VM ", v.index), func(ctx context.Context, _ time.Duration) { v.reload(ctx) }
	case 4:
		return fmt.Sprint("drop data from store to VM ", v.index), proxyFault(v.storeProxy, faultproxy.Faults{DropFromTarget: true})
	case 5:
		return fmt.Sprint("reset store connections of VM ", v.index), func(context.Context, time.Duration) { v.storeProxy.Reset() }
	case 6:
		return fmt.Sprint("delay store traffic of VM ", v.index), proxyFault(v.storeProxy, faultproxy.Faults{Delay: 200 * time.Millisecond})
	case 7:
		return "store unavailable", storeFault(keyedstore.Faults{RefuseAll: true})
	case 8:
		return "store drops append responses", storeFault(keyedstore.Faults{DropAppendResponses: true})
	case 9:
		return fmt.Sprint("drop data from backend server ", serverIndex, " to VMs"), func(ctx context.Context, duration time.Duration) {
			defer s.recorder.disruptLink(serverIndex)()
			proxyFault(s.proxies[serverIndex], faultproxy.Faults{DropFromTarget: true})(ctx, duration)
		}
	case 10:
		return fmt.Sprint("reset connections to backend server ", serverIndex, " once"), func(context.Context, time.Duration) {
			defer s.recorder.disruptLink(serverIndex)()
			s.proxies[serverIndex].Reset()
		}
	case 11:
		return "configuration", func(context.Context, time.Duration) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.configure()
		}
	case 12:
		return "drop history of server registry", func(context.Context, time.Duration) { s.store.DropHistory("keyed.servers") }
	default:
		f := backendserver.Fault(1 + s.random.IntN(int(backendserver.LastFault)))
		if f == backendserver.EndlessHead || f == backendserver.EndlessBody {
			return s.nextEndlessFault(serverIndex)
		}
		return fmt.Sprint("backend server ", serverIndex, " fault ", f), serverFault(f)
	}
}

// nextEndlessFault draws a kind of responses without an end, which one backend server or every second one sends.
func (s *Soak) nextEndlessFault(serverIndex int) (string, func(context.Context, time.Duration)) {
	faults := backendserver.EndlessFaults()
	f := faults[s.endless.IntN(len(faults))]
	targets := s.servers[serverIndex : serverIndex+1]
	if s.endless.IntN(2) == 0 {
		targets = nil
		for i := serverIndex % 2; i < len(s.servers); i += 2 {
			targets = append(targets, s.servers[i])
		}
	}
	return fmt.Sprint(len(targets), " backend servers, first ", serverIndex, " fault ", f), func(_ context.Context, duration time.Duration) {
		for _, server := range targets {
			server.SetFault(f, serviceTime)
		}
		time.Sleep(duration)
		for _, server := range targets {
			server.SetFault(backendserver.Healthy, serviceTime)
		}
	}
}

// rollingRestart terminates the VMs one after the other, without waiting for the former ones to be back.
func (s *Soak) rollingRestart(ctx context.Context, duration time.Duration) {
	var group sync.WaitGroup
	for _, target := range s.vms {
		group.Go(func() { s.restartVM(ctx, target, syscall.SIGTERM, duration/4) })
		time.Sleep(rollingRestartInterval)
	}
	group.Wait()
}

// restartVM restarts a VM and records the time until it runs again.
func (s *Soak) restartVM(ctx context.Context, v *vm, signal syscall.Signal, pause time.Duration) {
	defer s.recorder.disruptVM(v.index)()
	switch signal {
	case syscall.SIGKILL:
		defer s.recorder.interruptVM(v.index, 0)()
	case syscall.SIGTERM:
		s.recorder.recordTermination(v.index)
	}
	s.recordError(v.restart(ctx, signal, pause, len(s.vms)))
}

// recordError records an error of the soak itself as a violation, so that the run fails.
func (s *Soak) recordError(err error) {
	if err != nil {
		s.recorder.recordViolation("soak: " + err.Error())
	}
}

// clearFaults ends all faults.
func (s *Soak) clearFaults() {
	s.store.SetFaults(keyedstore.Faults{})
	for _, p := range s.proxies {
		p.SetFaults(faultproxy.Faults{})
	}
	for _, server := range s.servers {
		server.SetFault(backendserver.Healthy, serviceTime)
	}
	for _, v := range s.vms {
		v.storeProxy.SetFaults(faultproxy.Faults{})
	}
}
