package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// startTrial returns a controller whose first block is stored, after the warm-up of its reference.
func startTrial(t *testing.T, routes ...Outcome) (*Controller, time.Time) {
	t.Helper()
	now := simStart()
	c := New(now, simParams(), testOrder(), azuretiller.RolloutProgress{})
	for range 60 {
		for _, o := range routes {
			observeOld(c, now, o.Route, o.Result, o.Took, 3)
		}
		if p, ok := written(c.Tick(now, testServers())); ok {
			c.Stored(now, p, nil)
		}
		now = now.Add(50 * time.Millisecond)
	}
	return c, now
}

// expose places attempts on target servers and reports their results, until the controller decides.
func expose(c *Controller, now time.Time, o Outcome) {
	for range 40 {
		for _, s := range testServers().Target {
			if c.Expose(now, o.Route, s.ID) {
				o.Server, o.OnTarget = s.ID, true
				c.Observe(now.Add(o.Took), o)
			}
		}
		now = now.Add(50 * time.Millisecond)
		if p, ok := written(c.Tick(now, testServers())); ok {
			c.Stored(now, p, nil)
		}
	}
}

// TestRouteWithoutReferenceIsNotExposed guards against a version that is judged by a route which the old servers hardly serve, so that nothing
// tells whether its requests fail on any version.
func TestRouteWithoutReferenceIsNotExposed(t *testing.T) {
	usual := Outcome{Route: testRoute, Result: message.Succeeded, Took: 100 * time.Millisecond}
	c, now := startTrial(t, usual)
	require.True(t, c.MayExpose(now, testRoute, "n1"))
	const rare azuretiller.RouteID = "rare"
	assert.False(t, c.MayExpose(now, rare, "n1"))
	observeOld(c, now, rare, message.TimedOut, time.Second, minRouteResponses)
	exposed := 0
	for range 50 {
		for _, s := range testServers().Target {
			if c.Expose(now, rare, s.ID) {
				exposed++
			}
		}
	}
	assert.LessOrEqual(t, exposed, minRouteResponses, "the old servers get at least as many")
}

// TestRouteThatFailsOnBothVersionsIsNoFault guards against a good version that is reverted because of a route on which all requests time out,
// whatever the version.
func TestRouteThatFailsOnBothVersionsIsNoFault(t *testing.T) {
	failing := Outcome{Route: "failing", Result: message.TimedOut, Took: 500 * time.Millisecond}
	c, now := startTrial(t, Outcome{Route: testRoute, Result: message.Succeeded, Took: 100 * time.Millisecond}, failing)
	expose(c, now, failing)
	assert.Equal(t, Trial, c.Phase())
}

// TestDelayOfLinksIsNotSlow guards against a good version that looks several times slower on requests of a few milliseconds, because its servers
// are in other zones than the callers.
func TestDelayOfLinksIsNotSlow(t *testing.T) {
	short := Outcome{Route: testRoute, Result: message.Succeeded, Took: 3 * time.Millisecond}
	c, now := startTrial(t, short)
	short.Took = 10 * time.Millisecond
	expose(c, now, short)
	assert.Equal(t, Trial, c.Phase())
	assert.Less(t, c.Status(now).LogOdds, 0.0)
}
