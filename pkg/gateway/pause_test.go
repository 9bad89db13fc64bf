package gateway

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/fallback"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/upstream"
	"github.com/azuretiller/azuretiller/platform"
)

// manualClock returns a time that only the test changes.
type manualClock struct{ now time.Time }

// Now returns the time of the clock.
func (c *manualClock) Now() time.Time { return c.now }

// pausingResponse returns the response of a server that rejects a request and asks for a pause.
func pausingResponse(pause time.Duration) upstream.Response {
	return upstream.Response{Result: message.Shed, Status: 503, Notice: platform.ServerNotice{PauseFor: pause}}
}

// newPausingGateway returns a gateway whose clock stands still until the test moves it.
func newPausingGateway(placements []message.PlaceResponse, responses ...upstream.Response) (*testGateway, *manualClock) {
	g := newTestGateway(placements, responses...)
	clock := &manualClock{now: time.Now()}
	g.common.Clock = clock
	return g, clock
}

// TestPausedServerGetsNoRequestsUntilPauseEnds guards against requests that reach a server within the time for which it asked for none. The
// leader has not heard of it and grants the server each time.
func TestPausedServerGetsNoRequestsUntilPauseEnds(t *testing.T) {
	for _, c := range []struct {
		name  string
		first upstream.Response
	}{
		{"rejected with proof that the request did not run", pausingResponse(2 * time.Second)},
		{"rejected without proof", upstream.Response{Result: message.Failed, Status: 503, Notice: platform.ServerNotice{PauseFor: 2 * time.Second}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			good := newResponse(message.Succeeded, 200)
			grants := []message.PlaceResponse{placement(1), placement(2), placement(1), placement(2), placement(1), placement(2), placement(1)}
			g, clock := newPausingGateway(grants, c.first, good, good, good, good)
			for _, wait := range []time.Duration{0, 100 * time.Millisecond, 1899 * time.Millisecond, time.Millisecond} {
				clock.now = clock.now.Add(wait)
				assert.Equal(t, 200, g.serve("GET", "/reads/1").Code)
			}
			assert.Equal(t, []azuretiller.InstanceID{"b", "c", "c", "c", "b"}, g.sender.sentTo())
		})
	}
}

// TestShorterPauseDoesNotEndLongerOne guards against a server that answers several requests and names a shorter time last.
func TestShorterPauseDoesNotEndLongerOne(t *testing.T) {
	good := newResponse(message.Succeeded, 200)
	g, clock := newPausingGateway([]message.PlaceResponse{placement(1), placement(2), placement(1), placement(2)}, pausingResponse(3*time.Second), good, good)
	g.serve("GET", "/reads/1")
	granted := placement(1)
	g.gate.Record(clock.now, gatedServer(granted), false, time.Second)
	clock.now = clock.now.Add(2 * time.Second)
	g.serve("GET", "/reads/1")
	assert.Equal(t, []azuretiller.InstanceID{"b", "c", "c"}, g.sender.sentTo())
}

// TestRequestIsRejectedAtOnceWhileAllServersPause guards against requests that wait although no server wants them, and against a Retry-After
// after which the servers still want none. It checks with and without a leader, and for the request whose rejection began the pause.
func TestRequestIsRejectedAtOnceWhileAllServersPause(t *testing.T) {
	const shed, paused = azuretiller.CodeShedByServer, azuretiller.CodeServersPaused
	for _, c := range []struct {
		name       string
		leader     bool
		codes      [2]azuretiller.Code
		deadline   string
		retryAfter [2]string
	}{
		{"without leader", false, [2]azuretiller.Code{shed, paused}, "4000", [2]string{"1.50", "1.25"}},
		{"without leader, little time", false, [2]azuretiller.Code{shed, paused}, "1000", [2]string{"1.00", "1.00"}},
		{"with leader", true, [2]azuretiller.Code{shed, paused}, "4000", [2]string{"1.50", "1.25"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			refused := message.PlaceResponse{Code: paused, Service: "s", RetryAfter: time.Second, Term: 1}
			grants := []message.PlaceResponse{placement(1), placement(2), refused}
			g, clock := newPausingGateway(grants, pausingResponse(3*time.Second), pausingResponse(1500*time.Millisecond))
			g.placer = fallback.New(time.Now(), "z", rand.New(rand.NewPCG(1, 2)))
			state := stateWithoutLeader(viewServer("b", 0), viewServer("c", 0))
			state.LeaderReachable = c.leader
			g.state.Store(state)
			for i := range 2 {
				r := httptest.NewRequestWithContext(context.Background(), "POST", "http://h/orders/"+strconv.Itoa(i), strings.NewReader(""))
				r.Header.Set(platform.HeaderDeadline, c.deadline)
				w := httptest.NewRecorder()
				g.ServeHTTP(w, r)
				info, _ := azuretiller.LookupCode(c.codes[i])
				assert.Equal(t, 503, w.Code)
				assert.Equal(t, info.Name+"\n", w.Body.String())
				assert.Equal(t, c.retryAfter[i], w.Header().Get("Retry-After"))
				clock.now = clock.now.Add(250 * time.Millisecond)
			}
			assert.Len(t, g.sender.sent, 2)
		})
	}
}

