package shareledger

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/shareholder"
)

const (
	term azuretiller.Term = 3
	// window is that of the tolerance for exceeding the rates.
	window = 5 * time.Second
	step   = 200 * time.Millisecond
)

// testFleet is a leader's ledger and the VMs that follow the leader.
type testFleet struct {
	*Ledger
	now     time.Time
	holders map[azuretiller.VMID]*shareholder.Holder
	// silent VMs exchange no heartbeats with the leader, deaf ones get no responses, and leaving ones say that they leave.
	silent, deaf, leaving map[azuretiller.VMID]bool
	// written are the records of deals, whose writing has the result writeErr.
	written  []azuretiller.RateLedger
	writeErr error
	// confirms means that the store confirms the term.
	confirms bool
}

func newTestFleet(recorded azuretiller.RateLedger, vms ...azuretiller.VMID) *testFleet {
	now := time.Unix(1_000_000, 0)
	f := &testFleet{
		Ledger: New(now, term, "leader", recorded), now: now, holders: map[azuretiller.VMID]*shareholder.Holder{},
		silent: map[azuretiller.VMID]bool{}, deaf: map[azuretiller.VMID]bool{}, leaving: map[azuretiller.VMID]bool{}, confirms: true,
	}
	for _, vm := range vms {
		f.holders[vm] = shareholder.New(now.Add(-time.Minute))
		f.holders[vm].Follow(term)
	}
	return f
}

// run exchanges heartbeats and advances deals for the given time.
func (f *testFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for vm, h := range f.holders {
			if f.silent[vm] {
				continue
			}
			// The second heartbeat carries the stamp of the first response.
			for range 2 {
				f.exchange(vm, h, false)
			}
		}
		if f.confirms {
			f.Confirm(f.now, 0, f.Recorded())
		}
		if record, ok := f.Deal(f.now); ok {
			f.written = append(f.written, record)
			f.Written(f.now, f.writeErr)
		}
	}
}

func (f *testFleet) exchange(vm azuretiller.VMID, h *shareholder.Holder, restarted bool) {
	hb := message.Heartbeat{Term: term, Leaving: f.leaving[vm]}
	h.Fill(f.now, &hb)
	f.Receive(f.now, vm, hb, restarted)
	r := message.HeartbeatResponse{Term: term, IsLeader: true}
	f.Respond(f.now, vm, hb, &r)
	if !f.deaf[vm] {
		h.Receive(f.now, r)
	}
}

func (f *testFleet) share() azuretiller.RateShare { return f.Share(f.now) }

// equalShares returns a record in which some VMs hold equal shares.
func equalShares(vms ...azuretiller.VMID) azuretiller.RateLedger {
	recorded := azuretiller.RateLedger{Shares: map[azuretiller.VMID]azuretiller.RateShare{}, Former: []azuretiller.FormerLeader{{Term: 2, VM: "former"}}}
	for _, vm := range vms {
		recorded.Shares[vm] = azuretiller.WholeRate / azuretiller.RateShare(len(vms))
	}
	return recorded
}

func TestFirstLeaderDistributesItsShare(t *testing.T) {
	f := newTestFleet(Claimed(azuretiller.LeaderRecord{}, "leader"), "leader", "a", "b", "c")
	f.run(step)
	assert.Equal(t, azuretiller.WholeRate, f.share(), "the first leader holds the whole")
	f.run(4 * time.Second)
	assert.Equal(t, azuretiller.WholeRate, f.share())
	require.Len(t, f.written, 1)
	assert.Equal(t, azuretiller.WholeRate, f.written[0].Total())
	for vm, h := range f.holders {
		assert.Equal(t, azuretiller.WholeRate/4, h.Held(f.now), vm)
		assert.Zero(t, h.Spendable(f.now), vm)
	}
}

// TestSilentVMSpendsItsShareAfterTheLeader guards against a share that a leader and a VM that is cut off from it spend at the same time.
func TestSilentVMSpendsItsShareAfterTheLeader(t *testing.T) {
	f := newTestFleet(equalShares("leader", "a", "b", "c"), "leader", "a", "b", "c")
	f.run(time.Second)
	f.silent["a"] = true
	spent := false
	for range 400 {
		f.run(step)
		spendable := f.holders["a"].Spendable(f.now)
		assert.LessOrEqual(t, f.share()+spendable, azuretiller.WholeRate)
		spent = spent || spendable > 0
	}
	assert.True(t, spent, "the VM spends its share")
	assert.Zero(t, f.holders["a"].Held(f.now), "in the end the VM no longer holds it")
	assert.Equal(t, azuretiller.WholeRate, f.share(), "and the leader distributes it among the others")
}

