package gateway

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/platform"
)

// TestNoHedgeBeforeFirstPlacement guards against requests that exceed the rate of their team: a request that waits for its first server has no token
// yet, and the leader takes none for a further attempt.
func TestNoHedgeBeforeFirstPlacement(t *testing.T) {
	const targetLatency = 100 * time.Millisecond
	for _, test := range []struct {
		name       string
		placements []message.PlaceResponse
		asked      int
	}{
		{"the request waits for its first server", []message.PlaceResponse{{Queued: true}, {Queued: true}, {Queued: true}}, 1},
		{"the server is slow", []message.PlaceResponse{placement(1), placement(2)}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(test.placements, newResponse(message.Cancelled, 0), newResponse(message.Cancelled, 0))
			g.state.Store(readyStateWithTargetLatency(targetLatency))
			r := httptest.NewRequestWithContext(t.Context(), "GET", "http://h/reads/1", nil)
			r.Header.Set(platform.HeaderDeadline, "150")
			g.ServeHTTP(httptest.NewRecorder(), r)
			g.transport.mu.Lock()
			defer g.transport.mu.Unlock()
			calls := map[int]bool{}
			for _, request := range g.transport.placeRequests {
				calls[request.Attempt] = true
			}
			assert.Len(t, calls, test.asked)
		})
	}
}
