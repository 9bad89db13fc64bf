package fleetwire

import (
	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/fleetpb"
	"github.com/azuretiller/azuretiller/pkg/message"
)

func encodeView(v message.View) *fleetpb.View {
	p := &fleetpb.View{Term: uint64(v.Term), Version: v.Version, Relay: v.Relay, Part: uint32(v.Part), Parts: uint32(v.Parts), Base: v.Base}
	for _, id := range v.RemovedMembers {
		p.GoneMembers = append(p.GoneMembers, string(id))
	}
	for _, id := range v.RemovedServers {
		p.GoneServers = append(p.GoneServers, string(id))
	}
	for _, m := range v.Members {
		p.Members = append(p.Members, &fleetpb.Member{
			Vm:      string(m.VM),
			Zone:    string(m.Zone),
			Callers: m.Callers,
			Peer:    m.Peer,
			Ready:   m.Ready,
			Power:   uint32(m.Power),
		})
	}
	for _, s := range v.Servers {
		p.Servers = append(p.Servers, &fleetpb.Server{
			Id:          string(s.ID),
			Service:     string(s.Service),
			Address:     s.Address,
			Zone:        string(s.Zone),
			Slots:       uint32(s.Slots),
			Closed:      s.Closed,
			Success:     uint32(s.Success),
			Incarnation: s.Incarnation,
			Rollout:     uint32(s.Rollout),
		})
	}
	return p
}

func decodeView(p *fleetpb.View) message.View {
	v := message.View{Term: azuretiller.Term(p.GetTerm()), Version: p.GetVersion(), Relay: p.GetRelay(), Part: int(p.GetPart()), Parts: int(p.GetParts()), Base: p.GetBase()}
	for _, id := range p.GetGoneMembers() {
		v.RemovedMembers = append(v.RemovedMembers, azuretiller.VMID(id))
	}
	for _, id := range p.GetGoneServers() {
		v.RemovedServers = append(v.RemovedServers, azuretiller.InstanceID(id))
	}
	for _, m := range p.GetMembers() {
		v.Members = append(v.Members, message.Member{
			VM:      azuretiller.VMID(m.GetVm()),
			Zone:    azuretiller.Zone(m.GetZone()),
			Callers: m.GetCallers(),
			Peer:    m.GetPeer(),
			Ready:   m.GetReady(),
			Power:   int(m.GetPower()),
		})
	}
	for _, s := range p.GetServers() {
		v.Servers = append(v.Servers, message.Server{
			ID:          azuretiller.InstanceID(s.GetId()),
			Service:     azuretiller.ServiceID(s.GetService()),
			Address:     s.GetAddress(),
			Zone:        azuretiller.Zone(s.GetZone()),
			Slots:       int(s.GetSlots()),
			Closed:      s.GetClosed(),
			Success:     int(s.GetSuccess()),
			Incarnation: s.GetIncarnation(),
			Rollout:     message.RolloutUse(s.GetRollout()),
		})
	}
	return v
}
