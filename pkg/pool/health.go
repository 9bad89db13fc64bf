package pool

import (
	"math"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/detector"
)

// observeResult records a success, or a result that shows that the request was not executed. Failures are recorded by
// observeFailure.
func (p *Pool) observeResult(now time.Time, r *requestState, s *server, result Result) []Action {
	switch result.Kind {
	case Succeeded:
		failedServer := p.observeDeferredFailure(r)
		actions := p.observeSuccess(now, s, r.ticket.Team, r.ticket.Route, result.Latency)
		return append(actions, p.recordKnownGood(now, r, failedServer)...)
	case Shed, Unreachable:
		r.notExecuted++
		return p.observeNotExecuted(now, s, result.Kind)
	default:
		return nil
	}
}

func (p *Pool) observeSuccess(now time.Time, s *server, team azuretiller.TeamID, route azuretiller.RouteID, latency time.Duration) []Action {
	p.detector.Observe(detector.Sample{Server: s.index, Team: team, Route: route, Latency: latency, Cold: p.isCold(now, s)})
	s.ramp.ObserveSuccess(now, route, latency)
	actions := p.markColdIfSlow(now, s)
	actions = append(actions, p.recordTrialResult(s, true, now)...)
	return append(actions, p.ejectOutliers(now)...)
}

// observeNotExecuted records a result that shows that the server did not execute the request.
func (p *Pool) observeNotExecuted(now time.Time, s *server, kind ResultKind) []Action {
	switch kind {
	case Shed:
		s.ramp.ObserveShed(now)
		return nil
	case Unreachable:
		return p.observeUnreachable(now, s)
	default:
		return nil
	}
}

// observeFailure records a failure. If the request is retried, the failure is deferred until the retry has ended. If the
// retry fails as well, both failures are attributed to the request and not to the servers.
func (p *Pool) observeFailure(now time.Time, r *requestState, s *server, retried bool) []Action {
	actions := p.recordTrialResult(s, false, now)
	sample := detector.Sample{Server: s.index, Team: r.ticket.Team, Route: r.ticket.Route, Failed: true}
	switch {
	case r.deferredFailure != nil:
		p.detector.ObserveFaultyRequest(r.ticket.Team, r.deferredFailure.Server, s.index)
		r.deferredFailure = nil
	case retried:
		r.deferredFailure = &sample
	default:
		p.detector.Observe(sample)
		actions = append(actions, p.recheckWithKnownGood(now, s)...)
	}
	return append(actions, p.ejectOutliers(now)...)
}

// observeDeferredFailure records the deferred failure of a request. It returns the server that caused the failure, or nil
// if there is no deferred failure or the server was removed.
func (p *Pool) observeDeferredFailure(r *requestState) *server {
	if r.deferredFailure == nil {
		return nil
	}
	sample := *r.deferredFailure
	r.deferredFailure = nil
	p.detector.Observe(sample)
	// The next call of ejectOutliers decides whether the evidence suffices to eject the server.
	for _, s := range p.servers {
		if s.index == sample.Server {
			return s
		}
	}
	return nil
}

// markColdIfSlow lowers the limit of a server whose responses became slow. This takes much less evidence than an
// ejection.
func (p *Pool) markColdIfSlow(now time.Time, s *server) []Action {
	if s.ramp.BaseLimit() == 1 || p.detector.SlowSuspicion(s.index) < coldThreshold {
		return nil
	}
	s.ramp.MarkCold(now)
	return []Action{LogLine{Server: s.id, Name: "server turned cold"}}
}

// ejectOutliers ejects the active servers that the detector reports as failing or slow.
func (p *Pool) ejectOutliers(now time.Time) []Action {
	var actions []Action
	for _, s := range p.servers {
		if reason, ok := p.detector.ShouldEject(s.index); ok && s.phase == active {
			actions = append(actions, p.eject(now, s, reason)...)
		}
	}
	return actions
}

