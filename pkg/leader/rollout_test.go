package leader

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/rollout"
)

// TestGoodVersionReplacesOld guards against requests on a version that no order allows, at each stage of a rollout.
func TestGoodVersionReplacesOld(t *testing.T) {
	f := newRolloutFleet(t)
	f.steps(time.Second)
	f.addServers("v2")
	assert.Zero(t, f.placedDuring(time.Second)["v2"], "without an order")
	assert.Equal(t, map[azuretiller.Version]bool{"v1": true}, f.openInViews())
	f.order("v2", 10*time.Second)
	f.stepsUntil(azuretiller.RolloutActive, time.Second)
	f.placed = map[azuretiller.Version]int{}
	for f.leader.rollouts.services["s"].phase() == rollout.Trial {
		assert.Equal(t, map[azuretiller.Version]bool{"v1": true}, f.openInViews())
		f.step()
	}
	dump, err := json.Marshal(f.leader.RolloutStates(f.now))
	require.NoError(t, err)
	assert.Contains(t, string(dump), `"Phase":"cutover"`)
	assert.Positive(t, f.placed["v2"])
	assert.LessOrEqual(t, float64(f.placed["v2"]), 50+0.1*float64(f.placed["v1"]+f.placed["v2"]))
	f.stepsUntil(azuretiller.RolloutCompleted, 3*time.Second)
	placed := f.placedDuring(time.Second)
	assert.Zero(t, placed["v1"])
	assert.Positive(t, placed["v2"])
	assert.Equal(t, map[azuretiller.Version]bool{"v2": true}, f.openInViews())
	assert.Equal(t, []string{"s v2 active", "s v2 completed"}, f.store.history)
	assert.Less(t, f.store.writes, 40)
}

// TestLaterLeaderKeepsFinalState guards against a leader that starts after a rollout and uses the version that it ended, also if most servers
// have it, and against one that takes an order that was carried out for a new one.
func TestLaterLeaderKeepsFinalState(t *testing.T) {
	for _, c := range []struct {
		state  azuretiller.RolloutState
		result message.Result
		open   azuretiller.Version
	}{{azuretiller.RolloutCompleted, message.Succeeded, "v2"}, {azuretiller.RolloutReverted, message.Failed, "v1"}} {
		for _, ordered := range []bool{true, false} {
			f := newRolloutFleet(t)
			f.answer = func(v azuretiller.Version) message.Result {
				if v == "v2" {
					return c.result
				}
				return message.Succeeded
			}
			f.addServers("v2")
			f.order("v2", 10*time.Second)
			f.stepsUntil(c.state, 15*time.Second)
			if !ordered {
				f.orders = map[azuretiller.ServiceID]azuretiller.RecordedOrder{}
				f.steps(time.Second)
			}
			delete(f.versions, "old-0")
			f.versions["more-0"], f.versions["more-1"] = "v2", "v2"
			f.versions["other-0"] = "v3"
			history := len(f.store.history)
			f.lead(2)
			placed := f.placedDuring(3 * time.Second)
			assert.Len(t, placed, 1, "%s %v", c.state, ordered)
			assert.Positive(t, placed[c.open], "%s %v", c.state, ordered)
			assert.Len(t, f.store.history, history)
		}
	}
}

// TestSameTargetOrderedAgain guards against a new order that counts as carried out because an earlier one for the same version was.
func TestSameTargetOrderedAgain(t *testing.T) {
	f := newRolloutFleet(t)
	bad := true
	f.answer = func(v azuretiller.Version) message.Result {
		if v == "v2" && bad {
			return message.Failed
		}
		return message.Succeeded
	}
	f.addServers("v2")
	f.order("v2", 10*time.Second)
	f.stepsUntil(azuretiller.RolloutReverted, 10*time.Second)
	bad = false
	f.order("v2", 10*time.Second)
	f.stepsUntil(azuretiller.RolloutCompleted, 10*time.Second)
	f.order("v2", 10*time.Second)
	f.steps(time.Second)
	f.order("v3", 3*time.Second)
	f.stepsUntil(azuretiller.RolloutReverted, 5*time.Second)
	assert.Equal(t, []string{
		"s v2 active", "s v2 reverted", "s v2 active", "s v2 completed", "s v2 active", "s v2 completed", "s v3 active", "s v3 reverted",
	}, f.store.history)
	placed := f.placedDuring(time.Second)
	assert.Len(t, placed, 1)
	assert.Positive(t, placed["v2"], "the version before an order for a version without servers")
}

