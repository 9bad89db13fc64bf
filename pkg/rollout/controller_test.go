package rollout

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

const testRoute = azuretiller.RouteID("shop/0")

func testOrder() azuretiller.RolloutOrder {
	return azuretiller.RolloutOrder{Service: simService, Target: simTarget, Duration: 12 * time.Second}
}

func testServers() Servers {
	return Servers{
		Old:      []Server{{ID: "o1", Slots: 4}, {ID: "o2", Slots: 4}, {ID: "o3", Slots: 4}},
		Target:   []Server{{ID: "n1", Slots: 4}, {ID: "n2", Slots: 4}, {ID: "n3", Slots: 4}},
		OldInUse: true,
	}
}

// written returns the progress that the effects store, if any.
func written(effects []Effect) (azuretiller.RolloutProgress, bool) {
	for _, effect := range effects {
		if store, ok := effect.(StoreProgress); ok {
			return store.Progress, true
		}
	}
	return azuretiller.RolloutProgress{}, false
}

// exposeAll calls Expose until it allows no further attempt, and returns the number of attempts.
func exposeAll(c *Controller, now time.Time) int {
	count := 0
	for progress := true; progress; {
		progress = false
		for _, s := range testServers().Target {
			if c.Expose(now, testRoute, s.ID) {
				count++
				progress = true
			}
		}
	}
	return count
}

// observeOld reports results of attempts on old servers, without which no route is exposed.
func observeOld(c *Controller, now time.Time, route azuretiller.RouteID, result message.Result, took time.Duration, count int) {
	for i := range count {
		c.CountRequest(now)
		c.Observe(now, Outcome{Route: route, Server: testServers().Old[i%3].ID, Result: result, Took: took})
	}
}

// Guards against attempts that no stored block covers.
func TestNoExposureBeforeABlockIsStored(t *testing.T) {
	now := simStart()
	c := New(now, simParams(), testOrder(), azuretiller.RolloutProgress{})
	observeOld(c, now, testRoute, message.Succeeded, 100*time.Millisecond, 100)
	p, ok := written(c.Tick(now, testServers()))
	require.True(t, ok)
	require.Zero(t, exposeAll(c, now))
	c.Stored(now, p, errors.New("store unavailable"))
	c.Tick(now, testServers())
	require.Zero(t, exposeAll(c, now))
	now = now.Add(storeRetry)
	retried, ok := written(c.Tick(now, testServers()))
	require.True(t, ok)
	require.GreaterOrEqual(t, retried.Reserved, p.Reserved)
	c.Stored(now, retried, nil)
	require.Equal(t, azuretiller.RolloutActive, c.State())
	now = now.Add(time.Second)
	c.Tick(now, testServers())
	count := exposeAll(c, now)
	require.Positive(t, count)
	require.LessOrEqual(t, count, retried.Reserved)
}

// Guards against a successor that uses what its predecessor may still use.
func TestSuccessorCountsReservedExposureAsUsed(t *testing.T) {
	now := simStart()
	stored := azuretiller.RolloutProgress{Target: simTarget, State: azuretiller.RolloutActive, Started: now, Reserved: 47, Requests: 0}
	c := New(now.Add(time.Second), simParams(), testOrder(), stored)
	// Results without CountRequest do not raise the bound.
	for range 100 {
		c.Observe(now, Outcome{Route: testRoute, Server: testServers().Old[0].ID, Result: message.Succeeded, Took: 100 * time.Millisecond})
	}
	for i := range 100 {
		at := now.Add(time.Second + time.Duration(i)*50*time.Millisecond)
		if p, ok := written(c.Tick(at, testServers())); ok {
			c.Stored(at, p, nil)
		}
		require.Zero(t, exposeAll(c, at))
	}
}

// Guards against a rollout that is decided again after its final state was stored, and against traffic on the wrong version.
func TestFinalStateIsKept(t *testing.T) {
	now := simStart()
	for state, phase := range map[azuretiller.RolloutState]Phase{azuretiller.RolloutCompleted: Completed, azuretiller.RolloutReverted: Reverted} {
		c := New(now, simParams(), testOrder(), azuretiller.RolloutProgress{Target: simTarget, State: state, Started: now})
		_, ok := written(c.Tick(now, testServers()))
		require.False(t, ok)
		require.Equal(t, phase, c.Phase())
		require.Equal(t, state == azuretiller.RolloutCompleted, c.MayExpose(now, testRoute, "n1"))
	}
}

// Guards against a completion after the time limit of an order that was seen too late, or whose version has no servers.
func TestRevertsWithoutEvidence(t *testing.T) {
	now := simStart()
	stored := azuretiller.RolloutProgress{Target: simTarget, State: azuretiller.RolloutActive, Started: now.Add(-time.Minute)}
	late := New(now, simParams(), testOrder(), stored)
	late.Tick(now, testServers())
	require.Equal(t, Reverted, late.Phase())

	empty := New(now, simParams(), testOrder(), azuretiller.RolloutProgress{})
	servers := testServers()
	servers.Target = nil
	for at := now; at.Before(now.Add(12 * time.Second)); at = at.Add(50 * time.Millisecond) {
		if p, ok := written(empty.Tick(at, servers)); ok {
			empty.Stored(at, p, nil)
		}
	}
	require.Equal(t, Reverted, empty.Phase())
	require.Equal(t, azuretiller.RolloutReverted, empty.State())
}

// Guards against a bad verdict that waits for the store.
func TestBadVerdictTakesEffectWithoutTheStore(t *testing.T) {
	now := simStart()
	c := New(now, simParams(), testOrder(), azuretiller.RolloutProgress{})
	p, _ := written(c.Tick(now, testServers()))
	c.Stored(now, p, nil)
	for i := 0; i < 200 && c.Phase() == Trial; i++ {
		now = now.Add(50 * time.Millisecond)
		for _, s := range testServers().Old {
			c.CountRequest(now)
			c.Observe(now, Outcome{Route: testRoute, Server: s.ID, Result: message.Succeeded, Took: 100 * time.Millisecond})
		}
		for _, s := range testServers().Target {
			if c.Expose(now, testRoute, s.ID) {
				c.Observe(now, Outcome{Route: testRoute, Server: s.ID, OnTarget: true, Result: message.Failed})
			}
		}
		if p, ok := written(c.Tick(now, testServers())); ok {
			var err error
			if c.Phase() == Reverted {
				err = errors.New("store unavailable")
			}
			c.Stored(now, p, err)
		}
	}
	require.Equal(t, Reverted, c.Phase())
	require.False(t, c.MayExpose(now, testRoute, "n1"))
	require.Equal(t, azuretiller.RolloutActive, c.State())
}
