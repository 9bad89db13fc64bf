package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// TestSecondLeaderOfEraComparesCopyWithView guards against requests to servers that left before a restore, if the first leader of the new era
// is lost while it still holds back their copied entries.
func TestSecondLeaderOfEraComparesCopyWithView(t *testing.T) {
	for _, test := range []struct {
		name      string
		firstLed  time.Duration
		leftIsOut bool
	}{
		{"the first leader is lost soon", time.Second, true},
		{"the first leader has led for long", time.Minute, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := positionRegistry{positions: make(chan azuretiller.Position, 1), page: azuretiller.ServersPage{
				Complete: true, Next: azuretiller.Position{Era: 1, Offset: 3}, Changes: []azuretiller.ServerChange{
					{ID: "left", Server: azuretiller.BackendServer{ID: "left", Service: "s"}},
					{ID: "stays", Server: azuretiller.BackendServer{ID: "stays", Service: "s"}},
				},
			}}
			e := newTestEdge(r)
			now := e.common.Clock.Now()
			lead := func(term azuretiller.Term, address string) {
				e.member.Receive(now, address, 0, message.HeartbeatResponse{Term: term, Leader: azuretiller.VMID(address), LeaderAddress: address, IsLeader: true})
			}
			lead(1, "127.0.0.1:2")
			now = now.Add(time.Minute)
			first := azuretiller.Term(1).Next(1)
			lead(first, "127.0.0.1:3")
			e.member.Receive(now, "127.0.0.1:3", 0, message.View{Term: first, Version: 1, Parts: 1, Servers: []message.Server{
				{ID: "left", Service: "s", Closed: true}, {ID: "stays", Service: "s"},
			}})
			now = now.Add(test.firstLed)
			e.becomeLeader(first.Next(1), azuretiller.RateLedger{})
			e.startReads(t.Context(), now)
			<-r.positions
			for e.reads.serversPending {
				e.handle(t.Context(), now, <-e.inbox)
			}
			closed := map[azuretiller.InstanceID]bool{}
			for _, s := range e.registryCache.ServersByService(now, nil)["s"] {
				closed[s.ID] = s.Closed
			}
			assert.Equal(t, map[azuretiller.InstanceID]bool{"left": test.leftIsOut, "stays": false}, closed)
		})
	}
}
