package leader

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/rollout"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
)

// TestNothingIsExposedBeyondStoredProgress guards against exposure that no successor would know of: while the store is away, no more attempts
// than those stored as reserved are made.
func TestNothingIsExposedBeyondStoredProgress(t *testing.T) {
	f := newRolloutFleet(t)
	f.addServers("v2")
	f.store.away = true
	f.order("v2", 20*time.Second)
	assert.Zero(t, f.placedDuring(2 * time.Second)["v2"])
	f.store.away = false
	f.placed = map[azuretiller.Version]int{}
	f.steps(3 * time.Second)
	require.Positive(t, f.placed["v2"])
	f.store.away = true
	f.steps(4 * time.Second)
	assert.LessOrEqual(t, f.placed["v2"], f.store.stored.Records["s"].Progress.Reserved)
	assert.Positive(t, f.placedDuring(time.Second)["v1"], "the version in use is still used")
	f.store.away = false
	f.stepsUntil(azuretiller.RolloutCompleted, 15*time.Second)
}

// TestWriteWithoutResultIsReadBack guards against a write whose response was lost: it counts neither as made nor as failed before the store
// was read.
func TestWriteWithoutResultIsReadBack(t *testing.T) {
	f := newRolloutFleet(t)
	f.addServers("v2")
	f.store.deaf = true
	f.order("v2", 12*time.Second)
	f.stepsUntil(azuretiller.RolloutCompleted, 13*time.Second)
	assert.Equal(t, []string{"s v2 active", "s v2 completed"}, f.store.history)
	assert.Positive(t, f.placed["v2"])
}

// TestReplacedLeaderCannotStoreProgress guards against two leaders that both reserve exposure: the successor counts what the former leader
// reserved as used, and the former one gets no more.
func TestReplacedLeaderCannotStoreProgress(t *testing.T) {
	f := newRolloutFleet(t)
	f.addServers("v2")
	f.order("v2", 20*time.Second)
	f.steps(4 * time.Second)
	former := f.leader
	f.lead(2)
	f.steps(time.Second)
	f.leader, former = former, f.leader
	placed := f.placed["v2"]
	reserved := f.store.stored.Records["s"].Progress.Reserved
	f.steps(5 * time.Second)
	assert.LessOrEqual(t, f.placed["v2"]-placed, reserved)
	assert.Equal(t, azuretiller.Term(2), f.store.stored.Records["s"].Term)
	assert.True(t, f.leader.rollouts.store.replaced)
	f.leader = former
	f.steps(time.Second)
	assert.GreaterOrEqual(t, f.store.stored.Records["s"].Progress.Reserved, f.placed["v2"])
}

// TestSecondLeaderTakesOverOrderOfFormer guards against two leaders that see an order at the same time and both start to expose.
func TestSecondLeaderTakesOverOrderOfFormer(t *testing.T) {
	f := newRolloutFleet(t)
	f.addServers("v2")
	f.steps(time.Second)
	former := f.leader
	f.lead(2)
	f.steps(time.Second)
	f.order("v2", 20*time.Second)
	second := f.leader
	f.leader = former
	f.steps(2 * time.Second)
	require.Positive(t, f.placed["v2"])
	f.leader = second
	f.steps(2 * rolloutRetryInterval)
	assert.Equal(t, azuretiller.Term(2), f.store.stored.Records["s"].Term)
	assert.GreaterOrEqual(t, second.RolloutStates(f.now)["s"].Decision.Progress.Reserved, f.placed["v2"])
}

// TestProgressThatCannotBeReadIsNotTrusted guards against exposure although it is unknown how much there was, and against a final state that is
// lost with the progress.
func TestProgressThatCannotBeReadIsNotTrusted(t *testing.T) {
	invalid := azuretiller.RolloutRecord{Invalid: errors.New("not valid JSON")}
	for _, c := range []struct {
		status azuretiller.RolloutStatus
		record *azuretiller.RolloutRecord
		want   azuretiller.RolloutState
		open   azuretiller.Version
	}{
		{azuretiller.RolloutStatus{}, &invalid, azuretiller.RolloutReverted, "v1"},
		{azuretiller.RolloutStatus{Target: "v2", State: azuretiller.RolloutActive}, &invalid, azuretiller.RolloutReverted, "v1"},
		{azuretiller.RolloutStatus{Target: "v2", State: azuretiller.RolloutActive}, nil, azuretiller.RolloutReverted, "v1"},
		{azuretiller.RolloutStatus{Target: "v2", State: azuretiller.RolloutCompleted}, &invalid, azuretiller.RolloutCompleted, "v2"},
		{azuretiller.RolloutStatus{Target: "v2", State: azuretiller.RolloutCompleted}, nil, azuretiller.RolloutCompleted, "v2"},
	} {
		f := newRolloutFleet(t)
		f.addServers("v2")
		f.order("v2", 10*time.Second)
		if c.record != nil {
			f.store.stored.Records["s"] = *c.record
		}
		if c.status.State != 0 {
			f.store.stored.Statuses["s"] = c.status
		}
		placed := f.placedDuring(2 * time.Second)
		assert.Len(t, placed, 1)
		assert.Positive(t, placed[c.open])
		assert.Equal(t, azuretiller.RolloutStatus{Target: "v2", State: c.want}, f.store.stored.Statuses["s"])
		assert.NoError(t, f.store.stored.Records["s"].Invalid)
	}
}

