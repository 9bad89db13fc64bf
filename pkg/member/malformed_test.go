package member

import (
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"testing/quick"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// TestMemberSurvivesAnyMessage guards against a process that ends because of one message with values that no VM would send.
func TestMemberSurvivesAnyMessage(t *testing.T) {
	bodies := []any{message.Heartbeat{}, message.HeartbeatResponse{}, message.VoteRequest{}, message.Vote{}, message.View{}}
	for seed := range int64(30) {
		random := rand.New(rand.NewSource(seed))
		now := time.Unix(1_000_000, 0)
		m := New(now, azuretiller.VM{ID: "vm", Zone: "z", PeerAddress: "10.0.0.9:1"}, []string{"10.0.0.1:1"})
		for range 200 {
			now = now.Add(time.Duration(random.Intn(300)) * time.Millisecond)
			value, ok := quick.Value(reflect.TypeOf(bodies[random.Intn(len(bodies))]), random)
			require.True(t, ok)
			require.NotPanics(t, func() {
				m.Receive(now, fmt.Sprint("10.0.0.", random.Intn(5), ":1"), random.Uint64(), value.Interface())
				m.Tick(now)
				m.ConfigSource()
				m.HeldShare(now)
			}, "seed %d: %+v", seed, value.Interface())
		}
	}
}
