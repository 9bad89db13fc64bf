package gateway

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/fallback"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/upstream"
	"github.com/azuretiller/azuretiller/platform"
)

// leavingResponse returns a response of a server that says that it leaves.
func leavingResponse(result message.Result, status int) upstream.Response {
	response := newResponse(result, status)
	response.Notice.Leaving = true
	return response
}

// sentTo returns the servers to which attempts were sent.
func (s *fakeSender) sentTo() []azuretiller.InstanceID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []azuretiller.InstanceID
	for _, a := range s.sent {
		ids = append(ids, a.Server)
	}
	return ids
}

// TestLeavingServerGetsNoFurtherRequests guards against requests that reach a backend server after this VM has passed on an answer in which
// the server said that it leaves. The leader has not heard of it and still grants the server.
func TestLeavingServerGetsNoFurtherRequests(t *testing.T) {
	for _, c := range []struct {
		name, path string
		first      upstream.Response
	}{
		{"said with a success", "/reads/1", leavingResponse(message.Succeeded, 200)},
		{"said with a failure", "/orders/1", leavingResponse(message.Failed, 500)},
	} {
		t.Run(c.name, func(t *testing.T) {
			good := newResponse(message.Succeeded, 200)
			g := newTestGateway([]message.PlaceResponse{placement(1), placement(1), placement(2), placement(1), placement(3)}, c.first, good, good)
			g.serve("POST", c.path)
			for range 2 {
				assert.Equal(t, 200, g.serve("POST", "/orders/2").Code)
			}
			assert.Equal(t, []azuretiller.InstanceID{"b", "c", "d"}, g.sender.sentTo())
		})
	}
}

// TestWithheldAttemptIsGivenBack guards against tickets for leaving servers that keep a slot or count as a retry: the next PlaceRequest
// reports that the attempt was not sent, and names the servers that must not get it.
func TestWithheldAttemptIsGivenBack(t *testing.T) {
	good := newResponse(message.Succeeded, 200)
	g := newTestGateway([]message.PlaceResponse{placement(1), placement(1), placement(2)}, leavingResponse(message.Succeeded, 200), good)
	g.serve("POST", "/orders/1")
	g.serve("POST", "/orders/2")
	g.transport.mu.Lock()
	defer g.transport.mu.Unlock()
	requests := g.transport.placeRequests
	require.Len(t, requests, 3)
	assert.Equal(t, []azuretiller.InstanceID{"b"}, requests[1].Tried)
	assert.Equal(t, message.Withheld, requests[2].LastReport.Result)
	assert.False(t, requests[2].LastReport.Result.Sent())
	assert.Equal(t, []azuretiller.InstanceID{"b"}, requests[2].Tried)
}

// TestLeavingServerIsReportedToLeader guards against a leader that does not learn that a server leaves: not when the answer comes, or not
// when it was elected after that.
func TestLeavingServerIsReportedToLeader(t *testing.T) {
	granted := placement(1)
	granted.Incarnation = 7
	g := newTestGateway([]message.PlaceResponse{granted, granted, placement(2)}, leavingResponse(message.Succeeded, 200), newResponse(message.Succeeded, 200))
	g.serve("POST", "/orders/1")
	<-g.transport.reportedTo
	g.serve("POST", "/orders/2")
	g.transport.mu.Lock()
	defer g.transport.mu.Unlock()
	for _, r := range []message.Report{g.transport.reports[0], *g.transport.placeRequests[2].LastReport} {
		assert.True(t, r.Leaving)
		assert.Equal(t, granted.Server, r.Server)
		assert.Equal(t, granted.Incarnation, r.Incarnation)
	}
}

// TestWithheldAttemptsDoNotFailRequest guards against a request that fails because many granted servers leave at once.
func TestWithheldAttemptsDoNotFailRequest(t *testing.T) {
	const leaving = 2 * maxUnsentAttempts
	var placements []message.PlaceResponse
	var responses []upstream.Response
	for n := range leaving {
		placements = append(placements, placement(message.TicketID(n)))
		responses = append(responses, leavingResponse(message.Succeeded, 200))
	}
	placements = append(append(placements, placements...), placement(leaving))
	g := newTestGateway(placements, append(responses, newResponse(message.Succeeded, 200))...)
	for range leaving {
		assert.Equal(t, 200, g.serve("POST", "/orders/1").Code)
	}
	assert.Equal(t, 200, g.serve("POST", "/orders/1").Code)
	sent := g.sender.sentTo()
	require.Len(t, sent, leaving+1)
	assert.Equal(t, placement(leaving).Server, sent[leaving])
}

