package fallback

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/explanation"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// Explain returns what Place would do with the first attempt of a request now, for a VM in the given zone, without changing the Placer. Place
// adds a random number to the scores and picks the service at random, so Explain names the most likely result. Scores are in percentage
// points of the success probability.
func (p *Placer) Explain(now time.Time, zone azuretiller.Zone, r Request, servers []message.Server) explanation.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.limiter.Peek(now, r.Team)
	placement := explanation.Placement{Tokens: &explanation.Tokens{
		Limited: a.Limited, Available: a.Tokens, PerSecond: a.PerSecond, Share: p.limiter.Share().Of(1),
	}}
	heaviest := config.Backend{}
	for _, b := range r.Backends {
		if b.Weight > heaviest.Weight {
			heaviest = b
		}
		if len(placement.Services) == explanation.MaxServices {
			placement.OmittedServices++
			continue
		}
		placement.Services = append(placement.Services, p.explainService(now, zone, b.Service, r.Tried, servers))
	}
	placement.Result = explanation.Result{Outcome: explanation.Refused, Code: azuretiller.CodeNoServer, RetryAfterMS: noServerRetryAfter.Milliseconds(), Reason: "The route has no service."}
	for _, s := range placement.Services {
		if s.ID == heaviest.Service {
			placement.Result = s.Result
		}
	}
	if len(r.Backends) > 1 {
		placement.Result.Reason += " The service is picked at random by weight; this is the one with the largest weight."
	}
	if a.Wait > 0 && !p.reserve.has(now, r.Team) {
		wait := a.Wait
		if p.limiter.Share() == 0 {
			wait = noShareRetryAfter
		}
		placement.Result = explanation.Result{
			Outcome: explanation.Refused, Code: azuretiller.CodeRateUnavailable, RetryAfterMS: wait.Milliseconds(),
			Reason: "The team has used up the share of its rate that this VM may spend without a leader.",
		}
	}
	return placement
}

func (p *Placer) explainService(now time.Time, zone azuretiller.Zone, id azuretiller.ServiceID, tried []azuretiller.InstanceID, servers []message.Server) explanation.Service {
	service := explanation.Service{ID: id}
	open, excluded, usable := 0, 0, 0
	for _, server := range servers {
		if server.Service != id {
			continue
		}
		e := p.explainServer(now, zone, server, slices.Contains(tried, server.ID))
		service.Running += e.Busy
		if !server.Closed {
			open++
			if slices.Contains(tried, server.ID) {
				excluded++
			}
		}
		if e.Eligible {
			usable++
		}
		service.Servers = append(service.Servers, e)
	}
	slices.SortStableFunc(service.Servers, func(a, b explanation.Server) int {
		if a.Eligible != b.Eligible {
			if a.Eligible {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	service.Result = explanation.Result{Outcome: explanation.Refused, Service: id, Code: azuretiller.CodeNoServer, RetryAfterMS: noServerRetryAfter.Milliseconds()}
	switch {
	case usable > 0:
		likely := 0
		for _, s := range service.Servers[:usable] {
			if service.Servers[0].Score-s.Score < scorePenalty {
				likely++
			}
		}
		service.Result = explanation.Result{
			Outcome: explanation.Placed, Service: id, Server: service.Servers[0].ID, Code: azuretiller.CodeOK,
			Reason: fmt.Sprintf("Of the usable servers in this VM's view, %s has the highest score; a random number lets %d of them get the request.", service.Servers[0].ID, likely),
		}
	case open > 0 && open == excluded:
		service.Result.Code = azuretiller.CodeServersPaused
		service.Result.Reason = "All open servers of the service leave or asked this VM for a pause."
	case open > 0:
		service.Result.Reason = "All open servers in this VM's view are full, failed a request of this VM lately or asked it for a pause."
	default:
		service.Result.Reason = "This VM's view has no open server of the service."
	}
	if n := len(service.Servers) - explanation.MaxServers; n > 0 {
		service.Servers, service.OmittedServers = service.Servers[:explanation.MaxServers], n
	}
	return service
}

func (p *Placer) explainServer(now time.Time, zone azuretiller.Zone, server message.Server, tried bool) explanation.Server {
	running := p.running[server.ID]
	at, failed := p.failedAt[server.ID]
	failed = failed && now.Sub(at) < ejectionTime
	e := explanation.Server{
		ID: server.ID, Zone: server.Zone, Busy: running, Slots: server.Slots,
		Success:  float64(server.Success) / 100,
		Eligible: !server.Closed && !tried && running < server.Slots && !failed,
		Parts:    []explanation.Part{{Name: "success probability", Value: float64(server.Success)}},
	}
	if running > 0 {
		e.Parts = append(e.Parts, explanation.Part{Name: "load", Value: float64(-scorePenalty * running)})
	}
	if server.Zone != zone {
		e.Parts = append(e.Parts, explanation.Part{Name: "other zone", Value: -scorePenalty})
	}
	for _, part := range e.Parts {
		e.Score += part.Value
	}
	for _, state := range []struct {
		name string
		set  bool
	}{{"closed", server.Closed}, {"withheld", tried}, {"failed lately", failed}, {"full", running >= server.Slots}} {
		if state.set {
			e.State = append(e.State, state.name)
		}
	}
	return e
}

// has reports whether take would find a token.
func (r *reserve) has(now time.Time, team azuretiller.TeamID) bool {
	probe := *r
	probe.taken = map[azuretiller.TeamID][]time.Time{team: slices.Clone(r.taken[team])}
	return probe.take(now, team)
}
