package leader

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"testing/quick"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
)

// TestLeaderSurvivesAnyMessage guards against a process that ends because of one message with values that no VM would send.
func TestLeaderSurvivesAnyMessage(t *testing.T) {
	bodies := []any{message.Heartbeat{}, message.PlaceRequest{}, message.Report{}, message.HandOver{}}
	for seed := range int64(30) {
		random := rand.New(rand.NewSource(seed))
		now := start()
		l := newLeader()
		setTeamRate(l, 10, 10)
		l.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"a": newServers("a", 3)})
		for range 200 {
			now = now.Add(time.Duration(random.Intn(300)) * time.Millisecond)
			value, ok := quick.Value(reflect.TypeOf(bodies[random.Intn(len(bodies))]), random)
			require.True(t, ok)
			body := value.Interface()
			if r, ok := body.(message.PlaceRequest); ok && random.Intn(2) == 0 {
				// The rest of a request that leads to a decision may be any.
				r.Team, r.Backends = "team", []config.Backend{{Service: "a", Weight: 1}}
				body = r
			}
			require.NotPanics(t, func() {
				if h, ok := body.(message.HandOver); ok {
					l.ReceiveHandOver(now, h)
					return
				}
				l.Receive(now, fmt.Sprint("10.0.0.", random.Intn(5), ":1"), message.Envelope{Call: random.Uint64(), Body: body})
				l.Tick(now)
			}, "seed %d: %+v", seed, body)
		}
	}
}