// TestRestoredStoreGetsProgressAgain guards against a store that came back from a copy without the progress, which the next leader would then
// not know of, and against an order that counts as new since it was written again.
func TestRestoredStoreGetsProgressAgain(t *testing.T) {
	for _, state := range []azuretiller.RolloutState{azuretiller.RolloutActive, azuretiller.RolloutCompleted} {
		f := newRolloutFleet(t)
		f.addServers("v2")
		f.order("v2", 10*time.Second)
		f.stepsUntil(state, 11*time.Second)
		f.steps(time.Second)
		before := f.store.stored.Records["s"].Progress
		restored := newRolloutStoreStub()
		restored.stored.NextRecord.Era, restored.stored.NextStatus.Era = 1, 1
		f.store = restored
		order := f.orders["s"]
		order.At = azuretiller.Position{Era: 1, Offset: 1}
		f.orders = map[azuretiller.ServiceID]azuretiller.RecordedOrder{"s": order}
		f.leader.StoreRestored()
		f.steps(time.Second)
		after := f.store.stored.Records["s"]
		assert.GreaterOrEqual(t, after.Progress.Reserved, before.Reserved)
		assert.Equal(t, before.Started.UnixMilli(), after.Progress.Started.UnixMilli())
		assert.Equal(t, state, f.store.stored.Statuses["s"].State)
		f.lead(2)
		f.steps(100 * time.Millisecond)
		assert.Equal(t, before.Started.UnixMilli(), f.store.stored.Records["s"].Progress.Started.UnixMilli())
	}
}

// TestNewLeaderHoldsOrderAfterRestore guards against a good version that is reverted because a new leader reads the store before the operator has
// written the order again, which the copy lacks.
func TestNewLeaderHoldsOrderAfterRestore(t *testing.T) {
	for _, returns := range []bool{true, false} {
		f := newRolloutFleet(t)
		f.addServers("v2")
		f.order("v2", 12*time.Second)
		f.steps(2 * time.Second)
		order := f.orders["s"]
		f.orders = map[azuretiller.ServiceID]azuretiller.RecordedOrder{}
		f.store.stored.NextRecord = azuretiller.Position{Era: 1, Offset: 3}
		f.store.stored.NextStatus = azuretiller.Position{Era: 1, Offset: 3}
		f.lead(azuretiller.Term(1).Next(1))
		f.steps(2 * time.Second)
		assert.Equal(t, azuretiller.RolloutActive, f.store.stored.Statuses["s"].State)
		if !returns {
			f.steps(orderHold)
			assert.Equal(t, azuretiller.RolloutReverted, f.store.stored.Statuses["s"].State)
			continue
		}
		order.At = azuretiller.Position{Era: 1, Offset: 2}
		f.orders["s"] = order
		f.stepsUntil(azuretiller.RolloutCompleted, 9*time.Second)
		assert.Equal(t, order, f.store.stored.Records["s"].Order)
	}
}

// TestFinalStateOutlivesRestore guards against a bad version that is exposed again, or a completed one that is on trial without old servers, because
// the store came back from a copy in which the rollout is still active, and the leader is lost too.
func TestFinalStateOutlivesRestore(t *testing.T) {
	for _, c := range []struct {
		state  azuretiller.RolloutState
		result message.Result
		open   azuretiller.Version
	}{{azuretiller.RolloutReverted, message.Failed, "v1"}, {azuretiller.RolloutCompleted, message.Succeeded, "v2"}} {
		f := newRolloutFleet(t)
		f.answer = func(v azuretiller.Version) message.Result {
			if v == "v2" {
				return c.result
			}
			return message.Succeeded
		}
		f.addServers("v2")
		f.order("v2", 12*time.Second)
		f.stepsUntil(azuretiller.RolloutActive, time.Second)
		copied := f.store.read()
		f.stepsUntil(c.state, 12*time.Second)
		f.steps(time.Second)
		copied.NextRecord.Era, copied.NextStatus.Era = 1, 1
		f.store.stored = copied
		order := f.orders["s"]
		order.At.Era = 1
		f.orders["s"] = order
		f.inherit(azuretiller.Term(1).Next(1))
		assert.Equal(t, map[azuretiller.Version]int{c.open: 300}, f.placedDuring(3*time.Second))
		assert.Equal(t, c.state, f.store.stored.Statuses["s"].State)
	}
}

