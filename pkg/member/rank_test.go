package member

import (
	"slices"
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

// TestVMWithoutVotesDoesNotDeposeLeader guards against a VM that deposes a leader which all others reach, since it is too slow for a moment to
// receive the leader's answers and the votes of the others.
func TestVMWithoutVotesDoesNotDeposeLeader(t *testing.T) {
	f := newFleet(t, 36, 8)
	f.schedule.Run(2 * time.Second)
	term := f.activeLeaders()[0].leader.Term()
	slow := f.vms[slices.IndexFunc(f.vms, func(v *vm) bool { return v.leader == nil && v.member.candidateRank() == 0 })]
	f.dropsLink = func(_, to int) bool { return to == slow.index }
	f.schedule.Run(1300 * time.Millisecond)
	f.dropsLink = func(int, int) bool { return false }
	f.schedule.Run(2 * time.Second)
	f.assertOneLeader("after the VM was slow")
	assert.Equal(t, term, f.activeLeaders()[0].leader.Term())
}
