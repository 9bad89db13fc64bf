package rollout

import (
	"time"

	"github.com/azuretiller/azuretiller/pkg/message"
)

// simRequest is a request of a caller. It is attempted twice at most.
type simRequest struct {
	route   int
	leader  *simLeader
	vm      int
	arrived time.Time
	second  bool
}

type simAttempt struct {
	request *simRequest
	server  *simServer
	started time.Time
	result  message.Result
	slowed  bool
	// hedged means that a second server was asked.
	hedged bool
}

// place selects a server as the fleet does: a target server if the controller exposes one, otherwise an old server.
func (sim *simulation) place(r *simRequest) {
	server := sim.choose(r)
	if server == nil {
		if sim.schedule.Now().Sub(r.arrived) < queueTimeout {
			sim.schedule.After(queueRetry, func() { sim.place(r) })
		}
		return
	}
	sim.start(r, server)
}

func (sim *simulation) choose(r *simRequest) *simServer {
	now := sim.schedule.Now()
	phase := Trial
	if r.leader != nil {
		phase = r.leader.controller.Phase()
	} else if sim.stored.Cutover {
		phase = Cutover
	}
	switch phase {
	case Trial:
		if r.leader != nil {
			for _, s := range sim.new {
				if s.busy < sim.slots && r.leader.controller.Expose(now, routeID(r.route), s.id) {
					return s
				}
			}
		}
		return sim.leastBusy(sim.old)
	case Cutover, Completed:
		if r.leader == nil && phase == Cutover && sim.stored.State == 0 {
			return nil
		}
		s := sim.leastBusy(sim.new)
		if s != nil && r.leader != nil {
			r.leader.controller.Expose(now, routeID(r.route), s.id)
		}
		return s
	default:
		return sim.leastBusy(sim.old)
	}
}

// leastBusy returns the least busy of some servers with a free slot. It avoids servers that failed in the last second.
func (sim *simulation) leastBusy(servers []*simServer) *simServer {
	var best *simServer
	for range 6 {
		s := servers[sim.random.IntN(len(servers))]
		if s.busy >= sim.slots {
			continue
		}
		recent := sim.suspected(s)
		if best == nil || !recent && (s.busy < best.busy || sim.avoidGray && sim.suspected(best)) {
			best = s
		}
	}
	return best
}

func (sim *simulation) start(r *simRequest, s *simServer) {
	a := &simAttempt{request: r, server: s, started: sim.schedule.Now(), result: message.Succeeded}
	if s.onTarget {
		if sim.elapsed() < sim.duration {
			sim.result.exposed++
		}
		sim.result.lastSent = sim.elapsed()
		if !sim.stored.Cutover && sim.result.exposureExceeded() {
			sim.result.trialExceeded = true
		}
	} else {
		sim.oldRunning++
	}
	s.busy++
	took := sim.serviceTime(r.route)
	if sim.coldStart && a.started.Sub(s.since) < simColdTime {
		took *= simSlowdown
	}
	link := time.Duration(0)
	if r.vm == 0 && sim.within(sim.slowLinkFrom, sim.slowLinkTo) {
		link = sim.slowLink
	}
	switch {
	case s.gone:
		a.result, took = message.ConnectionRefused, time.Millisecond
	case chance(sim.random, sim.shedShare) && sim.within(sim.shedFrom, sim.shedTo):
		a.result, took = message.Shed, 2*time.Millisecond
	case s.gray && chance(sim.random, sim.grayFailureRate):
		a.result = sim.grayManner
	case chance(sim.random, sim.normalFailureRate):
		a.result = message.Failed
	case r.route == sim.deadRoute:
		a.result = message.TimedOut
	case sim.faulty(s, r.route):
		if chance(sim.random, sim.failureRate) {
			a.result = sim.manner
		}
		if sim.slowFactor > 0 {
			took, a.slowed = time.Duration(float64(took)*sim.slowFactor), true
		}
	}
	if a.result == message.TimedOut || took >= sim.attemptTimeout {
		took, a.result = sim.attemptTimeout, message.TimedOut
	}
	if cancelled := sim.hedge(a); cancelled > 0 {
		a.result, a.hedged, took = message.Cancelled, true, cancelled
		sim.schedule.After(hedgeAfter, func() {
			sim.place(&simRequest{route: r.route, leader: r.leader, vm: r.vm, arrived: sim.schedule.Now(), second: true})
		})
	}
	sim.schedule.After(took+link, func() { sim.finish(a) })
}

func (sim *simulation) finish(a *simAttempt) {
	now := sim.schedule.Now()
	a.server.busy--
	if !a.server.onTarget {
		sim.oldRunning--
	} else if sim.responseIsBad(a) && a.result.Sent() {
		sim.countBad()
	}
	if a.result != message.Succeeded && a.result != message.Shed {
		a.server.failed = now
	}
	a.server.results.decay(now, resultsMemory)
	a.server.results.count++
	if a.result != message.Succeeded && a.result != message.Shed {
		a.server.results.failed++
	}
	r := a.request
	outcome := Outcome{
		Route: routeID(r.route), Server: a.server.id, OnTarget: a.server.onTarget, Result: a.result, Took: now.Sub(a.started),
	}
	if sim.vmLostAt > 0 && r.vm == 1 && sim.elapsed() >= sim.vmLostAt {
		if sim.elapsed() < sim.vmLostAt+5*time.Second {
			// The VM is lost with its attempts. The leader notices it later.
			outcome.Result, outcome.Took = message.Cancelled, 0
			sim.schedule.After(max(0, sim.vmLostAt+sim.cancelLost-sim.elapsed()), func() { sim.observe(r.leader, outcome) })
			return
		}
	}
	sim.observe(r.leader, outcome)
	if a.result != message.Succeeded && !r.second && !a.hedged {
		sim.place(&simRequest{route: r.route, leader: r.leader, vm: r.vm, arrived: now, second: true})
	}
}

// observe reports an outcome to the leader that placed the attempt.
func (sim *simulation) observe(l *simLeader, o Outcome) {
	if l != nil {
		l.controller.Observe(sim.schedule.Now(), o)
	}
}
