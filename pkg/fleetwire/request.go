package fleetwire

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/fleetpb"
	"github.com/azuretiller/azuretiller/pkg/message"
)

func encodePlaceRequest(request message.PlaceRequest) *fleetpb.Ask {
	p := &fleetpb.Ask{
		Request:     request.Request,
		Route:       string(request.Route),
		Team:        string(request.Team),
		DeadlineMs:  toMilliseconds(request.Timeout),
		ObjectiveMs: toMilliseconds(request.SoftTimeout),
		Priority:    uint32(request.Priority),
		Idempotent:  request.Idempotent,
		Attempt:     uint32(request.Attempt),
		Fingerprint: request.Fingerprint,
		Term:        uint64(request.Term),
		Hedge:       request.Hedge,
	}
	for _, b := range request.Backends {
		p.Backends = append(p.Backends, &fleetpb.Backend{Service: string(b.Service), Weight: uint32(b.Weight)})
	}
	for _, id := range request.Tried {
		p.Tried = append(p.Tried, string(id))
	}
	if request.LastReport != nil {
		p.Last = encodeReport(*request.LastReport)
	}
	return p
}

func decodePlaceRequest(p *fleetpb.Ask) message.PlaceRequest {
	request := message.PlaceRequest{
		Request:     p.GetRequest(),
		Route:       azuretiller.RouteID(p.GetRoute()),
		Team:        azuretiller.TeamID(p.GetTeam()),
		Timeout:     fromMilliseconds(p.GetDeadlineMs()),
		SoftTimeout: fromMilliseconds(p.GetObjectiveMs()),
		Priority:    int(p.GetPriority()),
		Idempotent:  p.GetIdempotent(),
		Attempt:     int(p.GetAttempt()),
		Fingerprint: p.GetFingerprint(),
		Term:        azuretiller.Term(p.GetTerm()),
		Hedge:       p.GetHedge(),
	}
	for _, b := range p.GetBackends() {
		request.Backends = append(request.Backends, config.Backend{Service: azuretiller.ServiceID(b.GetService()), Weight: int(b.GetWeight())})
	}
	for _, id := range p.GetTried() {
		request.Tried = append(request.Tried, azuretiller.InstanceID(id))
	}
	if p.GetLast() != nil {
		last := decodeReport(p.GetLast())
		request.LastReport = &last
	}
	return request
}

func encodePlaceResponse(response message.PlaceResponse) *fleetpb.Grant {
	return &fleetpb.Grant{
		Ticket:       uint64(response.Ticket),
		Server:       string(response.Server),
		Address:      response.Address,
		Service:      string(response.Service),
		Code:         uint32(response.Code),
		RetryAfterMs: toMilliseconds(response.RetryAfter),
		Waiting:      response.Queued,
		Term:         uint64(response.Term),
		Incarnation:  response.Incarnation,
	}
}

func decodePlaceResponse(p *fleetpb.Grant) message.PlaceResponse {
	return message.PlaceResponse{
		Ticket:      message.TicketID(p.GetTicket()),
		Server:      azuretiller.InstanceID(p.GetServer()),
		Address:     p.GetAddress(),
		Service:     azuretiller.ServiceID(p.GetService()),
		Code:        azuretiller.Code(p.GetCode()),
		RetryAfter:  fromMilliseconds(p.GetRetryAfterMs()),
		Queued:      p.GetWaiting(),
		Term:        azuretiller.Term(p.GetTerm()),
		Incarnation: p.GetIncarnation(),
	}
}

func encodeReport(r message.Report) *fleetpb.Report {
	return &fleetpb.Report{
		Ticket:      uint64(r.Ticket),
		Result:      uint32(r.Result),
		TookMs:      toMilliseconds(r.Took),
		Bytes:       uint32(r.Bytes),
		Server:      string(r.Server),
		Term:        uint64(r.Term),
		Leaving:     r.Leaving,
		PauseMs:     toMilliseconds(r.PauseFor),
		Incarnation: r.Incarnation,
	}
}

func decodeReport(p *fleetpb.Report) message.Report {
	return message.Report{
		Ticket:      message.TicketID(p.GetTicket()),
		Result:      message.Result(p.GetResult()),
		Took:        fromMilliseconds(p.GetTookMs()),
		Bytes:       int(p.GetBytes()),
		Server:      azuretiller.InstanceID(p.GetServer()),
		Term:        azuretiller.Term(p.GetTerm()),
		PauseFor:    fromMilliseconds(p.GetPauseMs()),
		Leaving:     p.GetLeaving(),
		Incarnation: p.GetIncarnation(),
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