// TestPauseIsNoEjection guards against a VM without a leader that avoids a server after the pause that it asked for.
func TestPauseIsNoEjection(t *testing.T) {
	g, clock := newPausingGateway(nil, pausingResponse(300*time.Millisecond), newResponse(message.Succeeded, 200))
	g.placer = fallback.New(time.Now(), "z", rand.New(rand.NewPCG(1, 2)))
	g.state.Store(stateWithoutLeader(viewServer("b", 0)))
	require.Equal(t, 503, g.serve("POST", "/orders/1").Code)
	clock.now = clock.now.Add(300 * time.Millisecond)
	assert.Equal(t, 200, g.serve("POST", "/orders/2").Code)
}

// TestLogsShowWhyRequestWasRefused guards against a refused request whose log lines do not lead to the server that asked for the pause: the
// line of the request names the service and the end of the pause, and the line of the pause names the request that began it.
func TestLogsShowWhyRequestWasRefused(t *testing.T) {
	refused := message.PlaceResponse{Code: azuretiller.CodeServersPaused, Service: "s", RetryAfter: time.Second, Term: 1}
	g, clock := newPausingGateway([]message.PlaceResponse{placement(1), refused, refused}, pausingResponse(2*time.Second))
	lines := memory.New()
	g.common.Log = &log.Logger{Handler: lines}
	for _, id := range []string{"first", "second"} {
		r := httptest.NewRequestWithContext(context.Background(), "POST", "http://h/orders/1", strings.NewReader(""))
		r.Header.Set(platform.HeaderAttempt, id)
		g.ServeHTTP(httptest.NewRecorder(), r)
		clock.now = clock.now.Add(500 * time.Millisecond)
	}
	require.Len(t, lines.Entries, 3)
	assert.Equal(t, "server paused", lines.Entries[0].Message)
	assert.Equal(t, "first", lines.Entries[0].Fields["request"])
	assert.Equal(t, 2*time.Second, lines.Entries[0].Fields["pause"])
	assert.Equal(t, "second", lines.Entries[2].Fields["request"])
	assert.Equal(t, int(azuretiller.CodeServersPaused), lines.Entries[2].Fields["code"])
	assert.Equal(t, azuretiller.ServiceID("s"), lines.Entries[2].Fields["service"])
	assert.Equal(t, "all servers pause, the first for 1.5s", lines.Entries[2].Fields["reason"])
}

// TestPauseIsReportedToLeader guards against a leader that does not learn of a pause: not with the rejection, or not when it grants the
// server afterwards, with the time that is left.
func TestPauseIsReportedToLeader(t *testing.T) {
	good := newResponse(message.Succeeded, 200)
	g, clock := newPausingGateway([]message.PlaceResponse{placement(1), placement(2), placement(1), placement(2)}, pausingResponse(2*time.Second), good, good)
	g.serve("POST", "/orders/1")
	clock.now = clock.now.Add(500 * time.Millisecond)
	g.serve("POST", "/orders/2")
	g.transport.mu.Lock()
	defer g.transport.mu.Unlock()
	for i, want := range map[int]time.Duration{1: 2 * time.Second, 3: 1500 * time.Millisecond} {
		assert.Equal(t, want, g.transport.placeRequests[i].LastReport.PauseFor)
		assert.Equal(t, placement(1).Server, g.transport.placeRequests[i].LastReport.Server)
	}
}
