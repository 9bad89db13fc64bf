package edge

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// TestLeaderNoticesLeavingServersWithoutSettings guards against a leader that places requests by the view of its predecessor for as long as
// the store refuses its reads of the operators' settings: servers that left since then would get requests. Servers that were not in use when
// it became leader may be in a zone that is out of service, so that they get none before it has read the settings.
func TestLeaderNoticesLeavingServersWithoutSettings(t *testing.T) {
	e := newTestEdge(nil)
	now := e.common.Clock.Now()
	e.member.Receive(now, "127.0.0.1:2", 0, message.View{Term: 1, Version: 1, Parts: 1, Servers: []message.Server{
		{ID: "closed", Service: "s", Closed: true}, {ID: "draining", Service: "s"}, {ID: "gone", Service: "s"}, {ID: "stays", Service: "s"},
	}})
	e.becomeLeader(2, azuretiller.RateLedger{})
	open := func() []azuretiller.InstanceID {
		var ids []azuretiller.InstanceID
		for _, s := range e.leader.ServiceStates(now)["s"].Servers {
			if !s.Closed {
				ids = append(ids, s.ID)
			}
		}
		return ids
	}
	now = now.Add(readRetryInterval)
	e.handle(t.Context(), now, settingsResult{err: errors.New("refused")})
	next := azuretiller.Position{Offset: 2}
	page := azuretiller.ServersPage{Complete: true, Next: next}
	for _, id := range []azuretiller.InstanceID{"closed", "draining", "new", "stays"} {
		page.Changes = append(page.Changes, azuretiller.ServerChange{ID: id, Server: azuretiller.BackendServer{ID: id, Service: "s", Draining: id == "draining"}})
	}
	e.handle(t.Context(), now, serversResult{page: page})
	assert.Equal(t, []azuretiller.InstanceID{"stays"}, open(), "without the settings")
	e.handle(t.Context(), now, settingsResult{page: azuretiller.SettingsPage{Complete: true, Next: next}})
	assert.Equal(t, []azuretiller.InstanceID{"closed", "new", "stays"}, open(), "with the settings")
}
