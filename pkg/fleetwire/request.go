package fleetwire

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/fleetpb"
	"github.com/azuretiller/azuretiller/pkg/message"
)

func encodePlaceRequest(a message.PlaceRequest) *fleetpb.Ask {
	p := &fleetpb.Ask{
		Request:     a.Request,
		Route:       string(a.Route),
		Team:        string(a.Team),
		DeadlineMs:  toMilliseconds(a.Deadline),
		ObjectiveMs: toMilliseconds(a.SoftDeadline),
		Priority:    uint32(a.Priority),
		Idempotent:  a.Idempotent,
		Attempt:     uint32(a.Attempt),
		Fingerprint: a.Fingerprint,
		Term:        uint64(a.Term),
		Hedge:       a.Hedge,
	}
	for _, b := range a.Backends {
		p.Backends = append(p.Backends, &fleetpb.Backend{Service: string(b.Service), Weight: uint32(b.Weight)})
	}
	for _, id := range a.Tried {
		p.Tried = append(p.Tried, string(id))
	}
	if a.LastReport != nil {
		p.Last = encodeReport(*a.LastReport)
	}
	return p
}

func decodePlaceRequest(p *fleetpb.Ask) message.PlaceRequest {
	a := message.PlaceRequest{
		Request:      p.GetRequest(),
		Route:        azuretiller.RouteID(p.GetRoute()),
		Team:         azuretiller.TeamID(p.GetTeam()),
		Deadline:     fromMilliseconds(p.GetDeadlineMs()),
		SoftDeadline: fromMilliseconds(p.GetObjectiveMs()),
		Priority:     int(p.GetPriority()),
		Idempotent:   p.GetIdempotent(),
		Attempt:      int(p.GetAttempt()),
		Fingerprint:  p.GetFingerprint(),
		Term:         azuretiller.Term(p.GetTerm()),
		Hedge:        p.GetHedge(),
	}
	for _, b := range p.GetBackends() {
		a.Backends = append(a.Backends, config.Backend{Service: azuretiller.ServiceID(b.GetService()), Weight: int(b.GetWeight())})
	}
	for _, id := range p.GetTried() {
		a.Tried = append(a.Tried, azuretiller.InstanceID(id))
	}
	if p.GetLast() != nil {
		last := decodeReport(p.GetLast())
		a.LastReport = &last
	}
	return a
}

func encodePlaceResponse(g message.PlaceResponse) *fleetpb.Grant {
	return &fleetpb.Grant{
		Ticket:       uint64(g.Ticket),
		Server:       string(g.Server),
		Address:      g.Address,
		Service:      string(g.Service),
		Code:         uint32(g.Code),
		RetryAfterMs: toMilliseconds(g.RetryAfter),
		Waiting:      g.Queued,
		Term:         uint64(g.Term),
	}
}

func decodePlaceResponse(p *fleetpb.Grant) message.PlaceResponse {
	return message.PlaceResponse{
		Ticket:     message.TicketID(p.GetTicket()),
		Server:     azuretiller.InstanceID(p.GetServer()),
		Address:    p.GetAddress(),
		Service:    azuretiller.ServiceID(p.GetService()),
		Code:       azuretiller.Code(p.GetCode()),
		RetryAfter: fromMilliseconds(p.GetRetryAfterMs()),
		Queued:     p.GetWaiting(),
		Term:       azuretiller.Term(p.GetTerm()),
	}
}

func encodeReport(r message.Report) *fleetpb.Report {
	return &fleetpb.Report{
		Ticket: uint64(r.Ticket),
		Result: uint32(r.Result),
		TookMs: toMilliseconds(r.Took),
		Bytes:  uint32(r.Bytes),
		Server: string(r.Server),
		Term:   uint64(r.Term),
	}
}

func decodeReport(p *fleetpb.Report) message.Report {
	return message.Report{
		Ticket: message.TicketID(p.GetTicket()),
		Result: message.Result(p.GetResult()),
		Took:   fromMilliseconds(p.GetTookMs()),
		Bytes:  int(p.GetBytes()),
		Server: azuretiller.InstanceID(p.GetServer()),
		Term:   azuretiller.Term(p.GetTerm()),
	}
}

// toMilliseconds rounds up, so that a positive duration below 1 ms does not become 0.
func toMilliseconds(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

func fromMilliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
