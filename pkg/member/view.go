package member

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller/pkg/message"
)

func (m *Member) viewVersion() uint64 {
	if m.view.Term != m.term {
		return 0
	}
	return m.view.Version
}

// Peers returns the host:port of the VMs that views contained within peerRetention, in order.
func (m *Member) Peers() []string { return slices.Sorted(maps.Keys(m.peers)) }

// FleetSize returns the number of VMs that this one knows of, including itself. It may exceed the members of the newest view.
func (m *Member) FleetSize() int {
	size := len(m.peers)
	if _, ok := m.peers[m.self.PeerAddress]; !ok {
		size++
	}
	return size
}

// otherPeers returns Peers and the seeds without this VM.
func (m *Member) otherPeers() []string {
	others := slices.Concat(m.Peers(), m.seeds)
	slices.Sort(others)
	return slices.DeleteFunc(slices.Compact(others), func(peer string) bool { return peer == m.self.PeerAddress })
}

func (m *Member) recordPeers(now time.Time) {
	for _, other := range m.view.Members {
		m.peers[other.Peer] = now
	}
}

// expirePeers removes the VMs that no view has contained for peerRetention.
func (m *Member) expirePeers(now time.Time) {
	m.recordPeers(now)
	maps.DeleteFunc(m.peers, func(_ string, lastSeen time.Time) bool { return now.Sub(lastSeen) > peerRetention })
}

// receiveView collects the parts of a newer view or change. When it is complete, receiveView relays it if the leader asked for that, and
// applies it. A change to a version that this VM does not have is relayed but not applied.
func (m *Member) receiveView(now time.Time, v message.View) []Effect {
	if v.Base != 0 && v.Base == v.Version {
		if v.Relay && v.Term == m.view.Term && v.Version == m.view.Version {
			return m.relayView(m.view)
		}
		return nil
	}
	if v.Term < m.view.Term || v.Term == m.view.Term && v.Version <= m.view.Version {
		return nil
	}
	pending := &m.pendingFull
	if v.Base != 0 {
		pending = &m.pendingChange
	}
	full, complete := pending.add(v)
	if !complete {
		return nil
	}
	var effects []Effect
	if full.Relay {
		effects = m.relayView(full)
	}
	m.viewConfirmedAt = now
	switch {
	case full.Base == 0:
		m.view = message.View{}.Apply(full)
	case full.Term == m.view.Term && full.Base == m.view.Version:
		m.view = m.view.Apply(full)
	}
	m.recordPeers(now)
	return effects
}

// relayView sends a view to the other VMs of the zone: those in a full view, or those in the current view if v is a change.
func (m *Member) relayView(v message.View) []Effect {
	v.Relay = false
	parts := v.Split()
	membership := m.view
	if v.Base == 0 {
		membership = v
	}
	var effects []Effect
	for _, other := range membership.Members {
		if other.Zone != m.self.Zone || other.Peer == m.self.PeerAddress {
			continue
		}
		for _, part := range parts {
			effects = append(effects, Send{To: other.Peer, Message: message.Envelope{Body: part}})
		}
	}
	return effects
}

// ConfigSource returns the host:port of the VM that the others of the zone ask first for a configuration: a ready one, if there is any, with the
// most CPU capacity, as many VMs ask it at the same time. It is empty for that VM itself.
func (m *Member) ConfigSource() string {
	source := message.Member{Peer: m.self.PeerAddress, Ready: m.ready && !m.leaving, Power: m.self.CPUPercent}
	for _, other := range m.view.Members {
		if other.Zone == m.self.Zone && other.Peer != m.self.PeerAddress && compareSources(other, source) < 0 {
			source = other
		}
	}
	if source.Peer == m.self.PeerAddress {
		return ""
	}
	return source.Peer
}

// compareSources orders VMs by how well they are suited as the configuration source of their zone, the best first.
func compareSources(a, b message.Member) int {
	if a.Ready != b.Ready {
		if a.Ready {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Power, a.Power), cmp.Compare(a.Peer, b.Peer))
}