// eject takes a server out of service unless fewer healthy servers than the floor would remain.
func (p *Pool) eject(now time.Time, s *server, reason string) []Action {
	if s.draining || !p.mayEject(now, s) {
		return nil
	}
	p.takeOutOfService(now, s, reason, s.countEjection(now))
	p.check.Assert(p.healthyCount(now) >= p.minHealthy(), "ejection of %s leaves %d healthy servers with a floor of %d", s.id, p.healthyCount(now), p.minHealthy())
	return []Action{LogLine{Server: s.id, Name: "server ejected", Reason: reason}}
}

func (p *Pool) takeOutOfService(now time.Time, s *server, reason string, duration time.Duration) {
	s.phase = ejected
	s.reason = reason
	s.ejectedUntil = now.Add(duration)
	s.trialSuccesses = 0
	s.ramp.Reset(now)
}

// mayEject reports whether enough healthy servers remain without the given one.
func (p *Pool) mayEject(now time.Time, s *server) bool {
	remaining := p.healthyCount(now)
	if p.isHealthy(now, s) {
		remaining--
	}
	return remaining >= p.minHealthy()
}

// isCold reports whether a server is below its full limit and still within its warm-up time.
func (p *Pool) isCold(now time.Time, s *server) bool {
	return !s.ramp.Warm() && now.Sub(s.ramp.ColdSince()) < p.service.Warmup
}

// isHealthy reports whether a server counts towards the floor.
func (p *Pool) isHealthy(now time.Time, s *server) bool {
	return !s.draining && s.phase == active && !p.isCold(now, s)
}

func (p *Pool) healthyCount(now time.Time) int {
	n := 0
	for _, s := range p.servers {
		if p.isHealthy(now, s) {
			n++
		}
	}
	return n
}

// minHealthy returns the floor: the number of healthy servers that ejections must leave in service.
func (p *Pool) minHealthy() int {
	return int(math.Ceil(p.service.EjectionFloor * float64(len(p.servers))))
}

// observeUnreachable takes a server out of service if no connection to it can be made. The floor does not prevent this,
// because an unreachable server provides no capacity.
func (p *Pool) observeUnreachable(now time.Time, s *server) []Action {
	if s.phase != active && s.phase != onTrial {
		return nil
	}
	p.takeOutOfService(now, s, "unreachable", unreachableProbeDelay)
	return []Action{LogLine{Server: s.id, Name: "server unreachable"}}
}

// FinishProbe records the result of a health probe. A successful probe starts a trial; it does not return the server to
// service.
func (p *Pool) FinishProbe(now time.Time, id azuretiller.ServerID, ok bool) []Action {
	s := p.find(id)
	if s == nil || s.phase != probing {
		return nil
	}
	if !ok {
		duration := unreachableProbeDelay
		if s.reason != "unreachable" {
			duration = s.countEjection(now)
		}
		s.phase = ejected
		s.ejectedUntil = now.Add(duration)
		return nil
	}
	s.phase = onTrial
	s.trialSuccesses = 0
	s.ramp.Reset(now)
	p.detector.SetSuspicion(s.index, 0)
	return append([]Action{LogLine{Server: s.id, Name: "server on trial"}}, p.startQueued(now)...)
}

// recordTrialResult ends the trial of a server. A failure, or suspicion above suspectThreshold, takes the server out of
// service again; requiredTrialSuccesses successes return it to service.
func (p *Pool) recordTrialResult(s *server, success bool, now time.Time) []Action {
	if s.phase != onTrial {
		return nil
	}
	if !success || p.detector.Suspicion(s.index) > suspectThreshold {
		p.takeOutOfService(now, s, s.reason, s.countEjection(now))
		return []Action{LogLine{Server: s.id, Name: "server failed its trial"}}
	}
	s.trialSuccesses++
	if s.trialSuccesses < requiredTrialSuccesses {
		return nil
	}
	s.phase = active
	s.returnedAt = now
	// Part of the suspicion remains, so that a flapping server is ejected after fewer failures each time.
	p.detector.SetSuspicion(s.index, 1-math.Pow(0.5, float64(min(s.ejections, 3))))
	return []Action{LogLine{Server: s.id, Name: "server back in service"}}
}
