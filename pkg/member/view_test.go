package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// TestChangeDoesNotDiscardPartsOfFullView guards against a VM that stays behind while the view keeps changing: a change arrives between
// the parts of the full view that the VM needs to catch up.
func TestChangeDoesNotDiscardPartsOfFullView(t *testing.T) {
	const servers = 300
	full := message.View{Term: 1, Version: 5}
	for i := range servers {
		full.Servers = append(full.Servers, message.Server{ID: azuretiller.InstanceID(fmt.Sprintf("i-%03d", i))})
	}
	parts := full.Split()
	require.Len(t, parts, 2)
	change := func(base, version uint64) message.View {
		return message.View{Term: 1, Base: base, Version: version, Parts: 1, Members: []message.Member{{VM: "new"}}}
	}
	for _, c := range []struct {
		name    string
		between message.View
	}{
		{"change of an earlier version", change(3, 4)},
		{"change to the same version", change(4, 5)},
		{"change of that version", change(5, 6)},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1, 0)
			m := New(now, azuretiller.VM{ID: "vm", Zone: "z", PeerAddress: "10.0.0.1:1"}, nil)
			for _, v := range []message.View{parts[0], c.between, parts[1]} {
				m.Receive(now, "10.0.0.2:1", 0, v)
			}
			assert.Len(t, m.View().Servers, servers)
			assert.Equal(t, full.Version, m.View().Version)
		})
	}
}

// TestLeavingVMIsNoConfigSource guards against configurations that are in force too late because a zone fetches them from a VM that is
// leaving, or that has no configuration itself.
func TestLeavingVMIsNoConfigSource(t *testing.T) {
	for _, c := range []struct {
		name                          string
		lowestReady, ready, selfReady bool
		want                          string
	}{
		{"all are ready", true, true, false, "10.0.0.1:1"},
		{"the lowest is not ready", false, true, false, "10.0.0.2:1"},
		{"none is ready", false, false, false, "10.0.0.1:1"},
		{"this VM is the lowest that is ready", false, false, true, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1, 0)
			m := New(now, azuretiller.VM{ID: "vm", Zone: "z", PeerAddress: "10.0.0.3:1"}, nil)
			m.SetReady(c.selfReady, 1)
			m.Receive(now, "10.0.0.9:1", 0, message.View{Term: 1, Version: 1, Parts: 1, Members: []message.Member{
				{VM: "a", Zone: "z", Peer: "10.0.0.1:1", Ready: c.lowestReady},
				{VM: "b", Zone: "z", Peer: "10.0.0.2:1", Ready: c.ready},
				{VM: "other", Zone: "y", Peer: "10.0.0.0:1", Ready: true},
				{VM: "vm", Zone: "z", Peer: "10.0.0.3:1", Ready: c.selfReady},
			}})
			assert.Equal(t, c.want, m.ConfigSource())
		})
	}
}

// TestConfigSourceIsStrongestVM guards against configurations that reach a zone late because all its VMs fetch them from a VM with little CPU
// capacity and a slow link.
func TestConfigSourceIsStrongestVM(t *testing.T) {
	now := time.Unix(1, 0)
	members := []message.Member{
		{VM: "weak", Zone: "z", Peer: "10.0.0.1:1", Ready: true, Power: 16},
		{VM: "strong", Zone: "z", Peer: "10.0.0.2:1", Ready: true, Power: 80},
		{VM: "strongest", Zone: "z", Peer: "10.0.0.3:1", Power: 320},
	}
	for peer, want := range map[string]string{"10.0.0.1:1": "10.0.0.2:1", "10.0.0.2:1": ""} {
		power := 16
		if want == "" {
			power = 80
		}
		m := New(now, azuretiller.VM{ID: "vm", Zone: "z", PeerAddress: peer, CPUPercent: power}, nil)
		m.SetReady(true, 1)
		m.Receive(now, "10.0.0.9:1", 0, message.View{Term: 1, Version: 1, Parts: 1, Members: members})
		assert.Equal(t, want, m.ConfigSource(), "from %s", peer)
	}
}

// TestRelaySendsFullViewAgain guards against a relay that ignores the request to send the view, since it has that version itself.
func TestRelaySendsFullViewAgain(t *testing.T) {
	now := time.Unix(1, 0)
	m := New(now, azuretiller.VM{ID: "relay", Zone: "z", PeerAddress: "10.0.0.1:1"}, nil)
	view := message.View{Term: 1, Version: 3, Parts: 1, Members: []message.Member{
		{VM: "other", Zone: "y", Peer: "10.0.0.2:1", Ready: true},
		{VM: "relay", Zone: "z", Peer: "10.0.0.1:1", Ready: true},
		{VM: "vm", Zone: "z", Peer: "10.0.0.3:1", Ready: true},
	}, Servers: []message.Server{{ID: "s"}}}
	m.Receive(now, "10.0.0.9:1", 0, view)
	for version, want := range map[uint64][]Effect{
		2: nil,
		3: {Send{To: "10.0.0.3:1", Message: message.Envelope{Body: view}}},
		4: nil,
	} {
		got := m.Receive(now, "10.0.0.9:1", 0, message.View{Term: 1, Version: version, Base: version, Parts: 1, Relay: true})
		assert.Equal(t, want, got, "version %d", version)
	}
	assert.Equal(t, uint64(3), m.View().Version)
}
