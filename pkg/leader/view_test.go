package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
)

// viewFleet is a leader and the VMs that send heartbeats to it, in virtual time.
type viewFleet struct {
	leader *Leader
	now    time.Time
	// heartbeats holds the heartbeat that each VM sends. A VM without one is silent.
	heartbeats map[string]message.Heartbeat
	// receives reports whether a VM gets the views that are sent to it.
	receives func(peer string) bool
}

func newViewFleet(vms int) *viewFleet {
	f := &viewFleet{leader: newLeader(), now: start(), heartbeats: map[string]message.Heartbeat{}, receives: func(string) bool { return true }}
	for i := range vms {
		peer := vmAddress(i)
		f.heartbeats[peer] = message.Heartbeat{VM: azuretiller.VMID(peer), Incarnation: 1, Zone: "z", Ready: true, Term: 1}
	}
	return f
}

func vmAddress(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

// step advances time by one heartbeat interval, in which the leader also ticks every 50 ms. It returns the VMs to which the leader sent a
// view for relaying.
func (f *viewFleet) step() (relays []string) {
	for peer, hb := range f.heartbeats {
		relays = append(relays, f.apply(f.leader.Receive(f.now, peer, message.Envelope{Body: hb}))...)
	}
	for range 6 {
		f.now = f.now.Add(50 * time.Millisecond)
		relays = append(relays, f.apply(f.leader.Tick(f.now))...)
	}
	return relays
}

// apply delivers the views among the effects: a view for relaying to all VMs if its relay receives views, any other to its addressee.
func (f *viewFleet) apply(effects []Effect) (relays []string) {
	for _, e := range effects {
		s, ok := e.(Send)
		if !ok {
			continue
		}
		v, ok := s.Message.Body.(message.View)
		if !ok {
			continue
		}
		if !v.Relay {
			f.deliver(s.To, v)
			continue
		}
		relays = append(relays, s.To)
		if f.receives(s.To) {
			for peer := range f.heartbeats {
				f.deliver(peer, v)
			}
		}
	}
	return relays
}

func (f *viewFleet) deliver(peer string, v message.View) {
	hb, ok := f.heartbeats[peer]
	if !ok || !f.receives(peer) || v.Base != 0 && v.Base != hb.ViewVersion {
		return
	}
	hb.ViewVersion = v.Version
	f.heartbeats[peer] = hb
}

// changeView makes one VM, vm-99, change between ready and not ready, so that the next view differs.
func (f *viewFleet) changeView() {
	hb := f.heartbeats[vmAddress(99)]
	hb.Ready = !hb.Ready
	f.heartbeats[vmAddress(99)] = hb
}

// TestVMThatMissedAViewCatchesUpWhileViewsKeepChanging guards against VMs that name leaving VMs to callers for seconds during a rolling
// restart: a VM misses one view, and the view changes in each heartbeat interval from then on.
func TestVMThatMissedAViewCatchesUpWhileViewsKeepChanging(t *testing.T) {
	f := newViewFleet(5)
	f.heartbeats[vmAddress(99)] = message.Heartbeat{VM: "vm-99", Incarnation: 1, Zone: "z", Ready: true, Term: 1}
	for range 4 {
		f.step()
	}
	unlucky := vmAddress(3)
	before := f.heartbeats[unlucky].ViewVersion
	f.receives = func(peer string) bool { return peer != unlucky }
	f.changeView()
	f.step()
	require.Equal(t, before, f.heartbeats[unlucky].ViewVersion, "the VM missed a view")
	f.receives = func(string) bool { return true }
	for range 5 {
		f.changeView()
		f.step()
	}
	f.step()
	assert.Equal(t, f.leader.viewVersion, f.heartbeats[unlucky].ViewVersion)
}

// TestLeavingOrSilentVMIsNoRelay guards against a whole zone that gets no views because the VM that should relay them is about to stop or
// has stopped.
func TestLeavingOrSilentVMIsNoRelay(t *testing.T) {
	for _, c := range []struct {
		name string
		stop func(f *viewFleet, peer string)
	}{
		{"leaving", func(f *viewFleet, peer string) {
			hb := f.heartbeats[peer]
			hb.Leaving, hb.Ready = true, false
			f.heartbeats[peer] = hb
		}},
		{"silent", func(f *viewFleet, peer string) { delete(f.heartbeats, peer) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newViewFleet(5)
			f.heartbeats[vmAddress(99)] = message.Heartbeat{VM: "vm-99", Incarnation: 1, Zone: "z", Ready: true, Term: 1}
			var relays []string
			for range 6 {
				f.changeView()
				relays = f.step()
			}
			require.NotEmpty(t, relays)
			stopped := relays[len(relays)-1]
			c.stop(f, stopped)
			f.receives = func(peer string) bool { return peer != stopped }
			f.step()
			f.step()
			for range 2 {
				f.changeView()
				relays = f.step()
				require.NotEmpty(t, relays)
				assert.NotContains(t, relays, stopped)
			}
		})
	}
}

// TestViewVersionOfEarlierTermDoesNotCount guards against a VM that seems to be ahead and relays views from an outdated one: a leader
// wins the next term, and the heartbeat of a VM that does not know this yet has the larger version of the previous term.
func TestViewVersionOfEarlierTermDoesNotCount(t *testing.T) {
	f := newViewFleet(5)
	f.heartbeats[vmAddress(99)] = message.Heartbeat{VM: "vm-99", Incarnation: 1, Zone: "z", Ready: true, Term: 1}
	for range 4 {
		f.step()
	}
	outdated := vmAddress(4)
	f.receives = func(peer string) bool { return peer != outdated }
	hb := f.heartbeats[outdated]
	hb.Term, hb.ViewVersion = 0, 100
	f.heartbeats[outdated] = hb
	var relays []string
	for range 3 {
		f.changeView()
		relays = f.step()
	}
	assert.NotContains(t, relays, outdated)
	assert.Equal(t, 1, f.leader.membersBehind(f.now))
}

// TestRelayIsStrongestVMOfZone guards against views that most VMs of a large zone miss, since a VM with a slow link relays them.
func TestRelayIsStrongestVMOfZone(t *testing.T) {
	l := newLeader()
	now := start()
	l.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"s": newServers("s", 2)})
	for peer, hb := range map[string]message.Heartbeat{
		"10.0.0.1:1": {VM: "weak", CPUPercent: 16, Ready: true},
		"10.0.0.2:1": {VM: "strong", CPUPercent: 80, Ready: true},
		"10.0.0.3:1": {VM: "strongest, but not ready", CPUPercent: 320},
		"10.0.0.4:1": {VM: l.self, CPUPercent: 320, Ready: true},
	} {
		hb.Zone, hb.Incarnation = "z", 1
		l.Receive(now, peer, message.Envelope{Body: hb})
	}
	assert.Equal(t, map[azuretiller.Zone]string{"z": "10.0.0.2:1"}, l.relays(now))
	now = now.Add(capacitiesInterval)
	assert.Equal(t, 1, l.strongerVMs(now, 16))
	assert.Equal(t, 0, l.strongerVMs(now, 80))
}

