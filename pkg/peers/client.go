package peers

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/control"
	"github.com/azuretiller/azuretiller/pkg/crash"
	"github.com/azuretiller/azuretiller/pkg/idempotency"
	"github.com/azuretiller/azuretiller/pkg/peerpb"
	"github.com/azuretiller/azuretiller/pkg/poolowner"
	"github.com/azuretiller/azuretiller/pkg/rateshare"
	"github.com/azuretiller/azuretiller/pkg/record"
)

// Transport sends a call to a VM, which may be this VM.
type Transport interface {
	// Call sends a call and returns its answer. The context must have a deadline.
	Call(ctx context.Context, to azuretiller.VM, call *peerpb.Call) (*peerpb.Answer, error)
}

// Client is a client for calls to other VMs.
type Client struct {
	transport Transport
}

// New returns a client that sends its calls over the given transport.
func New(transport Transport) *Client {
	return &Client{transport: transport}
}

// Heartbeat sends a heartbeat and returns the heartbeat of the other VM.
func (cl *Client) Heartbeat(ctx context.Context, to azuretiller.VM, hb control.Heartbeat) (control.Heartbeat, error) {
	answer, err := cl.transport.Call(ctx, to, &peerpb.Call{Kind: &peerpb.Call_Heartbeat{Heartbeat: EncodeHeartbeat(hb)}})
	if err != nil {
		return control.Heartbeat{}, err
	}
	return DecodeHeartbeat(answer.GetHeartbeat()), nil
}

// Ping asks a VM to ping the target on behalf of this VM, and returns whether the target answered and its incarnation. With
// an empty target it only checks that the VM itself answers.
func (cl *Client) Ping(ctx context.Context, to azuretiller.VM, target azuretiller.VMID) (alive bool, incarnation azuretiller.Incarnation, err error) {
	answer, err := cl.transport.Call(ctx, to, &peerpb.Call{Kind: &peerpb.Call_Ping{Ping: &peerpb.PingRequest{Target: string(target)}}})
	if err != nil {
		return false, 0, err
	}
	return answer.GetPing().GetHeard(), azuretiller.Incarnation(answer.GetPing().GetIncarnation()), nil
}

// Draw asks a VM for tokens of its share of a team's rate.
func (cl *Client) Draw(ctx context.Context, to azuretiller.VM, d rateshare.DrawRequest) (rateshare.DrawResponse, error) {
	answer, err := cl.transport.Call(ctx, to, &peerpb.Call{Kind: &peerpb.Call_Draw{Draw: encodeDrawRequest(d)}})
	if err != nil {
		return rateshare.DrawResponse{}, err
	}
	return decodeDrawResponse(answer.GetDraw()), nil
}

// Reserve asks a VM to reserve a request ID.
func (cl *Client) Reserve(ctx context.Context, to azuretiller.VM, key idempotency.Key, owner string, fingerprint []byte) (Reservation, error) {
	answer, err := cl.transport.Call(ctx, to, &peerpb.Call{Kind: &peerpb.Call_Reserve{Reserve: &peerpb.ReserveRequest{
		Team:        string(key.Team),
		Id:          string(key.ID),
		Owner:       owner,
		Fingerprint: fingerprint,
	}}})
	if err != nil {
		return Reservation{}, err
	}
	return decodeReservation(answer.GetReserve()), nil
}

// Finish sends the response of a request to a VM that stores the request ID.
func (cl *Client) Finish(ctx context.Context, to azuretiller.VM, key idempotency.Key, owner string, response idempotency.Response) error {
	_, err := cl.transport.Call(ctx, to, &peerpb.Call{Kind: &peerpb.Call_Finish{Finish: encodeFinish(key, owner, response)}})
	return err
}

// ReportCrash reports to a VM that a backend server crashed while it ran a request with the given fingerprint.
func (cl *Client) ReportCrash(ctx context.Context, to azuretiller.VM, f crash.Fingerprint, server azuretiller.ServerID) error {
	_, err := cl.transport.Call(ctx, to, &peerpb.Call{Kind: &peerpb.Call_Crash{Crash: &peerpb.CrashReport{
		Fingerprint: []byte(f),
		Server:      string(server),
	}}})
	return err
}

// Handover asks the former owner of a pool to hand it over to this VM, which owns it as of the given version.
func (cl *Client) Handover(ctx context.Context, from azuretiller.VM, id azuretiller.PoolID, version azuretiller.Revision) (poolowner.HandoverResponse, error) {
	answer, err := cl.transport.Call(ctx, from, &peerpb.Call{Kind: &peerpb.Call_Handover{Handover: encodeHandoverRequest(id, version)}})
	if err != nil {
		return poolowner.HandoverResponse{}, err
	}
	return decodeHandoverResponse(answer.GetHandover()), nil
}

// FetchRecords fetches the log entries from the given offset on from another VM. It does not set At and Sent. ViewAge is
// negative if the view of that VM was never complete.
func (cl *Client) FetchRecords(ctx context.Context, to azuretiller.VM, from azuretiller.Offset) (control.RecordsFetched, error) {
	answer, err := cl.transport.Call(ctx, to, &peerpb.Call{Kind: &peerpb.Call_Records{Records: &peerpb.RecordsRequest{From: uint64(from)}}})
	if err != nil {
		return control.RecordsFetched{}, err
	}
	m := answer.GetRecords()
	out := control.RecordsFetched{NextOffset: azuretiller.Offset(m.GetNext()), ViewAge: microseconds(m.GetAgeUs())}
	if m.GetAgeUs() < 0 {
		out.ViewAge = -1
	}
	for _, e := range m.GetEntries() {
		out.Entries = append(out.Entries, azuretiller.LogEntry{Offset: azuretiller.Offset(e.GetOffset()), Data: e.GetData()})
	}
	if len(m.GetCheckpoint()) == 0 {
		return out, nil
	}
	r, err := record.Decode(m.GetCheckpoint())
	if err != nil {
		return out, err
	}
	c, ok := r.Body.(record.Checkpoint)
	if !ok {
		return out, errors.Newf("records of %s: the checkpoint contains a record of another kind", to.ID)
	}
	out.Checkpoint = &c
	return out, nil
}
