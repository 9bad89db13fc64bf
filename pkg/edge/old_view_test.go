package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/leader"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
)

// TestLeaderDoesNotUseOldView guards against requests to servers that left while a VM was cut off, if this VM becomes leader as soon as its
// connections work again.
func TestLeaderDoesNotUseOldView(t *testing.T) {
	for _, test := range []struct {
		name   string
		cutOff time.Duration
		waits  bool
	}{
		{"the former leader was lost just now", 900 * time.Millisecond, false},
		{"the VM was cut off", 7 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newTestEdge(nil)
			now := e.common.Clock.Now()
			heard := now.Add(-test.cutOff)
			const former = "127.0.0.1:2"
			e.member.Receive(heard, former, 0, message.HeartbeatResponse{Term: 1, Leader: "former", LeaderAddress: former, IsLeader: true})
			e.member.Receive(heard, former, 0, message.HeartbeatResponse{Term: 1, Leader: "former", LeaderAddress: former, IsLeader: true})
			e.member.Receive(heard, former, 0, message.View{Term: 1, Version: 1, Parts: 1, Servers: []message.Server{{ID: "left", Service: "s", Slots: 3}}})
			e.becomeLeader(2, azuretiller.RateLedger{})
			call := uint64(0)
			place := func(now time.Time) message.PlaceResponse {
				call++
				request := message.PlaceRequest{Request: "r", Timeout: time.Second, SoftTimeout: time.Second, Attempt: 1, Backends: []config.Backend{{Service: "s", Weight: 1}}}
				for _, effect := range e.leader.Receive(now, "127.0.0.1:3", message.Envelope{Call: call, Body: request}) {
					if s, ok := effect.(leader.Send); ok {
						return s.Message.Body.(message.PlaceResponse)
					}
				}
				return message.PlaceResponse{}
			}
			response := place(now)
			assert.Equal(t, test.waits, response.Queued)
			if test.waits {
				assert.Empty(t, response.Server)
				assert.Equal(t, azuretiller.CodeNoServer, place(now.Add(time.Second)).Code, "requests do not wait for a store that does not answer")
			}
			e.leader.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"s": {{ID: "stays", Address: "a:1", Slots: 3}}})
			assert.Equal(t, azuretiller.InstanceID("stays"), place(now).Server)
		})
	}
}
