package node

import (
	"context"
	"net"
	"sync"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/control"
	"github.com/azuretiller/azuretiller/pkg/crash"
	"github.com/azuretiller/azuretiller/pkg/exchange"
	"github.com/azuretiller/azuretiller/pkg/once"
	"github.com/azuretiller/azuretiller/pkg/peerpb"
	"github.com/azuretiller/azuretiller/pkg/peers"
	"github.com/azuretiller/azuretiller/pkg/poolhome"
	"github.com/azuretiller/azuretiller/pkg/ratehome"
	"github.com/azuretiller/azuretiller/pkg/record"
	"github.com/azuretiller/azuretiller/pkg/wire"
)

// Open opens a stream to the home of a pool; this VM's own home is reached without a connection.
func (n *Node) Open(ctx context.Context, to azuretiller.VM) (*wire.Stream, error) {
	if to.ID != n.self.ID {
		return n.mesh.Open(ctx, to)
	}
	near, far := net.Pipe()
	go n.serveLocal(wire.New(far))
	return wire.New(near), nil
}

func (n *Node) serveLocal(stream *wire.Stream) {
	defer func() { _ = stream.Close() }()
	open := &peerpb.Open{}
	if err := stream.Read(open); err != nil {
		return
	}
	n.home.Serve(n.ctx, wire.DecodeRequest(open.GetRequest()), stream)
}

// Call sends a call to a VM; one to this VM itself needs no connection.
func (n *Node) Call(ctx context.Context, to azuretiller.VM, call *peerpb.Call) (*peerpb.Answer, error) {
	if to.ID == n.self.ID {
		return n.ServeCall(ctx, n.self.ID, call), nil
	}
	return n.mesh.Call(ctx, to, call)
}

// ServeRequest runs a request that another VM sent.
func (n *Node) ServeRequest(ctx context.Context, _ azuretiller.VMID, r exchange.Request, stream *wire.Stream) {
	n.home.Serve(ctx, r, stream)
}

// ServeCall answers a call of another VM.
func (n *Node) ServeCall(ctx context.Context, from azuretiller.VMID, call *peerpb.Call) *peerpb.Answer {
	switch kind := call.GetKind().(type) {
	case *peerpb.Call_Heartbeat:
		return n.serveBeat(ctx, kind.Heartbeat)
	case *peerpb.Call_Ping:
		return n.servePing(ctx, azuretiller.VMID(kind.Ping.GetTarget()))
	case *peerpb.Call_Records:
		return n.serveRecords(ctx, azuretiller.Offset(kind.Records.GetFrom()))
	case *peerpb.Call_Draw:
		grant := n.draw(peers.DecodeDraw(from, kind.Draw))
		return &peerpb.Answer{Kind: &peerpb.Answer_Draw{Draw: peers.EncodeGrant(grant)}}
	case *peerpb.Call_Reserve:
		return n.serveReserve(kind.Reserve)
	case *peerpb.Call_Finish:
		n.finish(peers.DecodeFinish(kind.Finish))
		return &peerpb.Answer{}
	case *peerpb.Call_Crash:
		n.home.Crashed(crash.Fingerprint(kind.Crash.GetFingerprint()), azuretiller.ServerID(kind.Crash.GetServer()))
		return &peerpb.Answer{}
	case *peerpb.Call_Handover:
		answer := n.home.Handover(peers.DecodeHandoverRequest(kind.Handover))
		return &peerpb.Answer{Kind: &peerpb.Answer_Handover{Handover: peers.EncodeHandover(answer)}}
	default:
		return &peerpb.Answer{Error: "unknown call"}
	}
}

func (n *Node) serveBeat(ctx context.Context, m *peerpb.Heartbeat) *peerpb.Answer {
	var beat control.Beat
	ok := n.ask(ctx, func(s *control.State) {
		now := n.common.Clock.Now()
		n.reduce(n.ctx, control.BeatReceived{At: now, Beat: peers.DecodeBeat(m)})
		beat = s.Beat(now)
	})
	if !ok {
		return &peerpb.Answer{Error: "stopping"}
	}
	return &peerpb.Answer{Kind: &peerpb.Answer_Heartbeat{Heartbeat: peers.EncodeBeat(beat)}}
}

