package peers

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/control"
	"github.com/azuretiller/azuretiller/pkg/idempotency"
	"github.com/azuretiller/azuretiller/pkg/membership"
	"github.com/azuretiller/azuretiller/pkg/peerpb"
	"github.com/azuretiller/azuretiller/pkg/rateshare"
	"github.com/azuretiller/azuretiller/pkg/wire"
)

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// EncodeHeartbeat converts a heartbeat to its protobuf message.
func EncodeHeartbeat(hb control.Heartbeat) *peerpb.Heartbeat {
	out := &peerpb.Heartbeat{
		Vm:          string(hb.VM),
		Incarnation: uint64(hb.Incarnation),
		Next:        uint64(hb.NextOffset),
		AgeUs:       hb.ViewAge.Microseconds(),
		Roster:      uint64(hb.RosterRevision),
		Version:     uint64(hb.Version),
		Settled:     uint64(hb.Settled),
		Known:       hb.AppliedBy,
		Outages:     hb.LogFailureAges,
	}
	for _, a := range hb.Accusations {
		out.Accusations = append(out.Accusations, &peerpb.Accusation{
			Vm:          string(a.VM),
			Incarnation: uint64(a.Incarnation),
			Observer:    string(a.Observer),
			AgeUs:       a.Age.Microseconds(),
		})
	}
	return out
}

// DecodeHeartbeat converts a protobuf message to a heartbeat. A negative age means that the sender's view was never complete.
func DecodeHeartbeat(m *peerpb.Heartbeat) control.Heartbeat {
	hb := control.Heartbeat{
		VM:             azuretiller.VMID(m.GetVm()),
		Incarnation:    azuretiller.Incarnation(m.GetIncarnation()),
		NextOffset:     azuretiller.Offset(m.GetNext()),
		ViewAge:        microseconds(m.GetAgeUs()),
		RosterRevision: azuretiller.Revision(m.GetRoster()),
		Version:        azuretiller.Revision(m.GetVersion()),
		Settled:        azuretiller.Revision(m.GetSettled()),
		AppliedBy:      m.GetKnown(),
		LogFailureAges: m.GetOutages(),
	}
	if m.GetAgeUs() < 0 {
		hb.ViewAge = -1
	}
	for _, a := range m.GetAccusations() {
		hb.Accusations = append(hb.Accusations, membership.Accusation{
			VM:          azuretiller.VMID(a.GetVm()),
			Incarnation: azuretiller.Incarnation(a.GetIncarnation()),
			Observer:    azuretiller.VMID(a.GetObserver()),
			Age:         microseconds(a.GetAgeUs()),
		})
	}
	return hb
}

func encodeDrawRequest(d rateshare.DrawRequest) *peerpb.DrawRequest {
	return &peerpb.DrawRequest{
		Team:       string(d.Team),
		Want:       int64(d.Want),
		Spent:      int64(d.Spent),
		Returned:   int64(d.Returned),
		LifetimeUs: d.Lifetime.Microseconds(),
	}
}

// DecodeDrawRequest converts the protobuf message of an entry VM to a DrawRequest.
func DecodeDrawRequest(from azuretiller.VMID, m *peerpb.DrawRequest) rateshare.DrawRequest {
	return rateshare.DrawRequest{
		Team:     azuretiller.TeamID(m.GetTeam()),
		EntryVM:  from,
		Want:     azuretiller.Millitokens(m.GetWant()),
		Spent:    azuretiller.Millitokens(m.GetSpent()),
		Returned: azuretiller.Millitokens(m.GetReturned()),
		Lifetime: microseconds(m.GetLifetimeUs()),
	}
}

// EncodeDrawResponse converts a DrawResponse to its protobuf message.
func EncodeDrawResponse(r rateshare.DrawResponse) *peerpb.DrawAnswer {
	return &peerpb.DrawAnswer{
		Granted:      int64(r.Granted),
		Level:        int64(r.Level),
		Code:         uint32(r.Code),
		RetryAfterUs: r.RetryAfter.Microseconds(),
	}
}

func decodeDrawResponse(m *peerpb.DrawAnswer) rateshare.DrawResponse {
	return rateshare.DrawResponse{
		Granted:    azuretiller.Millitokens(m.GetGranted()),
		Level:      azuretiller.Millitokens(m.GetLevel()),
		Code:       azuretiller.Code(m.GetCode()),
		RetryAfter: microseconds(m.GetRetryAfterUs()),
	}
}

// Reservation is the response of one VM to a request to reserve a request ID.
type Reservation struct {
	State    idempotency.State
	Response idempotency.Response
	// CompleteFor is the period up to now for which the VM has all request IDs that were reserved on it.
	CompleteFor time.Duration
}

// EncodeReservation converts a Reservation to its protobuf message.
func EncodeReservation(r Reservation) *peerpb.ReserveAnswer {
	return &peerpb.ReserveAnswer{
		State:   uint32(r.State),
		YoungUs: r.CompleteFor.Microseconds(),
		Code:    uint32(r.Response.Code),
		Status:  uint32(r.Response.Status),
		Headers: wire.EncodeHeaders(r.Response.Headers),
		Body:    r.Response.Body,
		Kept:    r.Response.Replayable,
	}
}

func decodeReservation(m *peerpb.ReserveAnswer) Reservation {
	return Reservation{
		State:       idempotency.State(m.GetState()),
		CompleteFor: microseconds(m.GetYoungUs()),
		Response: idempotency.Response{
			Code:       azuretiller.Code(m.GetCode()),
			Status:     int(m.GetStatus()),
			Headers:    wire.DecodeHeaders(m.GetHeaders()),
			Body:       m.GetBody(),
			Replayable: m.GetKept(),
		},
	}
}

func encodeFinish(key idempotency.Key, owner string, response idempotency.Response) *peerpb.FinishRequest {
	return &peerpb.FinishRequest{
		Team:    string(key.Team),
		Id:      string(key.ID),
		Owner:   owner,
		Code:    uint32(response.Code),
		Status:  uint32(response.Status),
		Headers: wire.EncodeHeaders(response.Headers),
		Body:    response.Body,
		Kept:    response.Replayable,
	}
}

// DecodeFinish converts a protobuf message to the key, the owner and the response of a request.
func DecodeFinish(m *peerpb.FinishRequest) (idempotency.Key, string, idempotency.Response) {
	key := idempotency.Key{Team: azuretiller.TeamID(m.GetTeam()), ID: azuretiller.RequestID(m.GetId())}
	return key, m.GetOwner(), idempotency.Response{
		Code:       azuretiller.Code(m.GetCode()),
		Status:     int(m.GetStatus()),
		Headers:    wire.DecodeHeaders(m.GetHeaders()),
		Body:       m.GetBody(),
		Replayable: m.GetKept(),
	}
}
