package fleetwire

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/message"
)

func TestRoundTripKeepsEveryField(t *testing.T) {
	last := message.Report{Ticket: 1, Result: message.Shed, Took: 3 * time.Millisecond, Bytes: 9, Server: "i", Term: 2, Leaving: true, PauseFor: time.Second, Incarnation: 8}
	for _, body := range []any{
		message.Heartbeat{VM: "v", Incarnation: 1, Zone: "z", CallerAddress: "c", ResolveAddress: "a", Ready: true, Leaving: true, CPUPercent: 32, Term: 2, ViewVersion: 3, ConfigRevision: 4,
			SentAt: 5 * time.Second, Stamp: 6 * time.Millisecond, Share: 7, Pledges: []message.Pledge{{Term: 1, Remaining: time.Second}}},
		message.HeartbeatResponse{Term: 1, IsLeader: true, Leader: "l", LeaderAddress: "a", ConfigRevision: 5, LeaderResigned: true, StaticFieldsKnown: true,
			Stamp: time.Second, SentAt: 2 * time.Second, Share: 3, ShareRenewed: true, ShareOffset: 4, StrongerVMs: 5},
		message.HandOver{Term: 3, Tokens: map[azuretiller.TeamID]azuretiller.Millitokens{"t": 1500}},
		message.VoteRequest{Term: 7},
		message.Vote{Term: 7, LeaderReachable: true, Leader: "l", LeaderAddress: "a", Share: 8},
		message.PlaceRequest{
			Request: "r", Route: "x", Team: "t", Backends: []config.Backend{{Service: "s", Weight: 3}}, Timeout: time.Second, SoftTimeout: 2 * time.Second,
			Priority: 4, Idempotent: true, Attempt: 2, Tried: []azuretiller.InstanceID{"i"}, Fingerprint: 9, LastReport: &last, Term: 1, Hedge: true,
		},
		message.PlaceResponse{Ticket: 1, Server: "i", Address: "a", Service: "s", Code: azuretiller.CodeOverloaded, RetryAfter: time.Second, Queued: true, Term: 3, Incarnation: 5},
		last,
		message.ReportAck{Term: 4},
		message.View{
			Term: 1, Version: 2, Relay: true, Part: 1, Parts: 3, Base: 1,
			RemovedMembers: []azuretiller.VMID{"w"}, RemovedServers: []azuretiller.InstanceID{"j"},
			Members: []message.Member{{VM: "v", Zone: "z", Callers: "c", Peer: "p", Ready: true, Power: 32}},
			Servers: []message.Server{{ID: "i", Service: "s", Address: "a", Zone: "z", Slots: 3, Closed: true, Success: 70, Incarnation: 6}},
		},
	} {
		data, err := Encode(message.Envelope{Call: 12, Body: body})
		require.NoError(t, err)
		e, err := Decode(data)
		require.NoError(t, err)
		assert.Equal(t, message.Envelope{Call: 12, Body: body}, e)
	}
}

// TestPartsWithLongNamesFitDatagrams guards against views that reach no VM, as one of their parts is too large for a datagram.
func TestPartsWithLongNamesFitDatagrams(t *testing.T) {
	const maxDatagramBytes = 65507
	long := func(i int) string { return fmt.Sprintf("%0255d", i) }
	v := message.View{Term: 1, Version: 2, Base: 1}
	for i := range 600 {
		v.Members = append(v.Members, message.Member{VM: azuretiller.VMID(long(i)), Zone: azuretiller.Zone(long(i)), Callers: long(i), Peer: long(i), Ready: true, Power: 100})
		v.Servers = append(v.Servers, message.Server{
			ID: azuretiller.InstanceID(long(i)), Service: azuretiller.ServiceID(long(i)), Address: long(i), Zone: azuretiller.Zone(long(i)), Slots: 1_000_000, Closed: true, Success: 100,
		})
		v.RemovedMembers = append(v.RemovedMembers, azuretiller.VMID(long(i)))
		v.RemovedServers = append(v.RemovedServers, azuretiller.InstanceID(long(i)))
	}
	received := map[int]message.View{}
	for _, part := range v.Split() {
		data, err := Encode(message.Envelope{Call: 1, Body: part})
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), maxDatagramBytes)
		e, err := Decode(data)
		require.NoError(t, err)
		received[part.Part] = e.Body.(message.View)
	}
	joined, complete := message.JoinViews(received)
	require.True(t, complete)
	assert.Equal(t, v, joined)
}

func TestInvalidMessagesAndDatagramsAreRejected(t *testing.T) {
	_, err := Encode(message.Envelope{Body: "text"})
	require.Error(t, err)
	for _, data := range [][]byte{nil, {0xff}, {0x08, 0x01}} {
		_, err := Decode(data)
		require.Error(t, err)
	}
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(message.Envelope{Call: 1, Body: message.ReportAck{Term: 4}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Encode(e); err != nil {
			t.Fatal(err)
		}
	})
}