// cutOver advances a fleet until the old servers are withdrawn.
func (f *rolloutFleet) cutOver() {
	f.addServers("v2")
	f.order("v2", 10*time.Second)
	f.stepsUntil(azuretiller.RolloutActive, time.Second)
	for f.leader.rollouts.services["s"].phase() == rollout.Trial {
		f.step()
	}
	require.Equal(f.t, rollout.Cutover, f.leader.rollouts.services["s"].phase())
}

// TestCompletionWaitsForRunningRequests guards against old servers that the platform stops while a request runs on one.
func TestCompletionWaitsForRunningRequests(t *testing.T) {
	f := newRolloutFleet(t)
	f.steps(time.Second)
	request := newPlaceRequest(config.Backend{Service: "s", Weight: 1})
	request.Timeout = 20 * time.Second
	f.call++
	responses := f.run(f.leader.Receive(f.now, f.vms[0], message.Envelope{Call: f.call, Body: request}))
	require.Len(t, responses, 1)
	f.cutOver()
	f.steps(3 * time.Second)
	assert.Equal(t, azuretiller.RolloutActive, f.store.stored.Statuses["s"].State)
	assert.True(t, f.leader.RolloutStates(f.now)["s"].OldInUse)
	f.leader.Receive(f.now, f.vms[0], message.Envelope{Body: message.Report{Ticket: responses[0].Ticket, Result: message.Succeeded, Took: time.Second, Term: 1}})
	f.stepsUntil(azuretiller.RolloutCompleted, time.Second)
}

// TestCompletionWaitsForVMs guards against a VM that still uses old servers by its view when the platform stops them: one that has not drained
// the view, and one that was lost just before.
func TestCompletionWaitsForVMs(t *testing.T) {
	f := newRolloutFleet(t)
	f.cutOver()
	late := f.vms[1]
	f.vms = f.vms[:1]
	lastHeartbeat := f.now
	for end := f.now.Add(time.Second); f.now.Before(end); {
		lastHeartbeat = f.now
		// The VM follows the leader, but an attempt that it placed alone still runs on an old server.
		f.run(f.leader.Receive(f.now, late, message.Envelope{Body: message.Heartbeat{VM: azuretiller.VMID(late), Incarnation: 1, Ready: true, Term: 1, ViewVersion: 99}}))
		f.step()
	}
	assert.Equal(t, azuretiller.RolloutActive, f.store.stored.Statuses["s"].State)
	f.stepsUntil(azuretiller.RolloutCompleted, 10*time.Second)
	assert.GreaterOrEqual(t, f.now.Sub(lastHeartbeat), MaxViewUse+2*time.Second, "until the last request of the VM has ended")
}

// TestCompletionDoesNotWaitForEndedProcess guards against a good version that is completed too late because a VM has just been killed.
func TestCompletionDoesNotWaitForEndedProcess(t *testing.T) {
	f := newRolloutFleet(t)
	f.cutOver()
	killed := f.vms[1]
	f.vms = f.vms[:1]
	for end := f.now.Add(heartbeatTimeout + 50*time.Millisecond); f.now.Before(end); {
		f.step()
	}
	assert.Equal(t, azuretiller.RolloutActive, f.store.stored.Statuses["s"].State)
	f.leader.probedAt = time.Time{}
	assert.Contains(t, f.leader.probeLost(f.now), ProbeVM{Address: killed})
	f.leader.VMGone(killed)
	f.stepsUntil(azuretiller.RolloutCompleted, 100*time.Millisecond)
}

// TestVMLostLongAgoDoesNotDelayCompletion guards against a good version that is completed too late.
func TestVMLostLongAgoDoesNotDelayCompletion(t *testing.T) {
	f := newRolloutFleet(t)
	f.steps(time.Second)
	f.vms = f.vms[:1]
	f.cutOver()
	f.stepsUntil(azuretiller.RolloutCompleted, time.Second)
}

// TestLeaderThatMayBeReplacedStopsUsingOldServers guards against a leader that is cut off from the store and from most VMs, and uses old servers
// after its successor had them stopped. An outage of the store alone must not end service.
func TestLeaderThatMayBeReplacedStopsUsingOldServers(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		f := newRolloutFleet(t)
		f.vms = append(f.vms, "10.0.0.3:1")
		f.addServers("v2")
		f.order("v2", 20*time.Second)
		f.steps(2 * time.Second)
		f.leader.ConfirmTerm(f.now, 0, azuretiller.RateLedger{})
		f.store.away = true
		if partitioned {
			f.vms = f.vms[:1]
		}
		f.steps(4 * time.Second)
		placed := f.placedDuring(time.Second)
		assert.Equal(t, partitioned, len(placed) == 0, "%v", placed)
		f.leader.ConfirmTerm(f.now, 0, azuretiller.RateLedger{})
		f.step()
		assert.Positive(t, f.placedDuring(time.Second)["v1"])
	}
}