// servePing answers for this VM, or asks another one on behalf of the caller.
func (n *Node) servePing(ctx context.Context, target azuretiller.VMID) *peerpb.Answer {
	answer := &peerpb.PingAnswer{Heard: true, Incarnation: uint64(n.self.Incarnation)}
	if target != "" && target != n.self.ID {
		answer = n.pingOther(ctx, target)
	}
	return &peerpb.Answer{Kind: &peerpb.Answer_Ping{Ping: answer}}
}

func (n *Node) pingOther(ctx context.Context, target azuretiller.VMID) *peerpb.PingAnswer {
	vm, ok := n.Snapshot().Member(target)
	if !ok {
		return &peerpb.PingAnswer{}
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	heard, incarnation, err := n.peers.Ping(ctx, vm, "")
	return &peerpb.PingAnswer{Heard: err == nil && heard, Incarnation: uint64(incarnation)}
}

func (n *Node) serveRecords(ctx context.Context, from azuretiller.Offset) *peerpb.Answer {
	out := &peerpb.RecordsAnswer{}
	ok := n.ask(ctx, func(s *control.State) {
		out.AgeUs = s.Age(n.common.Clock.Now()).Microseconds()
		if s.Age(n.common.Clock.Now()) < 0 {
			out.AgeUs = -1
		}
		out.Next = uint64(s.Journal().Next())
		entries, held := s.EntriesFrom(from)
		if !held {
			c := s.Journal().Checkpoint()
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

func (n *Node) draw(d ratehome.Draw) ratehome.Grant {
	s := n.Snapshot()
	n.rateMu.Lock()
	defer n.rateMu.Unlock()
	now := n.common.Clock.Now()
	member, ok := s.Member(n.self.ID)
	// A VM whose place in the roster was taken by a later incarnation holds nothing any more.
	holds := ok && member.Incarnation == n.self.Incarnation && s.Current(now)
	return n.rates.Draw(d, holds, now)
}

func (n *Node) serveReserve(m *peerpb.ReserveRequest) *peerpb.Answer {
	key := once.Key{Team: azuretiller.TeamID(m.GetTeam()), ID: azuretiller.RequestID(m.GetId())}
	n.onceMu.Lock()
	state, answer, age := n.ids.Reserve(key, m.GetOwner(), m.GetFingerprint(), n.common.Clock.Now())
	n.onceMu.Unlock()
	r := peers.Reservation{State: state, Answer: answer, Age: age}
	return &peerpb.Answer{Kind: &peerpb.Answer_Reserve{Reserve: peers.EncodeReservation(r)}}
}

func (n *Node) finish(key once.Key, owner string, answer once.Answer) {
	n.onceMu.Lock()
	defer n.onceMu.Unlock()
	if answer.Code.Outcome() == azuretiller.NotRun {
		n.ids.Release(key, owner)
		return
	}
	n.ids.Finish(key, owner, answer, n.common.Clock.Now())
}

// ReportCrash tells the homes of a service's other pools about a crash and waits for their answers, or a short while.
func (n *Node) ReportCrash(service azuretiller.ServiceID, f crash.Fingerprint, server azuretiller.ServerID) {
	s := n.Snapshot()
	told := map[azuretiller.VMID]bool{n.self.ID: true}
	var group sync.WaitGroup
	defer group.Wait()
	for _, p := range s.Topology[service] {
		if p.Home.ID == "" || told[p.Home.ID] {
			continue
		}
		told[p.Home.ID] = true
		group.Go(func() { n.tellCrash(p.Home, f, server) })
	}
}

func (n *Node) tellCrash(to azuretiller.VM, f crash.Fingerprint, server azuretiller.ServerID) {
	ctx, cancel := context.WithTimeout(n.ctx, pingTimeout)
	defer cancel()
	if err := n.peers.Crash(ctx, to, f, server); err != nil {
		n.common.Log.WithField("vm", to.ID).WithField("error", err).Debug("crash not reported")
	}
}

// Handover asks a VM for a pool that this VM decides for since a version.
func (n *Node) Handover(ctx context.Context, from azuretiller.VM, id azuretiller.PoolID, version azuretiller.Revision) (poolhome.Handover, error) {
	return n.peers.Handover(ctx, from, id, version)
}