// TestHedgeIsNotSentToLeavingServer guards against the second attempt of a slow read, which is granted independently of the first one.
func TestHedgeIsNotSentToLeavingServer(t *testing.T) {
	g := newTestGateway([]message.PlaceResponse{placement(1), placement(2), placement(1)}, leavingResponse(message.Succeeded, 200), upstream.Response{Result: message.Cancelled})
	g.state.Store(readyStateWithTargetLatency(50 * time.Millisecond))
	g.serve("GET", "/reads/1")
	r := httptest.NewRequestWithContext(context.Background(), "GET", "http://h/reads/2", strings.NewReader(""))
	r.Header.Set(platform.HeaderDeadline, "200")
	g.ServeHTTP(httptest.NewRecorder(), r)
	assert.Equal(t, []azuretiller.InstanceID{"b", "c"}, g.sender.sentTo())
}

// stateWithoutLeader returns the state of a VM that cannot reach a leader and knows the given servers.
func stateWithoutLeader(servers ...message.Server) *State {
	state := readyState()
	state.LeaderReachable = false
	state.Servers = servers
	return state
}

func viewServer(id azuretiller.InstanceID, incarnation int64) message.Server {
	return message.Server{ID: id, Service: "s", Address: "a:1", Slots: 3, Success: 90, Incarnation: incarnation}
}

// TestLeavingServerGetsNoRequestsWithoutLeader guards against requests to a leaving server from a VM that cannot reach the leader, and
// checks that the server's next incarnation gets requests again.
func TestLeavingServerGetsNoRequestsWithoutLeader(t *testing.T) {
	good := newResponse(message.Succeeded, 200)
	g := newTestGateway(nil, leavingResponse(message.Succeeded, 200), good)
	g.placer = fallback.New(time.Now(), "z", rand.New(rand.NewPCG(1, 2)))
	g.state.Store(stateWithoutLeader(viewServer("b", 1)))
	assert.Equal(t, 200, g.serve("POST", "/orders/1").Code)
	w := g.serve("POST", "/orders/2")
	assert.Equal(t, 503, w.Code)
	assert.NotEmpty(t, w.Header().Get("Retry-After"))
	assert.Len(t, g.sender.sent, 1)
	g.state.Store(stateWithoutLeader(viewServer("b", 2)))
	g.gate.Expire(g.common.Clock.Now(), g.state.Load().Servers)
	assert.Equal(t, 200, g.serve("POST", "/orders/3").Code)
	assert.Len(t, g.sender.sent, 2)
}

// TestNewIncarnationIsNotLeaving guards against a restarted server that gets no requests since its predecessor with the same id left.
func TestNewIncarnationIsNotLeaving(t *testing.T) {
	before, after := placement(1), placement(1)
	before.Incarnation, after.Incarnation = 1, 2
	g := newTestGateway([]message.PlaceResponse{before, after}, leavingResponse(message.Succeeded, 200), newResponse(message.Succeeded, 200))
	g.serve("POST", "/orders/1")
	assert.Equal(t, 200, g.serve("POST", "/orders/2").Code)
	assert.Len(t, g.sender.sent, 2)
}

// TestLeavingHeaderIsPassedOn checks that callers see the header, as any other header of the response.
func TestLeavingHeaderIsPassedOn(t *testing.T) {
	response := leavingResponse(message.Succeeded, 200)
	response.Headers.Set(platform.HeaderLeaving, "1")
	g := newTestGateway([]message.PlaceResponse{placement(1)}, response)
	assert.Equal(t, "1", g.serve("GET", "/reads/1").Header().Get(platform.HeaderLeaving))
}

// TestNoticeCountsForNewestIncarnation guards against requests to a leaving server after a restore of the store: the request whose response said
// so was placed for the server's former incarnation, whose entry came back for a while.
func TestNoticeCountsForNewestIncarnation(t *testing.T) {
	for _, c := range []struct {
		name   string
		listed int64
		sentTo []azuretiller.InstanceID
	}{
		{"the present incarnation was listed before", 2, []azuretiller.InstanceID{"b", "c"}},
		{"the present incarnation is new", 1, []azuretiller.InstanceID{"b", "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			former, present := placement(1), placement(2)
			former.Incarnation = 1
			present.Server, present.Incarnation = former.Server, 2
			good := newResponse(message.Succeeded, 200)
			g := newTestGateway([]message.PlaceResponse{former, present, placement(2)}, leavingResponse(message.Succeeded, 200), good)
			list := func(incarnation int64) []message.Server {
				return []message.Server{{ID: former.Server, Service: former.Service, Incarnation: incarnation}}
			}
			now := g.common.Clock.Now()
			g.gate.SetListed(now, list(c.listed))
			g.gate.SetListed(now, list(1))
			g.serve("POST", "/orders/1")
			g.gate.SetListed(now, list(2))
			g.gate.Expire(now, list(2))
			assert.Equal(t, 200, g.serve("POST", "/orders/2").Code)
			assert.Equal(t, c.sentTo, g.sender.sentTo())
		})
	}
}
