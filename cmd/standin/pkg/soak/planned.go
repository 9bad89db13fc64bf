package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/azuretiller/azuretiller/pkg/timer"
)

const (
	// plannedSeed makes the planned work independent of the other faults of a seed.
	plannedSeed = 26
	// maxBusyWait is how long a restart waits for the VM to have an unanswered request.
	maxBusyWait      = time.Second
	busyPollInterval = 2 * time.Millisecond
	// minRouteTimeout and maxRouteTimeout bound the timeouts of the routes that planned changes set.
	minRouteTimeout = time.Second
	maxRouteTimeout = 4 * time.Second
	// changesPerSeries is the number of changes of the configuration and of signals to reload within a series of restarts.
	changesPerSeries = 4
)

// plannedRestart is one restart of a rolling restart.
type plannedRestart struct {
	vm *vm
	// pause is the time between the exit and the next start, and wait that until the restart of the next VM.
	pause, wait time.Duration
	// busy means that the VM is stopped while it has an unanswered request.
	busy bool
	// again means that the VM is restarted once more, after the given time.
	again      bool
	againAfter time.Duration
}

// runPlannedWork starts rolling restarts, two at a time and with changes of the configuration meanwhile, until FaultDuration has passed. It
// then waits until all of them have ended.
func (s *Soak) runPlannedWork(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.params.Seed, plannedSeed))
	end := time.Now().Add(s.params.FaultDuration)
	var pending sync.WaitGroup
	for time.Now().Before(end) && ctx.Err() == nil {
		for range 2 {
			restarts := s.nextRollingRestart(random)
			pending.Go(func() { s.runRollingRestart(ctx, restarts) })
			timer.Sleep(ctx, drawDuration(random, 0, time.Second))
		}
		for range changesPerSeries {
			pending.Go(s.nextChange(ctx, random))
			timer.Sleep(ctx, drawDuration(random, 100*time.Millisecond, 600*time.Millisecond))
		}
	}
	pending.Wait()
}

// nextRollingRestart draws a restart of all VMs in any order.
func (s *Soak) nextRollingRestart(random *rand.Rand) []plannedRestart {
	restarts := make([]plannedRestart, len(s.vms))
	wait, busy := rollingRestartInterval, random.IntN(4) > 0
	if random.IntN(2) == 0 {
		wait = drawDuration(random, rollingRestartInterval, 5*rollingRestartInterval)
	}
	for i, index := range random.Perm(len(s.vms)) {
		restarts[i] = plannedRestart{
			vm: s.vms[index], pause: drawDuration(random, 0, 500*time.Millisecond), wait: wait, busy: busy,
			again: random.IntN(4) == 0, againAfter: drawDuration(random, 0, 400*time.Millisecond),
		}
	}
	s.faults = append(s.faults, fmt.Sprint("rolling restart, every ", wait, ", busy ", busy))
	return restarts
}

// nextChange draws a signal to reload or a change of the timeouts of the routes.
func (s *Soak) nextChange(ctx context.Context, random *rand.Rand) func() {
	v, timeout := s.vms[random.IntN(len(s.vms))], drawDuration(random, minRouteTimeout, maxRouteTimeout).Round(time.Millisecond)
	if random.IntN(2) == 0 {
		s.faults = append(s.faults, fmt.Sprint("send SIGHUP to VM ", v.index))
		return func() { v.reload(ctx) }
	}
	s.faults = append(s.faults, fmt.Sprint("route timeout ", timeout))
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.routeTimeout = timeout
		s.configure()
	}
}

// runRollingRestart terminates the VMs one after the other, without waiting for the former ones to be back.
func (s *Soak) runRollingRestart(ctx context.Context, restarts []plannedRestart) {
	var group sync.WaitGroup
	for _, r := range restarts {
		if r.busy {
			r.vm.awaitUnanswered(ctx, maxBusyWait)
		}
		group.Go(func() {
			s.restartVM(ctx, r.vm, syscall.SIGTERM, r.pause)
			if r.again {
				timer.Sleep(ctx, r.againAfter)
				s.restartVM(ctx, r.vm, syscall.SIGTERM, r.pause)
			}
		})
		timer.Sleep(ctx, r.wait)
	}
	group.Wait()
}

// awaitUnanswered waits until a pipelined request to the VM has no response yet, at most for the given time.
func (v *vm) awaitUnanswered(ctx context.Context, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for v.unanswered.Load() == 0 && ctx.Err() == nil {
		timer.Sleep(ctx, busyPollInterval)
	}
}

func drawDuration(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}
