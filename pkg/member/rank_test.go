package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// TestWeakVMWithSmallViewRanksBehindStrongerOnes guards against a VM with little CPU capacity that becomes the leader of hundreds, which it
// cannot answer in time: its view holds few of them, but the former leader told it how many stronger ones there are.
func TestWeakVMWithSmallViewRanksBehindStrongerOnes(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	m := New(now, azuretiller.VM{ID: "weak", Zone: "z", PeerAddress: "10.0.0.1:1", CPUPercent: 16}, nil)
	answer := message.HeartbeatResponse{Term: 1, IsLeader: true, Leader: "l", LeaderAddress: "10.0.0.9:1", Stamp: time.Second, StrongerVMs: 18}
	m.Receive(now, "10.0.0.9:1", 0, answer)
	m.Receive(now, "10.0.0.9:1", 0, answer)
	m.Receive(now, "10.0.0.9:1", 0, message.View{Term: 1, Version: 1, Parts: 1, Members: []message.Member{
		{VM: "weak", Zone: "z", Peer: "10.0.0.1:1", Ready: true, Power: 16},
		{VM: "l", Zone: "z", Peer: "10.0.0.9:1", Ready: true, Power: 80},
	}})
	assert.Equal(t, 18, m.candidateRank())
	m.Receive(now, "10.0.0.9:1", 0, message.HeartbeatResponse{Term: 1, IsLeader: true, Leader: "l", LeaderAddress: "10.0.0.9:1", ConfigRevision: 1})
	assert.Equal(t, 18, m.candidateRank(), "after an announcement, which does not answer a heartbeat")
}
