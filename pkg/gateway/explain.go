package gateway

import (
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/explanation"
	"github.com/azuretiller/azuretiller/pkg/fallback"
)

// errPath means that the path of a request to explain is no path. It leaves out the value, which an operator may have confused with the key.
var errPath = errors.New("the path is not valid")

// Explain returns what this VM knows about a request itself, and what the leader needs in order to explain the placement. If the VM refuses
// the request, the answer has a result. Nothing is counted or logged.
func (g *Gateway) Explain(r explanation.Request) (explanation.Answer, explanation.PlacementRequest, error) {
	target, err := url.ParseRequestURI(r.Path)
	if err != nil {
		return explanation.Answer{}, explanation.PlacementRequest{}, errPath
	}
	request := &http.Request{Method: r.Method, Host: r.Host, URL: target, Header: http.Header{}}
	if r.Key != "" {
		request.Header.Set("Authorization", "Bearer "+r.Key)
	}
	state := g.current()
	c := &call{gateway: g, request: request, state: state}
	a := explanation.Answer{VM: state.VM, Zone: state.Zone, Leaving: state.Leaving, Term: state.Term, DecidedBy: "vm"}
	if r.Zone != "" {
		a.Zone = r.Zone
	}
	if state.LeaderReachable {
		a.Leader = state.LeaderAddress
	}
	if state.Config == nil {
		a.Result = explainedRefusal(azuretiller.CodeNotReady, "The VM has no configuration yet.")
		return a, explanation.PlacementRequest{}, nil
	}
	a.Version = state.Config.Version
	route, ok := matchRoute(state.Config, request)
	if !ok {
		a.Result = explainedRefusal(azuretiller.CodeNoRoute, "No route of the configuration serves this host and path.")
		return a, explanation.PlacementRequest{}, nil
	}
	c.route = route
	code := c.identifyTeam()
	switch {
	case code == azuretiller.CodeNoKey:
		a.Key = "missing"
		a.Result = explainedRefusal(code, "The route needs a key, and none was given.")
	case code == azuretiller.CodeUnknownKey:
		a.Key = "unknown"
		a.Result = explainedRefusal(code, "No team has this key.")
	case c.team.ID == "":
		a.Key = "not needed"
	default:
		a.Key = "known"
	}
	a.Route, a.Prefix, a.Team = route.ID, route.Host+route.Prefix, c.team.ID
	a.TimeoutMS, a.TargetMS = route.RequestTimeout("").Milliseconds(), route.TargetLatency.Milliseconds()
	a.Priority, a.Idempotent = c.priority(), route.IsIdempotent("")
	for _, b := range route.Backends[:min(len(route.Backends), explanation.MaxServices)] {
		a.Backends = append(a.Backends, explanation.Backend{Service: b.Service, Weight: b.Weight})
	}
	return a, explanation.PlacementRequest{
		Zone: a.Zone, Team: a.Team, Route: a.Route, Backends: route.Backends, Priority: a.Priority, Idempotent: a.Idempotent,
		TimeoutMS: a.TimeoutMS, TargetMS: a.TargetMS, Blocked: g.withBlocked(serverQuery{attemptNumber: 1, backends: route.Backends}),
	}, nil
}

// ExplainWithoutLeader returns the placement that this VM would choose itself.
func (g *Gateway) ExplainWithoutLeader(now time.Time, r explanation.PlacementRequest) explanation.Placement {
	return g.placer.Explain(now, r.Zone, fallback.Request{Team: r.Team, Backends: r.Backends, Tried: r.Blocked, FirstAttempt: true}, g.current().Servers)
}

func explainedRefusal(code azuretiller.Code, reason string) explanation.Result {
	return explanation.Result{Outcome: explanation.Refused, Code: code, Reason: reason}
}
