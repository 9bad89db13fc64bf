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

func TestLeaderIsChosenAndReplaced(t *testing.T) {
	f := newFleet(t, 36, 1)
	f.schedule.Run(time.Second)
	f.settled("after the start")
	f.schedule.Run(time.Second)
	first := f.leading()[0]
	f.kill(first)
	f.schedule.Run(1500 * time.Millisecond)
	f.settled("after the loss of the leader")
	assert.Len(t, f.leading()[0].member.View().Members, 35)
	f.boot(first)
	f.schedule.Run(time.Second)
	f.settled("after the return of the former leader")
}

func TestAllVMsGoneAtOnce(t *testing.T) {
	f := newFleet(t, 36, 2)
	f.schedule.Run(2 * time.Second)
	for _, v := range f.vms {
		f.kill(v)
	}
	f.schedule.Run(500 * time.Millisecond)
	for _, v := range f.vms {
		f.boot(v)
	}
	f.schedule.Run(300 * time.Millisecond)
	f.settled("0.3 s after all came back")
}

// TestLeaderTurnedAwayByStore replays a store that does not answer the leader and the first candidates: another VM must
// lead soon enough for a configuration to be in force within 2 s.
func TestLeaderTurnedAwayByStore(t *testing.T) {
	f := newFleet(t, 36, 3)
	f.schedule.Run(2 * time.Second)
	old := f.leading()[0]
	old.silent = true
	for _, v := range f.vms {
		if v != old && v.member.rank() < candidates {
			v.silent = true
		}
	}
	f.schedule.Run(resignAfter + 700*time.Millisecond)
	list := f.leading()
	require.Len(t, list, 1)
	assert.NotEqual(t, old, list[0])
	assert.False(t, list[0].silent)
}

func TestFewVMsOutOfTouchDoNotTakeTheLead(t *testing.T) {
	f := newFleet(t, 36, 4)
	f.schedule.Run(2 * time.Second)
	old := f.leading()[0]
	term := old.leader.Term()
	f.cut = func(from, to int) bool {
		side := func(i int) bool { return i != old.index && i%9 == 0 }
		return from == old.index && side(to) || side(from) && to == old.index
	}
	f.schedule.Run(5 * time.Second)
	require.Len(t, f.leading(), 1)
	assert.Equal(t, term, f.leading()[0].leader.Term())
	f.cut = func(int, int) bool { return false }
	f.schedule.Run(2 * time.Second)
	f.settled("after the cut")
}

func TestStoreAwayKeepsTheLeader(t *testing.T) {
	f := newFleet(t, 36, 5)
	f.schedule.Run(2 * time.Second)
	old := f.leading()[0]
	f.store.down = true
	f.schedule.Run(6 * time.Second)
	require.Len(t, f.leading(), 1)
	assert.Equal(t, old, f.leading()[0])
	f.store.down = false
	f.schedule.Run(2 * time.Second)
	f.settled("after the outage")
}

// TestRandomFaults kills VMs, cuts links, turns VMs away from the store and loses its answers; no term may have two
// leaders, and the fleet must settle after the faults.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, 12, seed)
			f.store.loseAnswers = 0.3
			for range 20 {
				f.fault()
				f.schedule.Run(time.Duration(f.random.IntN(1500)) * time.Millisecond)
			}
			f.heal()
			f.schedule.Run(6 * time.Second)
			f.settled("after the faults")
		})
	}
}

// TestLeaderLostWhileItsViewIsSmall replays the loss of a leader whose newer views were lost, so that VMs know only the few that
// had joined it at first: its successor must be found by all soon.
func TestLeaderLostWhileItsViewIsSmall(t *testing.T) {
	f := newFleet(t, 120, 6)
	f.schedule.Run(2 * time.Second)
	f.kill(f.leading()[0])
	for len(f.leading()) == 0 {
		f.schedule.Run(time.Millisecond)
	}
	second := f.leading()[0]
	f.cut = func(from, to int) bool {
		return from != to && (from == second.index && to >= 30 || from >= 30 && to == second.index)
	}
	f.schedule.Run(400 * time.Millisecond)
	f.cut = func(int, int) bool { return false }
	f.lose = func(body any) bool {
		_, isView := body.(message.View)
		return isView
	}
	f.schedule.Run(time.Second)
	f.settled("with the second leader")
	require.Less(t, len(second.member.View().Members), 60)
	f.kill(second)
	f.lose = func(any) bool { return false }
	f.schedule.Run(1800 * time.Millisecond)
	f.settled("after the loss of the second leader")
}

// TestLeaderStaysAfterAnOutageOfTheStore replays outages of the store during which the leader asks for a successor: when the store is
// back, none of the many weak VMs may take the lead before the leader has noticed it or a strong one has tried.
func TestLeaderStaysAfterAnOutageOfTheStore(t *testing.T) {
	power := slices.Concat(slices.Repeat([]int{80}, 6), slices.Repeat([]int{16}, 114))
	for i := range 12 {
		f := newFleet(t, len(power), 7, power...)
		f.noticeTime = 250 * time.Millisecond
		f.schedule.Run(2 * time.Second)
		f.store.down = true
		f.schedule.Run(2*time.Second + time.Duration(i)*170*time.Millisecond)
		f.store.down = false
		for range 40 {
			f.schedule.Run(50 * time.Millisecond)
			for _, v := range f.leading() {
				require.Less(t, v.index, 6, "a weak VM leads after outage %d", i)
			}
		}
		f.settled("after the outage")
	}
}

// TestVMsJoinANewLeaderAtOnce: a leader tells only the VMs that have joined it of the configuration and of each other.
func TestVMsJoinANewLeaderAtOnce(t *testing.T) {
	f := newFleet(t, 36, 8)
	f.schedule.Run(2 * time.Second)
	f.kill(f.leading()[0])
	for len(f.leading()) == 0 {
		f.schedule.Run(10 * time.Millisecond)
	}
	f.schedule.Run(20 * time.Millisecond)
	assert.Equal(t, 35, f.leading()[0].leader.MemberCount())
}