// TestReplacedOrderStartsAnew guards against a version that stays exposed after another one was ordered, and against two orders whose states
// are mixed up.
func TestReplacedOrderStartsAnew(t *testing.T) {
	f := newRolloutFleet(t)
	f.addServers("v2")
	f.order("v2", 10*time.Second)
	f.steps(3 * time.Second)
	require.Positive(t, f.placed["v2"])
	f.addServers("v3")
	f.order("v3", 10*time.Second)
	f.step()
	placed := f.placedDuring(3 * time.Second)
	assert.Zero(t, placed["v2"])
	assert.Positive(t, placed["v3"])
	f.stepsUntil(azuretiller.RolloutCompleted, 10*time.Second)
	assert.Equal(t, []string{"s v2 active", "s v3 active", "s v3 completed"}, f.store.history)
}

// TestDeletedOrderReverts guards against a version that stays exposed without an order, also if a later leader notices the deletion.
func TestDeletedOrderReverts(t *testing.T) {
	for _, newLeader := range []bool{false, true} {
		f := newRolloutFleet(t)
		f.addServers("v2")
		f.order("v2", 10*time.Second)
		f.steps(3 * time.Second)
		f.orders = map[azuretiller.ServiceID]azuretiller.RecordedOrder{}
		if newLeader {
			f.lead(2)
		}
		f.step()
		assert.Zero(t, f.placedDuring(2 * time.Second)["v2"])
		assert.Equal(t, []string{"s v2 active", "s v2 reverted"}, f.store.history)
	}
}

// TestServiceThatStartsAfterItsOrder guards against a service without usable servers, since none was registered when its order was seen.
func TestServiceThatStartsAfterItsOrder(t *testing.T) {
	f := newRolloutFleet(t)
	old := f.versions
	f.versions = map[azuretiller.InstanceID]azuretiller.Version{}
	f.order("v2", 2*time.Second)
	f.steps(time.Second)
	f.versions = old
	f.stepsUntil(azuretiller.RolloutReverted, 4*time.Second)
	assert.Positive(t, f.placedDuring(time.Second)["v1"])
}

// TestSameTargetOrderedAgainBetweenLeaders guards against a new leader that takes the stored final state of an earlier order for that of a new
// order for the same version.
func TestSameTargetOrderedAgainBetweenLeaders(t *testing.T) {
	f := newRolloutFleet(t)
	f.addServers("v2")
	f.order("v2", 10*time.Second)
	f.steps(2 * time.Second)
	f.orders = map[azuretiller.ServiceID]azuretiller.RecordedOrder{}
	f.stepsUntil(azuretiller.RolloutReverted, time.Second)
	f.order("v2", 10*time.Second)
	f.lead(2)
	f.stepsUntil(azuretiller.RolloutCompleted, 11*time.Second)
	assert.Equal(t, []string{"s v2 active", "s v2 reverted", "s v2 active", "s v2 completed"}, f.store.history)
}

// TestOrderForVersionThatIsGuessedToBeInUse guards against a version that is completed without a trial, since it has most servers and the order is
// read only later, as after a restore of the store.
func TestOrderForVersionThatIsGuessedToBeInUse(t *testing.T) {
	f := newRolloutFleet(t)
	f.addServers("v2")
	delete(f.versions, "old-0")
	f.answer = func(v azuretiller.Version) message.Result {
		if v == "v2" {
			return message.Failed
		}
		return message.Succeeded
	}
	f.steps(time.Second)
	require.Positive(t, f.placed["v2"], "nothing else is known")
	f.order("v2", 10*time.Second)
	f.stepsUntil(azuretiller.RolloutReverted, 10*time.Second)
	assert.Equal(t, map[azuretiller.Version]int{"v1": 100}, f.placedDuring(time.Second))
}

// TestTwoServicesAtOnce guards against rollouts of different services that are mixed up, or that keep each other from being stored.
func TestTwoServicesAtOnce(t *testing.T) {
	f := newRolloutFleet(t)
	f.addServers("v2")
	f.order("v2", 10*time.Second)
	other := azuretiller.RecordedOrder{RolloutOrder: azuretiller.RolloutOrder{Service: "unknown", Target: "v7", Duration: 3 * time.Second}, At: azuretiller.Position{Offset: 9}}
	f.orders["unknown"] = other
	f.stepsUntil(azuretiller.RolloutCompleted, 11*time.Second)
	assert.Equal(t, azuretiller.RolloutStatus{Target: "v7", State: azuretiller.RolloutReverted}, f.store.stored.Statuses["unknown"])
	assert.Equal(t, azuretiller.RolloutCompleted, f.store.stored.Records["s"].Progress.State)
}

// TestOrderWhoseTimeHasPassed guards against a rollout that goes on after its time limit, since no leader was there to end it.
func TestOrderWhoseTimeHasPassed(t *testing.T) {
	f := newRolloutFleet(t)
	f.addServers("v2")
	f.order("v2", 5*time.Second)
	f.steps(2 * time.Second)
	f.now = f.now.Add(10 * time.Second)
	f.lead(2)
	f.placed = map[azuretiller.Version]int{}
	f.stepsUntil(azuretiller.RolloutReverted, 2*time.Second)
	assert.Zero(t, f.placed["v2"])
}