// TestZoneThatLacksViewsIsRefreshedByRelay guards against VMs of a large fleet that lack the view for many seconds, since only the leader sends it
// again: they do not know the other VMs and the servers when the leader is lost.
func TestZoneThatLacksViewsIsRefreshedByRelay(t *testing.T) {
	l := newLeader()
	now := start()
	l.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"s": numberedServers(3000)})
	const zoneSize = 80
	requests := func(seconds int, behind int) map[string]int {
		list := map[string]int{}
		for range seconds * 10 {
			now = now.Add(100 * time.Millisecond)
			for i := range zoneSize {
				version := l.viewVersion
				if i < behind {
					version = 0
				}
				l.Receive(now, fmt.Sprint("10.0.0.", i, ":1"), message.Envelope{Body: message.Heartbeat{
					VM: azuretiller.VMID(fmt.Sprint("vm-", i)), Zone: "z", Ready: true, Term: 1, ViewVersion: version, CPUPercent: i + 1,
				}})
			}
			for _, e := range l.Tick(now) {
				if s, ok := e.(Send); ok {
					if v, ok := s.Message.Body.(message.View); ok && v.Base == v.Version {
						list[s.To]++
					}
				}
			}
		}
		return list
	}
	requests(1, 0)
	assert.Equal(t, map[string]int{"10.0.0.79:1": 5}, requests(5, zoneSize-10), "many VMs lack the view")
	assert.Empty(t, requests(5, zoneRefreshMin-1), "few VMs lack the view")
}
