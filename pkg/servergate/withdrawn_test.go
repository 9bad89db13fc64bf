package servergate

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller/pkg/message"
)

// TestVMIsDrainedOnceNoAttemptRunsOnWithdrawnServers guards against a rollout that is completed, so that the platform stops the old servers, while
// a request still runs on one of them or starts there later.
func TestVMIsDrainedOnceNoAttemptRunsOnWithdrawnServers(t *testing.T) {
	g := New()
	g.SetView(message.View{Term: 3, Version: 1, Servers: []message.Server{{ID: "old"}, {ID: "new", Closed: true}}})
	assert.True(t, g.Start("old", false, 3))
	assert.True(t, g.Start("old", true, 0))
	assert.True(t, g.Drained())
	g.SetView(message.View{Term: 3, Version: 2, Servers: []message.Server{{ID: "old", Rollout: message.Withdrawn}, {ID: "new"}}})
	assert.False(t, g.Drained())
	assert.False(t, g.Start("old", true, 0), "placed without a leader")
	assert.False(t, g.Start("old", false, 2), "placed by the leader of an earlier term")
	assert.True(t, g.Start("old", false, 3), "the leader of the view's term may have reopened the server")
	assert.True(t, g.Start("new", true, 0))
	for range 2 {
		g.End("old")
		assert.False(t, g.Drained())
	}
	g.End("old")
	assert.True(t, g.Drained())
}
