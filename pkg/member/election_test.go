package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/message"
)

func TestLeaderIsElectedAndReplaced(t *testing.T) {
	f := newFleet(t, 36, 1)
	f.schedule.Run(time.Second)
	f.assertOneLeader("after the start")
	f.schedule.Run(time.Second)
	first := f.activeLeaders()[0]
	f.kill(first)
	f.schedule.Run(1500 * time.Millisecond)
	f.assertOneLeader("after the loss of the leader")
	assert.Len(t, f.activeLeaders()[0].member.View().Members, 35)
	f.start(first)
	f.schedule.Run(time.Second)
	f.assertOneLeader("after the return of the former leader")
}

func TestAllVMsRestartAtOnce(t *testing.T) {
	f := newFleet(t, 36, 2)
	f.schedule.Run(2 * time.Second)
	for _, v := range f.vms {
		f.kill(v)
	}
	f.schedule.Run(500 * time.Millisecond)
	for _, v := range f.vms {
		f.start(v)
	}
	f.schedule.Run(300 * time.Millisecond)
	f.assertOneLeader("0.3 s after all VMs restarted")
}

// TestLeaderWithoutStoreIsReplaced guards against a failover that waits for candidates without access to the store. The store
// answers neither the leader nor the early candidates; another VM must lead soon enough for a configuration to be in force
// within 2 s.
func TestLeaderWithoutStoreIsReplaced(t *testing.T) {
	f := newFleet(t, 36, 3)
	f.schedule.Run(2 * time.Second)
	old := f.activeLeaders()[0]
	old.storeSilent = true
	for _, v := range f.vms {
		if v != old && v.member.candidateRank() < earlyCandidates {
			v.storeSilent = true
		}
	}
	f.schedule.Run(resignAfter + 700*time.Millisecond)
	leaders := f.activeLeaders()
	require.Len(t, leaders, 1)
	assert.NotEqual(t, old, leaders[0])
	assert.False(t, leaders[0].storeSilent)
}

func TestMinorityCutOffFromLeaderDoesNotTakeOver(t *testing.T) {
	f := newFleet(t, 36, 4)
	f.schedule.Run(2 * time.Second)
	old := f.activeLeaders()[0]
	term := old.leader.Term()
	f.dropsLink = func(from, to int) bool {
		cutOff := func(i int) bool { return i != old.index && i%9 == 0 }
		return from == old.index && cutOff(to) || cutOff(from) && to == old.index
	}
	f.schedule.Run(5 * time.Second)
	require.Len(t, f.activeLeaders(), 1)
	assert.Equal(t, term, f.activeLeaders()[0].leader.Term())
	f.dropsLink = func(int, int) bool { return false }
	f.schedule.Run(2 * time.Second)
	f.assertOneLeader("after the partition")
}

func TestLeaderStaysDuringStoreOutage(t *testing.T) {
	f := newFleet(t, 36, 5)
	f.schedule.Run(2 * time.Second)
	old := f.activeLeaders()[0]
	f.store.down = true
	f.schedule.Run(6 * time.Second)
	require.Len(t, f.activeLeaders(), 1)
	assert.Equal(t, old, f.activeLeaders()[0])
	f.store.down = false
	f.schedule.Run(2 * time.Second)
	f.assertOneLeader("after the outage")
}

// TestRandomFaults guards against two leaders in one term and against a fleet without a common leader after faults. The faults are
// killed VMs, lost datagrams, store outages for some or all VMs, and lost results of claims.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, 12, seed)
			f.store.claimAnswerLoss = 0.3
			for range 20 {
				f.injectFault()
				f.schedule.Run(time.Duration(f.random.IntN(1500)) * time.Millisecond)
			}
			f.clearFaults()
			f.schedule.Run(6 * time.Second)
			f.assertOneLeader("after the faults")
		})
	}
}

// TestFailoverWithIncompleteView guards against VMs that do not find a new leader. The second leader fails while its only
// delivered view contains the few VMs that joined it first; all VMs must follow its successor within 1.8 s.
func TestFailoverWithIncompleteView(t *testing.T) {
	f := newFleet(t, 120, 6)
	f.schedule.Run(2 * time.Second)
	f.kill(f.activeLeaders()[0])
	for len(f.activeLeaders()) == 0 {
		f.schedule.Run(time.Millisecond)
	}
	second := f.activeLeaders()[0]
	f.dropsLink = func(from, to int) bool {
		return from != to && (from == second.index && to >= 30 || from >= 30 && to == second.index)
	}
	f.schedule.Run(400 * time.Millisecond)
	f.dropsLink = func(int, int) bool { return false }
	f.dropsBody = func(body any) bool {
		_, isView := body.(message.View)
		return isView
	}
	f.schedule.Run(time.Second)
	f.assertOneLeader("with the second leader")
	require.Less(t, len(second.member.View().Members), 60)
	f.kill(second)
	f.dropsBody = func(any) bool { return false }
	f.schedule.Run(1800 * time.Millisecond)
	f.assertOneLeader("after the loss of the second leader")
}

// TestWeakVMsDoNotTakeOverAfterStoreOutage guards against a takeover by one of the many VMs with little CPU capacity. The leader
// resigns during a store outage; when the store recovers, no weak VM may lead before the leader notices the recovery or a strong VM
// claims.
func TestWeakVMsDoNotTakeOverAfterStoreOutage(t *testing.T) {
	cpuPercents := slices.Concat(slices.Repeat([]int{80}, 6), slices.Repeat([]int{16}, 114))
	for i := range 12 {
		f := newFleet(t, len(cpuPercents), 7, cpuPercents...)
		f.storeNoticeTime = 250 * time.Millisecond
		f.schedule.Run(2 * time.Second)
		f.store.down = true
		f.schedule.Run(2*time.Second + time.Duration(i)*170*time.Millisecond)
		f.store.down = false
		for range 40 {
			f.schedule.Run(50 * time.Millisecond)
			for _, v := range f.activeLeaders() {
				require.Less(t, v.index, 6, "a weak VM leads after outage %d", i)
			}
		}
		f.assertOneLeader("after the outage")
	}
}

// TestVMsJoinNewLeaderWithoutDelay guards against VMs that join a new leader only with their next regular heartbeat. A leader
// announces configurations and sends views only to VMs that have joined it.
func TestVMsJoinNewLeaderWithoutDelay(t *testing.T) {
	f := newFleet(t, 36, 8)
	f.schedule.Run(2 * time.Second)
	f.kill(f.activeLeaders()[0])
	for len(f.activeLeaders()) == 0 {
		f.schedule.Run(10 * time.Millisecond)
	}
	f.schedule.Run(20 * time.Millisecond)
	assert.Equal(t, 35, f.activeLeaders()[0].leader.MemberCount())
}

// TestVoteForNewerTermEndsLeadership guards against a leader that goes on to decide after it has learned of its successor from a vote.
func TestVoteForNewerTermEndsLeadership(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.schedule.Run(time.Second)
	first := f.activeLeaders()[0]
	vote := message.Vote{Term: first.member.Term() + 1, Leader: "vm-9", LeaderAddress: "10.0.0.9:7000"}
	f.apply(first, first.member.Receive(f.schedule.Now(), "10.0.0.9:7000", 0, vote))
	assert.Nil(t, first.leader)
}