// TestNewLeaderAwaitsEndOfPledges guards against a share that a new leader and its predecessor spend at the same time.
func TestNewLeaderAwaitsEndOfPledges(t *testing.T) {
	for _, test := range []struct {
		name    string
		former  []azuretiller.FormerLeader
		pledged azuretiller.Term
		waits   bool
	}{
		{"the former leader may go on", []azuretiller.FormerLeader{{Term: 2, VM: "former"}}, 2, true},
		{"the former leader follows the new one", []azuretiller.FormerLeader{{Term: 2, VM: "b"}}, 2, false},
		{"an earlier leader may go on", []azuretiller.FormerLeader{{Term: 1, VM: "former"}, {Term: 2, VM: "b"}}, 1, true},
		{"earlier leaders were not recorded", []azuretiller.FormerLeader{{Term: 2, VM: ""}}, 1, true},
		{"the VM has just started, and a former leader may go on", []azuretiller.FormerLeader{{Term: 2, VM: "former"}}, 0, true},
		{"the VM has just started, and all former leaders follow the new one", []azuretiller.FormerLeader{{Term: 2, VM: "b"}}, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			recorded := equalShares("a", "b")
			recorded.Former = test.former
			f := newTestFleet(recorded, "a", "b")
			a := shareholder.New(f.now)
			if test.pledged > 0 {
				a = shareholder.New(f.now.Add(-time.Minute))
				a.Follow(test.pledged)
				a.Receive(f.now, message.HeartbeatResponse{Term: test.pledged, Stamp: 1, Share: azuretiller.WholeRate / 2, ShareRenewed: true})
			}
			a.Follow(term)
			f.holders["a"] = a
			f.run(step)
			if !test.waits {
				assert.Equal(t, azuretiller.WholeRate, f.share())
				return
			}
			assert.Equal(t, azuretiller.WholeRate/2, f.share())
			f.run(shareholder.PledgeTime)
			assert.Equal(t, azuretiller.WholeRate, f.share())
		})
	}
}

// TestLostShareReturns checks when the leader distributes the share of a VM that does not return.
func TestLostShareReturns(t *testing.T) {
	for _, test := range []struct {
		name string
		// lost VMs do not follow the leader, and leave before if leaves is set.
		lost   []azuretiller.VMID
		leaves bool
		after  time.Duration
	}{
		{"lost", []azuretiller.VMID{"a"}, false, shareholder.Validity},
		{"left", []azuretiller.VMID{"a"}, true, shareholder.LeaseTime},
		{"most of the shares are lost", []azuretiller.VMID{"a", "b", "c"}, false, abandonTime},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newTestFleet(equalShares("leader", "a", "b", "c"), "leader", "a", "b", "c")
			f.run(time.Second)
			for _, vm := range test.lost {
				f.leaving[vm] = test.leaves
			}
			f.run(step)
			for _, vm := range test.lost {
				f.silent[vm] = true
			}
			f.run(test.after - step)
			assert.Less(t, f.share(), azuretiller.WholeRate)
			f.run(10 * time.Second)
			assert.Equal(t, azuretiller.WholeRate, f.share())
		})
	}
}

// TestRestartedVMBringsItsShare guards against rates that are missing after a restart of VMs, which do not know what they held.
func TestRestartedVMBringsItsShare(t *testing.T) {
	f := newTestFleet(equalShares("leader", "a"), "leader", "a")
	f.run(time.Second)
	f.silent["a"] = true
	f.run(2 * time.Second)
	assert.Equal(t, azuretiller.WholeRate/2, f.share())
	f.silent["a"] = false
	f.holders["a"] = shareholder.New(f.now)
	f.holders["a"].Follow(term)
	f.exchange("a", f.holders["a"], true)
	f.run(2 * step)
	assert.Equal(t, azuretiller.WholeRate/2, f.share(), "an earlier process may have pledged the share to another leader")
	f.run(shareholder.PledgeTime)
	assert.Equal(t, azuretiller.WholeRate, f.share())
}

