package edge

import (
	"bytes"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/leader"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// TestServersOfRunningRolloutAreUsedForShortTime guards against a VM without a leader that uses a server after a leader that it cannot reach had
// it stopped.
func TestServersOfRunningRolloutAreUsedForShortTime(t *testing.T) {
	servers := []message.Server{{ID: "a"}, {ID: "b", Rollout: message.WhileRecent}, {ID: "c", Closed: true, Rollout: message.Withdrawn}}
	assert.Equal(t, servers, closeUnrenewed(servers, leader.MaxViewUse-time.Millisecond))
	closed := closeUnrenewed(servers, leader.MaxViewUse)
	assert.Equal(t, []bool{false, true, true}, []bool{closed[0].Closed, closed[1].Closed, closed[2].Closed})
	assert.False(t, servers[1].Closed, "the view itself is unchanged")
}

// TestInvalidOrdersAreLogged guards against orders that have no effect without a trace, and against log lines that hold the order's text.
func TestInvalidOrdersAreLogged(t *testing.T) {
	for _, share := range []float64{0, 0.1} {
		var lines bytes.Buffer
		e := newTestEdge(nil)
		e.common.Log = &log.Logger{Handler: logfmt.New(&lines)}
		e.processSettings.Bounds.ExposeShare = share
		e.reportOrders(azuretiller.SettingsPage{Changes: []azuretiller.SettingsChange{
			{Rollout: &azuretiller.RolloutChange{Service: "a\nb", Removed: true, Invalid: errors.New("duration is not a duration or out of range")}},
			{Rollout: &azuretiller.RolloutChange{Service: "removed", Removed: true}},
			{Rollout: &azuretiller.RolloutChange{Service: "ordered"}},
		}})
		assert.Contains(t, lines.String(), `message="invalid rollout order" reason="duration is not a duration or out of range" service=a\nb`)
		assert.NotContains(t, lines.String(), "removed")
		assert.Equal(t, share == 0, bytes.Contains(lines.Bytes(), []byte("rollout order ignored")))
	}
}
