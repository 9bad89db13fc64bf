package pool

import (
	"math"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/detector"
)

// judge draws the conclusions from a result for the server that gave it.
func (p *Pool) judge(now time.Time, r *request, s *server, result Result) []Action {
	switch result.Kind {
	case Succeeded:
		failed := p.settleHeld(r)
		actions := p.observeSuccess(now, s, r.ticket.Team, r.ticket.Route, result.Latency)
		return append(actions, p.learnSound(now, r, failed)...)
	case Shed, Unreachable:
		r.notRuns++
		return p.noteNotRun(now, s, result.Kind)
	default:
		return nil
	}
}

func (p *Pool) observeSuccess(now time.Time, s *server, team azuretiller.TeamID, route azuretiller.RouteID, latency time.Duration) []Action {
	p.detector.Observe(detector.Sample{Server: s.index, Team: team, Route: route, Latency: latency, Cold: p.isCold(now, s)})
	s.ramp.Succeeded(now, route, latency)
	actions := p.noteCold(now, s)
	actions = append(actions, p.concludeTrial(s, true, now)...)
	return append(actions, p.conclude(now)...)
}

// noteNotRun takes a result that shows that the server did not execute the request.
func (p *Pool) noteNotRun(now time.Time, s *server, kind ResultKind) []Action {
	switch kind {
	case Shed:
		s.ramp.Shed(now)
		return nil
	case Unreachable:
		return p.unreachable(now, s)
	default:
		return nil
	}
}

// blame weighs a failure; that of a request which is sent again is weighed once the retry is over.
func (p *Pool) blame(now time.Time, r *request, s *server, retried bool) []Action {
	actions := p.concludeTrial(s, false, now)
	sample := detector.Sample{Server: s.index, Team: r.ticket.Team, Route: r.ticket.Route, Failed: true}
	switch {
	case r.held != nil:
		p.detector.Excuse(r.ticket.Team, r.held.Server, s.index)
		r.held = nil
	case retried:
		r.held = &sample
	default:
		p.detector.Observe(sample)
		actions = append(actions, p.recheckSound(now, s)...)
	}
	return append(actions, p.conclude(now)...)
}

// settleHeld weighs the first failure of a request after all and returns the server that gave it, if it is still there.
func (p *Pool) settleHeld(r *request) *server {
	if r.held == nil {
		return nil
	}
	sample := *r.held
	r.held = nil
	p.detector.Observe(sample)
	// The verdict on the other server is drawn with its next result or tick.
	for _, s := range p.servers {
		if s.index == sample.Server {
			return s
		}
	}
	return nil
}

// noteCold lowers the limit of a server whose answers became slow, well before the evidence suffices to eject it.
func (p *Pool) noteCold(now time.Time, s *server) []Action {
	if s.ramp.Size() == 1 || p.detector.Slowness(s.index) < coldSuspicion {
		return nil
	}
	s.ramp.TurnedCold(now)
	return []Action{Notice{Server: s.id, Name: "server turned cold"}}
}

// conclude ejects the servers against which there is enough evidence.
func (p *Pool) conclude(now time.Time) []Action {
	var actions []Action
	for _, other := range p.servers {
		if reason, ok := p.detector.Convicted(other.index); ok && other.phase == active {
			actions = append(actions, p.eject(now, other, reason)...)
		}
	}
	return actions
}

// eject takes a server out of service unless that would leave less healthy capacity than the floor.
func (p *Pool) eject(now time.Time, s *server, reason string) []Action {
	if s.draining || !p.mayEject(now, s) {
		return nil
	}
	p.takeOut(now, s, reason, s.ejectionTime(now))
	p.check.That(p.healthy(now) >= p.floor(), "ejection of %s leaves %d healthy servers with a floor of %d", s.id, p.healthy(now), p.floor())
	return []Action{Notice{Server: s.id, Name: "server ejected", Reason: reason}}
}

func (p *Pool) takeOut(now time.Time, s *server, reason string, span time.Duration) {
	s.phase = ejected
	s.reason = reason
	s.until = now.Add(span)
	s.good = 0
	s.ramp.Reset(now)
}

func (p *Pool) mayEject(now time.Time, s *server) bool {
	left := p.healthy(now)
	if p.isHealthy(now, s) {
		left--
	}
	return left >= p.floor()
}

// isCold reports whether a server is still within the time in which a cold one becomes warm.
func (p *Pool) isCold(now time.Time, s *server) bool {
	return !s.ramp.Warm() && now.Sub(s.ramp.ColdSince()) < p.rules.Warmup
}

// isHealthy reports whether a server counts as capacity for the floor.
func (p *Pool) isHealthy(now time.Time, s *server) bool {
	return !s.draining && s.phase == active && !p.isCold(now, s)
}

func (p *Pool) healthy(now time.Time) int {
	n := 0
	for _, s := range p.servers {
		if p.isHealthy(now, s) {
			n++
		}
	}
	return n
}

func (p *Pool) floor() int {
	return int(math.Ceil(p.rules.Floor * float64(len(p.servers))))
}

// unreachable takes out a server that no connection can be made to; it is no capacity, so the floor does not protect it.
func (p *Pool) unreachable(now time.Time, s *server) []Action {
	if s.phase != active && s.phase != onTrial {
		return nil
	}
	p.takeOut(now, s, "unreachable", reconnectAfter)
	return []Action{Notice{Server: s.id, Name: "server unreachable"}}
}

// Probed takes the answer of a health endpoint; it only decides whether a trial may begin.
func (p *Pool) Probed(now time.Time, id azuretiller.ServerID, ok bool) []Action {
	s := p.find(id)
	if s == nil || s.phase != probing {
		return nil
	}
	if !ok {
		span := reconnectAfter
		if s.reason != "unreachable" {
			span = s.ejectionTime(now)
		}
		s.phase = ejected
		s.until = now.Add(span)
		return nil
	}
	s.phase = onTrial
	s.good = 0
	s.ramp.Reset(now)
	p.detector.Prime(s.index, 0)
	return append([]Action{Notice{Server: s.id, Name: "server on trial"}}, p.pump(now)...)
}

// concludeTrial counts the results of a server on trial.
func (p *Pool) concludeTrial(s *server, good bool, now time.Time) []Action {
	if s.phase != onTrial {
		return nil
	}
	if !good || p.detector.Suspicion(s.index) > suspect {
		p.takeOut(now, s, s.reason, s.ejectionTime(now))
		return []Action{Notice{Server: s.id, Name: "server failed its trial"}}
	}
	s.good++
	if s.good < trialSuccesses {
		return nil
	}
	s.phase = active
	s.returned = now
	// Evidence is kept in part, so that a server that flaps is out again after fewer failures each time.
	p.detector.Prime(s.index, 1-math.Pow(0.5, float64(min(s.ejections, 3))))
	return []Action{Notice{Server: s.id, Name: "server back in service"}}
}
