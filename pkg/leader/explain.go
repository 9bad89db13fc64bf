package leader

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/explanation"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
	"github.com/azuretiller/azuretiller/pkg/shareholder"
)

// Explain returns what the leader would do with the first attempt of a request now, and why, without changing its state. Whether the request
// is held back after it crashed servers is left out, since that depends on the whole request.
func (l *Leader) Explain(now time.Time, r explanation.PlacementRequest) explanation.Placement {
	p := explanation.Placement{Term: l.term, Tokens: l.explainTokens(now, r.Team)}
	for _, b := range r.Backends[:min(len(r.Backends), explanation.MaxServices)] {
		p.Services = append(p.Services, l.explainService(now, b.Service, r))
	}
	p.OmittedServices = len(r.Backends) - len(p.Services)
	p.Result = l.explainResult(now, r, p.Services)
	return p
}

func (l *Leader) explainTokens(now time.Time, team azuretiller.TeamID) *explanation.Tokens {
	a := l.limiter.Peek(now, team)
	return &explanation.Tokens{Limited: a.Limited, Available: a.Tokens, PerSecond: a.PerSecond, Share: l.limiter.Share().Of(1)}
}

func (l *Leader) explainService(now time.Time, id azuretiller.ServiceID, r explanation.PlacementRequest) explanation.Service {
	s := l.schedulers[id]
	if s == nil {
		s = scheduler.New(l.params.Scheduler, l.check, scheduler.NewTickets(0))
	}
	zone := r.Zone
	if m := l.members[r.From]; m != nil && zone == "" {
		zone = m.heartbeat.Zone
	}
	service := s.Explain(now, scheduler.Request{
		Key:          scheduler.Key{From: r.From},
		Zone:         zone,
		Team:         r.Team,
		Route:        r.Route,
		Priority:     r.Priority,
		Idempotent:   r.Idempotent,
		Tried:        r.Blocked,
		Deadline:     now.Add(time.Duration(r.TimeoutMS) * time.Millisecond),
		SoftDeadline: now.Add(time.Duration(r.TargetMS) * time.Millisecond),
	})
	service.ID, service.Result.Service = id, id
	return service
}

// explainResult repeats the steps of receivePlaceRequest.
func (l *Leader) explainResult(now time.Time, r explanation.PlacementRequest, services []explanation.Service) explanation.Result {
	waits := func(reason string) explanation.Result {
		return explanation.Result{Outcome: explanation.Waits, Code: azuretiller.CodeOK, MaxWaitMS: r.TimeoutMS, Reason: reason}
	}
	known := !slices.ContainsFunc(r.Backends, func(b config.Backend) bool { return l.schedulers[b.Service] == nil })
	switch {
	case len(services) == 0:
		return explanation.Result{Outcome: explanation.Refused, Code: azuretiller.CodeNoServer, Reason: "The route has no service."}
	case now.Before(l.serversAwaitedUntil):
		return waits("The leader has just been elected and has not read the servers yet.")
	case known && l.awaitsRollouts(now, r.Backends):
		return waits("The leader has not resumed the rollouts of the route's services yet.")
	}
	if refused, ok := l.explainRate(now, r.Team); !ok {
		if l.awaitsTokens(now) {
			return waits("The team has no token now, and VMs are still joining the leader with their shares of the rates.")
		}
		return refused
	}
	next := l.nextService(r.Route, r.Backends)
	for _, s := range services {
		if s.ID == next {
			return s.Result
		}
	}
	return waits(fmt.Sprintf("It is the turn of service %s, which is not listed.", next))
}

// explainRate reports whether the team has a token, and otherwise returns the refusal. It repeats takeToken.
func (l *Leader) explainRate(now time.Time, team azuretiller.TeamID) (explanation.Result, bool) {
	a := l.limiter.Peek(now, team)
	if a.Wait == 0 {
		return explanation.Result{}, true
	}
	wait, whole := a.Wait, l.limiter.Share() == azuretiller.WholeRate
	reason := fmt.Sprintf("The team has used up its rate: %.2f tokens are available, and a request takes one.", a.Tokens)
	if !whole {
		reason = fmt.Sprintf("The leader may spend %.3f of the rates now, and the team has used up this share.", l.limiter.Share().Of(1))
	}
	collecting := now.Sub(l.startedAt) < shareholder.PledgeTime && !l.first
	if collecting {
		wait = min(wait, collectingWait)
	}
	if (collecting || !whole) && a.Tolerance >= 1 {
		reason += " The tolerance for exceeding the rates may still admit the request."
	}
	return explanation.Result{Outcome: explanation.Refused, Code: l.rateCode(), RetryAfterMS: wait.Milliseconds(), Reason: reason}, false
}

// nextService returns the service that pickService would return, without counting the request.
func (l *Leader) nextService(route azuretiller.RouteID, backends []config.Backend) azuretiller.ServiceID {
	if len(backends) == 1 {
		return backends[0].Service
	}
	rr := weightedRoundRobin{credit: map[azuretiller.ServiceID]int{}}
	if current := l.roundRobins[route]; current != nil {
		rr.credit = maps.Clone(current.credit)
	}
	return rr.next(backends)
}