// TestDealAwaitsSmallerShares guards against a share that a VM still holds when another one gets a part of it.
func TestDealAwaitsSmallerShares(t *testing.T) {
	f := newTestFleet(equalShares("leader", "a"), "leader", "a")
	f.run(time.Second)
	f.holders["b"] = shareholder.New(f.now.Add(-time.Minute))
	f.holders["b"].Follow(term)
	f.run(dealMinAge - step)
	f.deaf["a"] = true
	f.run(4 * step)
	assert.Equal(t, azuretiller.WholeRate/2, f.holders["a"].Held(f.now))
	assert.Empty(t, f.written)
	f.deaf["a"] = false
	f.run(3 * time.Second)
	assert.Len(t, f.written, 1)
	assert.InDelta(t, float64(azuretiller.WholeRate)/3, float64(f.holders["a"].Held(f.now)), 1)
}

// TestUncertainDealCountsBothRecords guards against a share that two VMs spend because the leader does not know which record the store has.
func TestUncertainDealCountsBothRecords(t *testing.T) {
	f := newTestFleet(equalShares("leader", "a"), "leader", "a", "b")
	f.writeErr = errors.New("no answer")
	f.run(3 * time.Second)
	require.NotEmpty(t, f.written)
	assert.Equal(t, azuretiller.WholeRate, f.share())
	held := func(vm azuretiller.VMID) azuretiller.RateShare { return f.holders[vm].Held(f.now) }
	assert.LessOrEqual(t, held("leader")+held("a")+held("b"), azuretiller.WholeRate)
	assert.Zero(t, held("b"), "no VM gets a larger share before the record is known to be written")
	f.silent["b"] = true
	f.run(2 * time.Second)
	assert.Equal(t, azuretiller.WholeRate-f.written[0].Shares["b"], f.share(), "the VM may hold its new share already")
	for _, record := range f.written {
		assert.Equal(t, f.written[0], record, "the same record is written again")
	}
	f.Confirm(f.now, 0, f.written[0])
	f.silent["b"] = false
	f.run(time.Second)
	assert.Equal(t, f.written[0].Shares["b"], held("b"))
	assert.Equal(t, azuretiller.WholeRate, f.share())
}

// TestLeaderOfMinorityStops guards against a leader that goes on to spend shares that a leader of most VMs has given to others, also if it
// leads most of the shares again after that.
func TestLeaderOfMinorityStops(t *testing.T) {
	f := newTestFleet(equalShares("leader", "a", "b", "c"), "leader", "a", "b", "c")
	f.run(time.Second)
	f.confirms = false
	f.silent = map[azuretiller.VMID]bool{"a": true, "b": true}
	f.run(confirmationTime + time.Second)
	assert.Equal(t, azuretiller.WholeRate/2, f.share())
	f.run(shareholder.Validity)
	assert.Zero(t, f.share())
	assert.Zero(t, f.holders["c"].Held(f.now))
	f.silent = map[azuretiller.VMID]bool{}
	f.run(2 * time.Second)
	assert.Zero(t, f.share(), "it does not know whether the shares were given to others")
	assert.Zero(t, f.holders["a"].Held(f.now))
	f.confirms = true
	f.run(2 * time.Second)
	assert.Equal(t, azuretiller.WholeRate, f.share(), "no other leader is recorded")
}

// TestToleranceIsUsedOncePerWindow guards against leaders that follow each other and start with tokens beyond the rates each time.
func TestToleranceIsUsedOncePerWindow(t *testing.T) {
	for _, test := range []struct {
		name     string
		recorded azuretiller.Term
		waits    bool
	}{{"not used lately", 0, false}, {"used by a former leader", 2, true}} {
		t.Run(test.name, func(t *testing.T) {
			read := azuretiller.LeaderRecord{Term: 2, VM: "former", Rates: equalShares("leader")}
			read.Rates.ToleranceTerm = test.recorded
			f := newTestFleet(Claimed(read, "leader"), "leader")
			f.SetWindow(window)
			assert.False(t, f.WantTolerance(f.now), "the record is written first")
			f.run(step)
			assert.Equal(t, !test.waits, f.WantTolerance(f.now))
			f.run(window - step)
			if test.waits {
				assert.Empty(t, f.written)
				f.WantTolerance(f.now)
			}
			f.run(2 * step)
			require.Len(t, f.written, 1)
			assert.Equal(t, term, f.written[0].ToleranceTerm)
			assert.True(t, f.WantTolerance(f.now))
			f.run(window + 2*time.Second)
			require.Len(t, f.written, 2)
			assert.Zero(t, f.written[1].ToleranceTerm, "not used within a window")
		})
	}
}
