package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/shareledger"
)

// TestTermsStayUniqueAfterStoreRestore guards against two leaders of one term. The copy from which the store comes back lacks the leader
// record of the running term, and all VMs but the leader start again without a connection to it.
func TestTermsStayUniqueAfterStoreRestore(t *testing.T) {
	f := newFleet(t, 5, 9)
	f.schedule.Run(2 * time.Second)
	f.kill(f.activeLeaders()[0])
	f.schedule.Run(1500 * time.Millisecond)
	f.assertOneLeader("after the loss of the first leader")
	second := f.activeLeaders()[0]
	f.store.restore(1)
	f.dropsLink = func(from, to int) bool { return from != to && (from == second.index || to == second.index) }
	for _, v := range f.vms {
		if v != second {
			f.kill(v)
			f.start(v)
		}
	}
	f.schedule.Run(3 * time.Second)
	f.clearFaults()
	f.schedule.Run(6 * time.Second)
	f.assertOneLeader("after the partition")
}

// TestLeaderOfAmbiguousTermClaimsAnother guards against two leaders of one term: a claim of the former era is written in the new one, in which
// the record of the VM that leads in this term is lost.
func TestLeaderOfAmbiguousTermClaimsAnother(t *testing.T) {
	f := newFleet(t, 5, 9)
	f.schedule.Run(2 * time.Second)
	first := f.activeLeaders()[0]
	term := first.member.Term()
	f.store.restore(1)
	f.store.records = append(f.store.records, azuretiller.LeaderRecord{Term: term, VM: "vm-late", Address: "10.0.0.99:7000"})
	f.schedule.Run(6 * time.Second)
	f.assertOneLeader("after the late claim")
	newer := f.activeLeaders()[0].member.Term()
	assert.Greater(t, newer, term)
	assert.Equal(t, azuretiller.Era(1), newer.Era())
}

// TestRestoredStoreGetsRunningTermAgain guards against a needless change of the leader after a restore: the copy lacks the record of the
// running term, and a VM starts before another one claims.
func TestRestoredStoreGetsRunningTermAgain(t *testing.T) {
	f := newFleet(t, 5, 9)
	f.schedule.Run(2 * time.Second)
	f.kill(f.activeLeaders()[0])
	f.schedule.Run(1500 * time.Millisecond)
	leader := f.activeLeaders()[0]
	f.store.restore(1)
	f.schedule.Run(3 * time.Second)
	record, _ := f.store.newest()
	assert.Equal(t, azuretiller.LeaderRecord{Term: leader.member.Term(), VM: leader.id, Address: leader.address, Rates: leader.leader.Rates()}, record)
	for _, v := range f.vms {
		if !v.up {
			f.start(v)
		}
	}
	f.schedule.Run(2 * time.Second)
	f.assertOneLeader("after the start of a VM")
	assert.Equal(t, []*vm{leader}, f.activeLeaders())
}

// TestRandomFaultsWithStoreRestores guards against two leaders in one term and against a fleet without a common leader, with the faults of
// TestRandomFaults and a store that comes back from copies.
func TestRandomFaultsWithStoreRestores(t *testing.T) {
	for seed := range uint64(100) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, 12, seed)
			f.store.claimAnswerLoss = 0.3
			for range 20 {
				f.injectFault()
				if f.random.IntN(3) == 0 {
					lost := f.random.IntN(4)
					f.schedule.After(time.Duration(f.random.IntN(1500))*time.Millisecond, func() { f.store.restore(lost) })
				}
				f.schedule.Run(time.Duration(f.random.IntN(1500)) * time.Millisecond)
			}
			f.clearFaults()
			f.schedule.Run(6 * time.Second)
			f.assertOneLeader("after the faults")
		})
	}
}

// TestClaimOfFormerEraDoesNotLead guards against two leaders of one term: a claim of the former era is written in the new one, in which the
// record of the VM that leads in this term is lost, and a VM that read the late claim follows its VM.
func TestClaimOfFormerEraDoesNotLead(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	m := New(now, azuretiller.VM{ID: "late", PeerAddress: "10.0.0.1:7000"}, nil)
	m.term, m.state = 1, accessingRecord
	position := azuretiller.Position{Offset: 2}
	rates := func(term azuretiller.Term, vm azuretiller.VMID) azuretiller.RateLedger {
		return shareledger.Claimed(azuretiller.LeaderRecord{Term: term, VM: vm}, "late")
	}
	claim := Claim{At: position, Record: azuretiller.LeaderRecord{Term: 2, VM: "late", Address: "10.0.0.1:7000", Rates: rates(1, "first")}}
	assert.Equal(t, []Effect{claim}, m.LeaderRead(now, azuretiller.LeaderRecord{Term: 1, VM: "first", Address: "10.0.0.2:7000"}, position, nil))
	assert.Equal(t, []Effect{ReadLeader{}}, m.Claimed(now, 2, azuretiller.ErrClaimLost))
	next := azuretiller.Position{Era: 1, Offset: 3}
	claim = Claim{At: next, Record: azuretiller.LeaderRecord{Term: azuretiller.Term(2).Next(1), VM: "late", Address: "10.0.0.1:7000", Rates: rates(2, "late")}}
	assert.Equal(t, []Effect{claim}, m.LeaderRead(now, azuretiller.LeaderRecord{Term: 2, VM: "late", Address: "10.0.0.1:7000"}, next, nil))
	for _, effect := range m.Receive(now, "10.0.0.3:7000", 0, message.Heartbeat{Term: 2}) {
		_, leads := effect.(BecomeLeader)
		assert.False(t, leads)
	}
}
