package peers

import (
	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/peerpb"
	"github.com/azuretiller/azuretiller/pkg/pool"
	"github.com/azuretiller/azuretiller/pkg/poolowner"
)

func encodeHandoverRequest(id azuretiller.PoolID, version azuretiller.Revision) *peerpb.HandoverRequest {
	return &peerpb.HandoverRequest{
		Service: string(id.Service),
		Zone:    string(id.Zone),
		Pool:    uint32(id.Index),
		Version: uint64(version),
	}
}

// DecodeHandoverRequest returns the pool in a handover request and the version as of which the sender owns it.
func DecodeHandoverRequest(m *peerpb.HandoverRequest) (azuretiller.PoolID, azuretiller.Revision) {
	id := azuretiller.PoolID{
		Service: azuretiller.ServiceID(m.GetService()),
		Zone:    azuretiller.Zone(m.GetZone()),
		Index:   int(m.GetPool()),
	}
	return id, azuretiller.Revision(m.GetVersion())
}

// EncodeHandoverResponse converts the response of a pool's former owner to its protobuf message.
func EncodeHandoverResponse(r poolowner.HandoverResponse) *peerpb.HandoverAnswer {
	m := &peerpb.HandoverAnswer{State: uint32(r.State)}
	for _, s := range r.ServerStates.Servers {
		m.Servers = append(m.Servers, &peerpb.ServerState{
			Server:    string(s.Server),
			Limit:     uint32(s.Limit),
			Busy:      uint32(s.Busy),
			Out:       s.OutOfService,
			Reason:    s.Reason,
			OutForUs:  s.EjectionLeft.Microseconds(),
			Ejections: uint32(s.Ejections),
			Suspicion: s.Suspicion,
		})
	}
	return m
}

func decodeHandoverResponse(m *peerpb.HandoverAnswer) poolowner.HandoverResponse {
	r := poolowner.HandoverResponse{State: poolowner.HandoverState(m.GetState())}
	for _, s := range m.GetServers() {
		r.ServerStates.Servers = append(r.ServerStates.Servers, pool.ServerState{
			Server:       azuretiller.ServerID(s.GetServer()),
			Limit:        int(s.GetLimit()),
			Busy:         int(s.GetBusy()),
			OutOfService: s.GetOut(),
			Reason:       s.GetReason(),
			EjectionLeft: microseconds(s.GetOutForUs()),
			Ejections:    int(s.GetEjections()),
			Suspicion:    s.GetSuspicion(),
		})
	}
	return r
}