// TestLeaderThatWasPausedPlacesNothingAtFirst guards against a leader that was replaced during a pause and places requests on old servers before
// it notices.
func TestLeaderThatWasPausedPlacesNothingAtFirst(t *testing.T) {
	f := newRolloutFleet(t)
	f.steps(time.Second)
	placed := f.placed["v1"]
	f.now = f.now.Add(3 * time.Second)
	f.request(f.vms[0])
	assert.Equal(t, placed, f.placed["v1"])
	f.steps(100 * time.Millisecond)
	assert.Greater(t, f.placed["v1"], placed)
}

// TestEnablingRolloutsKeepsServersInUse guards against a reload of the settings that closes all servers for a moment.
func TestEnablingRolloutsKeepsServersInUse(t *testing.T) {
	f := newRolloutFleet(t)
	p := f.leader.params
	enabled := p.Rollout
	p.Rollout = rollout.Params{}
	f.leader.rollouts = newRollouts(p.Rollout, 1)
	f.leader.SetParams(p)
	f.steps(2 * time.Second)
	f.store.away = true
	p.Rollout = enabled
	f.leader.SetParams(p)
	assert.Equal(t, 100, f.placedDuring(time.Second)["v1"])
}

// TestNewLeaderUsesVersionsOfFormerView guards against a leader that uses a version which its predecessor kept closed, before it has read the
// stored rollouts.
func TestNewLeaderUsesVersionsOfFormerView(t *testing.T) {
	f := newRolloutFleet(t)
	f.steps(time.Second)
	f.addServers("v2")
	f.versions["v2-more"] = "v2"
	f.steps(time.Second)
	f.inherit(2)
	f.request(f.vms[0])
	f.store.away = true
	placed := f.placedDuring(time.Second)
	assert.Positive(t, placed["v1"])
	f.store.away = false
	f.steps(2 * time.Second)
	assert.Zero(t, f.placed["v2"])
}

// TestVMWithoutLeaderRestrictsServersByStore guards against a VM that reads the store itself and uses servers that the leader exposes, or that
// it has withdrawn.
func TestVMWithoutLeaderRestrictsServersByStore(t *testing.T) {
	order := azuretiller.RecordedOrder{RolloutOrder: azuretiller.RolloutOrder{Service: "s", Target: "v2", Duration: time.Second}, At: azuretiller.Position{Offset: 4}}
	record := func(state azuretiller.RolloutState, cutover bool) *azuretiller.StoredRollouts {
		return &azuretiller.StoredRollouts{Records: map[azuretiller.ServiceID]azuretiller.RolloutRecord{"s": {
			Order: order, InUse: "v1", Term: 1, Progress: azuretiller.RolloutProgress{Target: "v2", State: state, Started: start(), Cutover: cutover},
		}}}
	}
	closed := message.Server{Closed: true}
	withdrawn := message.Server{Closed: true, Rollout: message.Withdrawn}
	for name, c := range map[string]struct {
		stored   *azuretiller.StoredRollouts
		ordered  bool
		old, new message.Server
	}{
		"no order":      {&azuretiller.StoredRollouts{}, false, message.Server{}, closed},
		"new order":     {&azuretiller.StoredRollouts{}, true, message.Server{Rollout: message.WhileRecent}, closed},
		"active":        {record(azuretiller.RolloutActive, false), true, message.Server{Rollout: message.WhileRecent}, closed},
		"after cutover": {record(azuretiller.RolloutActive, true), true, withdrawn, closed},
		"completed":     {record(azuretiller.RolloutCompleted, true), true, withdrawn, message.Server{}},
		"reverted":      {record(azuretiller.RolloutReverted, false), false, message.Server{}, withdrawn},
		"unknown":       {nil, false, message.Server{}, closed},
	} {
		orders := map[azuretiller.ServiceID]azuretiller.RecordedOrder{}
		if c.ordered {
			orders["s"] = order
		}
		services := map[azuretiller.ServiceID][]scheduler.Server{"s": {{ID: "a", Version: "v1"}, {ID: "b", Version: "v2"}}}
		list := []message.Server{{ID: "a"}, {ID: "b"}}
		RestrictServers(start(), list, rollout.Params{ExposeShare: 0.1}, services, orders, c.stored, map[azuretiller.InstanceID]bool{"a": true})
		c.old.ID, c.new.ID = "a", "b"
		assert.Equal(t, []message.Server{c.old, c.new}, list, name)
	}
}
