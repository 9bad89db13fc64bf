package vmruntime

import (
	"context"
	"net"
	"sync"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/control"
	"github.com/azuretiller/azuretiller/pkg/crash"
	"github.com/azuretiller/azuretiller/pkg/forward"
	"github.com/azuretiller/azuretiller/pkg/idempotency"
	"github.com/azuretiller/azuretiller/pkg/peerpb"
	"github.com/azuretiller/azuretiller/pkg/peers"
	"github.com/azuretiller/azuretiller/pkg/poolowner"
	"github.com/azuretiller/azuretiller/pkg/rateshare"
	"github.com/azuretiller/azuretiller/pkg/record"
	"github.com/azuretiller/azuretiller/pkg/wire"
)

// Open opens a stream to the VM that owns a pool. If this VM owns the pool, the stream is an in-memory pipe.
func (rt *Runtime) Open(ctx context.Context, to azuretiller.VM) (*wire.Stream, error) {
	if to.ID != rt.self.ID {
		return rt.mesh.Open(ctx, to)
	}
	clientConn, serverConn := net.Pipe()
	go rt.serveLocal(wire.New(serverConn))
	return wire.New(clientConn), nil
}

func (rt *Runtime) serveLocal(stream *wire.Stream) {
	defer func() { _ = stream.Close() }()
	open := &peerpb.Open{}
	if err := stream.Read(open); err != nil {
		return
	}
	rt.ownedPools.Serve(rt.ctx, wire.DecodeRequest(open.GetRequest()), stream)
}

// Call sends a call to a VM. A call to this VM itself is served without a connection.
func (rt *Runtime) Call(ctx context.Context, to azuretiller.VM, call *peerpb.Call) (*peerpb.Answer, error) {
	if to.ID == rt.self.ID {
		return rt.ServeCall(ctx, rt.self.ID, call), nil
	}
	return rt.mesh.Call(ctx, to, call)
}

// ServeRequest runs a request that another VM sent.
func (rt *Runtime) ServeRequest(ctx context.Context, _ azuretiller.VMID, r forward.Request, stream *wire.Stream) {
	rt.ownedPools.Serve(ctx, r, stream)
}

// ServeCall answers a call of another VM.
func (rt *Runtime) ServeCall(ctx context.Context, from azuretiller.VMID, call *peerpb.Call) *peerpb.Answer {
	switch kind := call.GetKind().(type) {
	case *peerpb.Call_Heartbeat:
		return rt.serveHeartbeat(ctx, kind.Heartbeat)
	case *peerpb.Call_Ping:
		return rt.servePing(ctx, azuretiller.VMID(kind.Ping.GetTarget()))
	case *peerpb.Call_Records:
		return rt.serveRecords(ctx, azuretiller.Offset(kind.Records.GetFrom()))
	case *peerpb.Call_Draw:
		response := rt.drawTokens(peers.DecodeDrawRequest(from, kind.Draw))
		return &peerpb.Answer{Kind: &peerpb.Answer_Draw{Draw: peers.EncodeDrawResponse(response)}}
	case *peerpb.Call_Reserve:
		return rt.serveReserve(kind.Reserve)
	case *peerpb.Call_Finish:
		rt.finishRequestID(peers.DecodeFinish(kind.Finish))
		return &peerpb.Answer{}
	case *peerpb.Call_Crash:
		rt.ownedPools.RecordCrash(crash.Fingerprint(kind.Crash.GetFingerprint()), azuretiller.ServerID(kind.Crash.GetServer()))
		return &peerpb.Answer{}
	case *peerpb.Call_Handover:
		answer := rt.ownedPools.HandOver(peers.DecodeHandoverRequest(kind.Handover))
		return &peerpb.Answer{Kind: &peerpb.Answer_Handover{Handover: peers.EncodeHandoverResponse(answer)}}
	default:
		return &peerpb.Answer{Error: "unknown call"}
	}
}

func (rt *Runtime) serveHeartbeat(ctx context.Context, m *peerpb.Heartbeat) *peerpb.Answer {
	var heartbeat control.Heartbeat
	ok := rt.runInControl(ctx, func(s *control.State) {
		now := rt.common.Clock.Now()
		rt.reduce(rt.ctx, control.HeartbeatReceived{At: now, Heartbeat: peers.DecodeHeartbeat(m)})
		heartbeat = s.Heartbeat(now)
	})
	if !ok {
		return &peerpb.Answer{Error: "stopping"}
	}
	return &peerpb.Answer{Kind: &peerpb.Answer_Heartbeat{Heartbeat: peers.EncodeHeartbeat(heartbeat)}}
}

