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
func (n *Runtime) Open(ctx context.Context, to azuretiller.VM) (*wire.Stream, error) {
	if to.ID != n.self.ID {
		return n.mesh.Open(ctx, to)
	}
	clientConn, serverConn := net.Pipe()
	go n.serveLocal(wire.New(serverConn))
	return wire.New(clientConn), nil
}

func (n *Runtime) serveLocal(stream *wire.Stream) {
	defer func() { _ = stream.Close() }()
	open := &peerpb.Open{}
	if err := stream.Read(open); err != nil {
		return
	}
	n.ownedPools.Serve(n.ctx, wire.DecodeRequest(open.GetRequest()), stream)
}

// Call sends a call to a VM. A call to this VM itself is served without a connection.
func (n *Runtime) Call(ctx context.Context, to azuretiller.VM, call *peerpb.Call) (*peerpb.Answer, error) {
	if to.ID == n.self.ID {
		return n.ServeCall(ctx, n.self.ID, call), nil
	}
	return n.mesh.Call(ctx, to, call)
}

// ServeRequest runs a request that another VM sent.
func (n *Runtime) ServeRequest(ctx context.Context, _ azuretiller.VMID, r forward.Request, stream *wire.Stream) {
	n.ownedPools.Serve(ctx, r, stream)
}

// ServeCall answers a call of another VM.
func (n *Runtime) ServeCall(ctx context.Context, from azuretiller.VMID, call *peerpb.Call) *peerpb.Answer {
	switch kind := call.GetKind().(type) {
	case *peerpb.Call_Heartbeat:
		return n.serveHeartbeat(ctx, kind.Heartbeat)
	case *peerpb.Call_Ping:
		return n.servePing(ctx, azuretiller.VMID(kind.Ping.GetTarget()))
	case *peerpb.Call_Records:
		return n.serveRecords(ctx, azuretiller.Offset(kind.Records.GetFrom()))
	case *peerpb.Call_Draw:
		response := n.drawTokens(peers.DecodeDrawRequest(from, kind.Draw))
		return &peerpb.Answer{Kind: &peerpb.Answer_Draw{Draw: peers.EncodeDrawResponse(response)}}
	case *peerpb.Call_Reserve:
		return n.serveReserve(kind.Reserve)
	case *peerpb.Call_Finish:
		n.finishRequestID(peers.DecodeFinish(kind.Finish))
		return &peerpb.Answer{}
	case *peerpb.Call_Crash:
		n.ownedPools.RecordCrash(crash.Fingerprint(kind.Crash.GetFingerprint()), azuretiller.ServerID(kind.Crash.GetServer()))
		return &peerpb.Answer{}
	case *peerpb.Call_Handover:
		answer := n.ownedPools.HandOver(peers.DecodeHandoverRequest(kind.Handover))
		return &peerpb.Answer{Kind: &peerpb.Answer_Handover{Handover: peers.EncodeHandoverResponse(answer)}}
	default:
		return &peerpb.Answer{Error: "unknown call"}
	}
}

func (n *Runtime) serveHeartbeat(ctx context.Context, m *peerpb.Heartbeat) *peerpb.Answer {
	var heartbeat control.Heartbeat
	ok := n.runInControl(ctx, func(s *control.State) {
		now := n.common.Clock.Now()
		n.reduce(n.ctx, control.HeartbeatReceived{At: now, Heartbeat: peers.DecodeHeartbeat(m)})
		heartbeat = s.Heartbeat(now)
	})
	if !ok {
		return &peerpb.Answer{Error: "stopping"}
	}
	return &peerpb.Answer{Kind: &peerpb.Answer_Heartbeat{Heartbeat: peers.EncodeHeartbeat(heartbeat)}}
}

// servePing answers a ping of this VM; if the target is another VM, it pings that VM on behalf of the sender.
func (n *Runtime) servePing(ctx context.Context, target azuretiller.VMID) *peerpb.Answer {
	answer := &peerpb.PingAnswer{Heard: true, Incarnation: uint64(n.self.Incarnation)}
	if target != "" && target != n.self.ID {
		answer = n.relayPing(ctx, target)
	}
	return &peerpb.Answer{Kind: &peerpb.Answer_Ping{Ping: answer}}
}

