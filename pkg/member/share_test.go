package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
)

// spendableShares returns the sum of the shares of the teams' rates that the leaders and the VMs of a fleet may spend now.
func (f *fleet) spendableShares() azuretiller.RateShare {
	now := f.schedule.Now()
	sum := azuretiller.RateShare(0)
	for _, v := range f.vms {
		if !v.up || v.frozen {
			continue
		}
		sum += v.member.SpendableShare(now)
		if v.leader != nil {
			sum += v.leader.Share(now)
		}
	}
	return sum
}

// checkShares checks every few milliseconds that the shares do not exceed the whole.
func (f *fleet) checkShares(seed uint64) {
	const interval = 9 * time.Millisecond
	require.LessOrEqual(f.t, f.spendableShares(), azuretiller.WholeRate, "seed %d, at %s", seed, f.schedule.Now())
	f.schedule.After(interval, func() { f.checkShares(seed) })
}

// injectShareFault injects any fault of injectFault, or one that separates VMs that may spend the same share: it freezes a VM, replaces it by a
// new one, lets no datagram reach or leave it, or cuts a part of the fleet off from the others and the store.
func (f *fleet) injectShareFault() {
	v := f.vms[f.random.IntN(len(f.vms))]
	if list := f.activeLeaders(); len(list) > 0 && f.random.IntN(3) == 0 {
		v = list[0]
	}
	switch f.random.IntN(16) {
	case 0, 1:
		if v.frozen {
			f.thaw(v)
		} else {
			v.frozen = v.up
		}
	case 2:
		f.replace(v)
	case 3, 4:
		f.dropsLink = func(_, to int) bool { return to == v.index }
		v.storeSilent = f.random.IntN(2) == 0
	case 5:
		f.dropsLink = func(from, _ int) bool { return from == v.index }
	case 6, 7:
		partitionMask := f.random.Uint64()
		inside := func(i int) bool { return partitionMask>>(i%64)&1 == 1 }
		f.dropsLink = func(from, to int) bool { return inside(from) != inside(to) }
		for _, other := range f.vms {
			other.storeRefuses = inside(other.index)
		}
	case 8:
		f.dropsLink = func(int, int) bool { return false }
	default:
		f.injectFault()
	}
}

// replace ends a VM for good and starts a new one.
func (f *fleet) replace(v *vm) {
	if v.replaced {
		return
	}
	f.kill(v)
	v.replaced = true
	n := len(f.vms)
	fresh := &vm{index: n, address: fmt.Sprintf("10.0.1.%d:7000", n), id: azuretiller.VMID(fmt.Sprint("vm-", n))}
	f.vms = append(f.vms, fresh)
	f.start(fresh)
}

// TestSharesOfRatesNeverExceedWhole guards against rates that several VMs spend at the same time: leaders that follow each other, a
// leader beyond a partition, and VMs without a leader. VMs are killed, frozen and replaced, links and the store fail, and results of claims are
// lost. In the long runs, partitions last longer than VMs may hold their shares, but not as long as a leader of a minority waits for the others.
func TestSharesOfRatesNeverExceedWhole(t *testing.T) {
	for _, test := range []struct {
		seeds    uint64
		faults   int
		interval time.Duration
		heals    bool
	}{{12, 40, 2500 * time.Millisecond, false}, {2, 12, 100 * time.Second, true}} {
		for seed := range test.seeds {
			f := newFleet(t, 12, seed)
			f.store.claimAnswerLoss = 0.3
			f.checkShares(seed)
			f.schedule.Run(3 * time.Second)
			for range test.faults {
				f.injectShareFault()
				f.schedule.Run(time.Duration(f.random.Int64N(int64(test.interval))))
				if test.heals {
					f.clearFaults()
					f.schedule.Run(time.Duration(f.random.IntN(5000)) * time.Millisecond)
				}
			}
			f.clearFaults()
			f.schedule.Run(4 * time.Second)
			f.assertOneLeader("after all faults")
			// The shares of VMs that were replaced return when they cannot be alive beyond a partition any more.
			for range 24 {
				if f.spendableShares() == azuretiller.WholeRate {
					break
				}
				f.schedule.Run(10 * time.Second)
			}
			assert.Equal(t, azuretiller.WholeRate, f.spendableShares(), "seed %d: after all faults", seed)
		}
	}
}