// servePing answers a ping of this VM; if the target is another VM, it pings that VM on behalf of the sender.
func (rt *Runtime) servePing(ctx context.Context, target azuretiller.VMID) *peerpb.Answer {
	answer := &peerpb.PingAnswer{Heard: true, Incarnation: uint64(rt.self.Incarnation)}
	if target != "" && target != rt.self.ID {
		answer = rt.relayPing(ctx, target)
	}
	return &peerpb.Answer{Kind: &peerpb.Answer_Ping{Ping: answer}}
}

func (rt *Runtime) relayPing(ctx context.Context, target azuretiller.VMID) *peerpb.PingAnswer {
	vm, ok := rt.Snapshot().Member(target)
	if !ok {
		return &peerpb.PingAnswer{}
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	heard, incarnation, err := rt.peers.Ping(ctx, vm, "")
	return &peerpb.PingAnswer{Heard: err == nil && heard, Incarnation: uint64(incarnation)}
}

func (rt *Runtime) serveRecords(ctx context.Context, from azuretiller.Offset) *peerpb.Answer {
	out := &peerpb.RecordsAnswer{}
	ok := rt.runInControl(ctx, func(s *control.State) {
		out.AgeUs = s.ViewAge(rt.common.Clock.Now()).Microseconds()
		if s.ViewAge(rt.common.Clock.Now()) < 0 {
			out.AgeUs = -1
		}
		out.Next = uint64(s.LogState().NextOffset())
		entries, available := s.EntriesFrom(from)
		if !available {
			c := s.LogState().Checkpoint()
			out.Checkpoint, _ = record.Encode(record.Record{ID: "checkpoint", Body: c})
			return
		}
		for _, e := range entries {
			out.Entries = append(out.Entries, &peerpb.LogEntry{Offset: uint64(e.Offset), Data: e.Data})
		}
	})
	if !ok {
		return &peerpb.Answer{Error: "stopping"}
	}
	return &peerpb.Answer{Kind: &peerpb.Answer_Records{Records: out}}
}

func (rt *Runtime) drawTokens(d rateshare.DrawRequest) rateshare.DrawResponse {
	s := rt.Snapshot()
	rt.ratesMu.Lock()
	defer rt.ratesMu.Unlock()
	now := rt.common.Clock.Now()
	member, ok := s.Member(rt.self.ID)
	// A VM that a later incarnation has replaced in the roster must not grant tokens.
	mayGrant := ok && member.Incarnation == rt.self.Incarnation && s.Current(now)
	return rt.rates.Draw(d, mayGrant, now)
}

func (rt *Runtime) serveReserve(m *peerpb.ReserveRequest) *peerpb.Answer {
	key := idempotency.Key{Team: azuretiller.TeamID(m.GetTeam()), ID: azuretiller.RequestID(m.GetId())}
	rt.idsMu.Lock()
	state, response, age := rt.ids.Reserve(key, m.GetOwner(), m.GetFingerprint(), rt.common.Clock.Now())
	rt.idsMu.Unlock()
	r := peers.Reservation{State: state, Response: response, CompleteFor: age}
	return &peerpb.Answer{Kind: &peerpb.Answer_Reserve{Reserve: peers.EncodeReservation(r)}}
}

func (rt *Runtime) finishRequestID(key idempotency.Key, owner string, response idempotency.Response) {
	rt.idsMu.Lock()
	defer rt.idsMu.Unlock()
	if response.Code.Outcome() == azuretiller.NotRun {
		rt.ids.Release(key, owner)
		return
	}
	rt.ids.Finish(key, owner, response, rt.common.Clock.Now())
}

// ReportCrash reports a crash to the VMs that own the service's other pools and waits until each has answered or timed out.
func (rt *Runtime) ReportCrash(service azuretiller.ServiceID, f crash.Fingerprint, server azuretiller.ServerID) {
	s := rt.Snapshot()
	notified := map[azuretiller.VMID]bool{rt.self.ID: true}
	var group sync.WaitGroup
	defer group.Wait()
	for _, p := range s.Topology[service] {
		if p.Owner.ID == "" || notified[p.Owner.ID] {
			continue
		}
		notified[p.Owner.ID] = true
		group.Go(func() { rt.sendCrashReport(p.Owner, f, server) })
	}
}

func (rt *Runtime) sendCrashReport(to azuretiller.VM, f crash.Fingerprint, server azuretiller.ServerID) {
	ctx, cancel := context.WithTimeout(rt.ctx, pingTimeout)
	defer cancel()
	if err := rt.peers.ReportCrash(ctx, to, f, server); err != nil {
		rt.common.Log.WithField("vm", to.ID).WithField("error", err).Debug("crash report not delivered")
	}
}

// Handover asks the previous owner of a pool to hand it over; this VM owns the pool as of the given version.
func (rt *Runtime) Handover(ctx context.Context, from azuretiller.VM, id azuretiller.PoolID, version azuretiller.Revision) (poolowner.HandoverResponse, error) {
	return rt.peers.Handover(ctx, from, id, version)
}