func (n *Runtime) relayPing(ctx context.Context, target azuretiller.VMID) *peerpb.PingAnswer {
	vm, ok := n.Snapshot().Member(target)
	if !ok {
		return &peerpb.PingAnswer{}
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	heard, incarnation, err := n.peers.Ping(ctx, vm, "")
	return &peerpb.PingAnswer{Heard: err == nil && heard, Incarnation: uint64(incarnation)}
}

func (n *Runtime) serveRecords(ctx context.Context, from azuretiller.Offset) *peerpb.Answer {
	out := &peerpb.RecordsAnswer{}
	ok := n.runInControl(ctx, func(s *control.State) {
		out.AgeUs = s.ViewAge(n.common.Clock.Now()).Microseconds()
		if s.ViewAge(n.common.Clock.Now()) < 0 {
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

func (n *Runtime) drawTokens(d rateshare.DrawRequest) rateshare.DrawResponse {
	s := n.Snapshot()
	n.ratesMu.Lock()
	defer n.ratesMu.Unlock()
	now := n.common.Clock.Now()
	member, ok := s.Member(n.self.ID)
	// A VM that a later incarnation has replaced in the roster must not grant tokens.
	mayGrant := ok && member.Incarnation == n.self.Incarnation && s.Current(now)
	return n.rates.Draw(d, mayGrant, now)
}

func (n *Runtime) serveReserve(m *peerpb.ReserveRequest) *peerpb.Answer {
	key := idempotency.Key{Team: azuretiller.TeamID(m.GetTeam()), ID: azuretiller.RequestID(m.GetId())}
	n.idsMu.Lock()
	state, response, age := n.ids.Reserve(key, m.GetOwner(), m.GetFingerprint(), n.common.Clock.Now())
	n.idsMu.Unlock()
	r := peers.Reservation{State: state, Answer: response, CompleteFor: age}
	return &peerpb.Answer{Kind: &peerpb.Answer_Reserve{Reserve: peers.EncodeReservation(r)}}
}

func (n *Runtime) finishRequestID(key idempotency.Key, owner string, response idempotency.Response) {
	n.idsMu.Lock()
	defer n.idsMu.Unlock()
	if response.Code.Outcome() == azuretiller.NotRun {
		n.ids.Release(key, owner)
		return
	}
	n.ids.Finish(key, owner, response, n.common.Clock.Now())
}

// ReportCrash reports a crash to the VMs that own the service's other pools and waits until each has answered or timed out.
func (n *Runtime) ReportCrash(service azuretiller.ServiceID, f crash.Fingerprint, server azuretiller.ServerID) {
	s := n.Snapshot()
	notified := map[azuretiller.VMID]bool{n.self.ID: true}
	var group sync.WaitGroup
	defer group.Wait()
	for _, p := range s.Topology[service] {
		if p.Owner.ID == "" || notified[p.Owner.ID] {
			continue
		}
		notified[p.Owner.ID] = true
		group.Go(func() { n.sendCrashReport(p.Owner, f, server) })
	}
}

func (n *Runtime) sendCrashReport(to azuretiller.VM, f crash.Fingerprint, server azuretiller.ServerID) {
	ctx, cancel := context.WithTimeout(n.ctx, pingTimeout)
	defer cancel()
	if err := n.peers.ReportCrash(ctx, to, f, server); err != nil {
		n.common.Log.WithField("vm", to.ID).WithField("error", err).Debug("crash report not delivered")
	}
}

// Handover asks the previous owner of a pool to hand it over; this VM owns the pool as of the given version.
func (n *Runtime) Handover(ctx context.Context, from azuretiller.VM, id azuretiller.PoolID, version azuretiller.Revision) (poolowner.HandoverResponse, error) {
	return n.peers.Handover(ctx, from, id, version)
}
