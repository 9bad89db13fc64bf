package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/faultproxy"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/keyedstore"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/worker"
)

// work is the usual service time of a backend server.
const work = 20 * time.Millisecond

// harm makes faults, in series and overlapping, for the span of the run.
func (s *Soak) harm(ctx context.Context) {
	until := time.Now().Add(s.params.Span)
	var pending sync.WaitGroup
	for time.Now().Before(until) && ctx.Err() == nil {
		name, fault := s.draw()
		span := time.Duration(200+s.random.IntN(2500)) * time.Millisecond
		s.faults = append(s.faults, name)
		pending.Go(func() { fault(ctx, span) })
		time.Sleep(time.Duration(100+s.random.IntN(900)) * time.Millisecond)
	}
	pending.Wait()
}

// draw picks the next fault; what it harms is drawn now, so that a seed tells the series.
func (s *Soak) draw() (string, func(context.Context, time.Duration)) {
	v := s.vms[s.random.IntN(len(s.vms))]
	w := s.random.IntN(len(s.workers))
	every := s.random.IntN(12) == 0
	restart := func(signal syscall.Signal) func(context.Context, time.Duration) {
		return func(ctx context.Context, span time.Duration) {
			var group sync.WaitGroup
			for _, one := range s.vms {
				if one == v || every {
					group.Go(func() { s.note(one.restart(ctx, signal, span/4, len(s.vms))) })
				}
			}
			group.Wait()
		}
	}
	path := func(p *faultproxy.Proxy, h faultproxy.Harm) func(context.Context, time.Duration) {
		return func(_ context.Context, span time.Duration) {
			p.Set(h)
			time.Sleep(span)
			p.Set(faultproxy.Harm{})
		}
	}
	server := func(f worker.Fault) func(context.Context, time.Duration) {
		return func(_ context.Context, span time.Duration) {
			s.workers[w].Set(f, work)
			time.Sleep(span)
			s.workers[w].Set(worker.Healthy, work)
		}
	}
	store := func(f keyedstore.Faults) func(context.Context, time.Duration) {
		return func(_ context.Context, span time.Duration) {
			s.store.SetFaults(f)
			time.Sleep(span)
			s.store.SetFaults(keyedstore.Faults{})
		}
	}
	switch s.random.IntN(14) {
	case 0:
		return fmt.Sprint("kill vm ", v.index, " all ", every), restart(syscall.SIGKILL)
	case 1:
		return fmt.Sprint("terminate vm ", v.index), func(ctx context.Context, span time.Duration) {
			s.note(v.restart(ctx, syscall.SIGTERM, span/4, len(s.vms)))
		}
	case 2:
		return fmt.Sprint("pause vm ", v.index), func(_ context.Context, span time.Duration) {
			v.signal(syscall.SIGSTOP, false)
			time.Sleep(span)
			v.signal(syscall.SIGCONT, false)
		}
	case 3:
		return fmt.Sprint("hang up vm ", v.index), func(context.Context, time.Duration) { v.signal(syscall.SIGHUP, false) }
	case 4:
		return fmt.Sprint("store silent for vm ", v.index), path(v.store, faultproxy.Harm{SilentFrom: true})
	case 5:
		return fmt.Sprint("store resets vm ", v.index), func(context.Context, time.Duration) { v.store.Reset() }
	case 6:
		return fmt.Sprint("store slow for vm ", v.index), path(v.store, faultproxy.Harm{Delay: 200 * time.Millisecond})
	case 7:
		return "store away", store(keyedstore.Faults{All: true})
	case 8:
		return "store loses answers", store(keyedstore.Faults{LoseAppends: true})
	case 9:
		return fmt.Sprint("path to server ", w, " one way"), path(s.paths[w], faultproxy.Harm{SilentFrom: true})
	case 10:
		return fmt.Sprint("path to server ", w, " resets"), func(context.Context, time.Duration) { s.paths[w].Reset() }
	case 11:
		return "configuration", func(context.Context, time.Duration) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.configure()
		}
	case 12:
		return "history dropped", func(context.Context, time.Duration) { s.store.Forget("keyed.servers") }
	default:
		f := worker.Fault(1 + s.random.IntN(int(worker.Busy)))
		return fmt.Sprint("server ", w, " fault ", f), server(f)
	}
}

// note keeps an error of the soak itself among the broken promises.
func (s *Soak) note(err error) {
	if err != nil {
		s.ledger.breach("soak: " + err.Error())
	}
}

// heal ends all faults.
func (s *Soak) heal() {
	s.store.SetFaults(keyedstore.Faults{})
	for _, p := range s.paths {
		p.Set(faultproxy.Harm{})
	}
	for _, w := range s.workers {
		w.Set(worker.Healthy, work)
	}
	for _, v := range s.vms {
		v.store.Set(faultproxy.Harm{})
	}
}
