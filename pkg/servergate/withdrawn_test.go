package servergate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller/pkg/message"
)

// TestVMIsDrainedOnceNoAttemptRunsOnWithdrawnServers guards against a rollout that is completed, so that the platform stops the old servers, while
// a request still runs on one of them or starts there later.
func TestVMIsDrainedOnceNoAttemptRunsOnWithdrawnServers(t *testing.T) {
	g := New()
	now := time.Unix(1_000_000, 0)
	g.SetView(message.View{Term: 3, Version: 1, Servers: []message.Server{{ID: "old"}, {ID: "new", Closed: true}}}, now.Add(time.Second))
	assert.True(t, g.Start(now, "old", false, 3))
	assert.True(t, g.Start(now, "old", true, 0))
	assert.True(t, g.Drained())
	g.SetView(message.View{Term: 3, Version: 2, Servers: []message.Server{{ID: "old", Rollout: message.Withdrawn}, {ID: "new"}}}, now.Add(time.Second))
	assert.False(t, g.Drained())
	assert.False(t, g.Start(now, "old", true, 0), "placed without a leader")
	assert.False(t, g.Start(now, "old", false, 2), "placed by the leader of an earlier term")
	assert.True(t, g.Start(now, "old", false, 3), "the leader of the view's term may have reopened the server")
	assert.True(t, g.Start(now, "new", true, 0))
	for range 2 {
		g.End("old")
		assert.False(t, g.Drained())
	}
	g.End("old")
	assert.True(t, g.Drained())
}

// TestServersOfRunningRolloutAreNotUsedAfterPause guards against a VM that was paused and then uses a server that the platform has stopped.
func TestServersOfRunningRolloutAreNotUsedAfterPause(t *testing.T) {
	g := New()
	now := time.Unix(1_000_000, 0)
	g.SetView(message.View{Term: 1, Version: 1, Servers: []message.Server{{ID: "old", Rollout: message.WhileRecent}, {ID: "other"}}}, now)
	assert.True(t, g.Start(now.Add(-time.Millisecond), "old", true, 0))
	assert.False(t, g.Start(now, "old", true, 0))
	assert.True(t, g.Start(now, "old", false, 1), "the leader placed the request")
	assert.True(t, g.Start(now, "other", true, 0))
}
