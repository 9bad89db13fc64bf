package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/assert"
	"github.com/uber-go/tally/v4"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/solo"
	"github.com/azuretiller/azuretiller/pkg/systemclock"
	"github.com/azuretiller/azuretiller/pkg/upstream"
	"github.com/azuretiller/azuretiller/platform"
)

// fakeLink answers each question with the next grant.
type fakeLink struct {
	mu     sync.Mutex
	grants []message.Grant
	asked  []message.Ask
	calls  map[uint64]chan any
	last   uint64
	// reported has the addresses that results were reported to.
	reported chan string
}

func (l *fakeLink) Open() (uint64, <-chan any, func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	c := make(chan any, 4)
	l.calls[l.last] = c
	return l.last, c, func() {}
}

func (l *fakeLink) Send(to string, e message.Envelope) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch b := e.Body.(type) {
	case message.Ask:
		l.asked = append(l.asked, b)
		if len(l.grants) > 0 {
			l.calls[e.Call] <- l.grants[0]
			l.grants = l.grants[1:]
		}
	case message.Report:
		l.calls[e.Call] <- message.Seen{}
		l.reported <- to
	}
	return nil
}

// fakeSender gives the next answer.
type fakeSender struct {
	mu      sync.Mutex
	answers []upstream.Answer
	sent    []upstream.Attempt
}

func (s *fakeSender) Send(ctx context.Context, a upstream.Attempt) upstream.Answer {
	s.mu.Lock()
	s.sent = append(s.sent, a)
	answer := s.answers[0]
	s.answers = s.answers[1:]
	s.mu.Unlock()
	if answer.Result == message.Cancelled {
		<-ctx.Done()
	}
	return answer
}

type bench struct {
	state  atomic.Pointer[State]
	link   *fakeLink
	sender *fakeSender
	*Gateway
}

func newBench(grants []message.Grant, answers ...upstream.Answer) *bench {
	b := &bench{link: &fakeLink{calls: map[uint64]chan any{}, grants: grants, reported: make(chan string, 9)}, sender: &fakeSender{answers: answers}}
	c := &common.Common{Log: &log.Logger{Handler: discard.New()}, Clock: systemclock.New(), Metrics: tally.NoopScope}
	b.Gateway = New(c, b.state.Load, b.link, b.sender, solo.New("z", nil))
	b.state.Store(ready())
	return b
}

func ready() *State { return readyWithin(5 * time.Second) }

// readyWithin is the state of a VM whose routes have an objective.
func readyWithin(objective time.Duration) *State {
	route := func(id, prefix, idempotent string) config.Route {
		return config.Route{
			ID: azuretiller.RouteID(id), Host: "h", Prefix: prefix, Open: id != "keyed", Idempotent: idempotent, Timeout: 5 * time.Second, Attempts: 2,
			Objective: objective, Backends: []config.Backend{{Service: "s", Weight: 1}},
		}
	}
	return &State{InTouch: true, Leader: "10.0.0.1:1", Config: config.Assemble(config.Parts{
		Routes: []config.Route{route("reads", "/reads/", "yes"), route("orders", "/orders/", "no"), route("keyed", "/keyed/", "no")},
	})}
}

func grant(n message.TicketID) message.Grant {
	return message.Grant{Ticket: n, Server: azuretiller.InstanceID(rune('a' + int(n))), Address: "a:1", Service: "s", Code: azuretiller.CodeOK, Term: 1}
}

func refusal(code azuretiller.Code) message.Grant {
	return message.Grant{Code: code, RetryAfter: 250 * time.Millisecond, Term: 1}
}

func answered(result message.Result, status int) upstream.Answer {
	h := http.Header{}
	h.Set(platform.HeaderSignature, "signed")
	return upstream.Answer{Result: result, Status: status, Headers: h, Body: []byte("body")}
}

func (b *bench) serve(method, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	b.ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), method, "http://h"+path, strings.NewReader("")))
	return w
}

// TestWhatCallersGet goes through the results of attempts: what is sent again, and what the caller is told.
func TestWhatCallersGet(t *testing.T) {
	failed := answered(message.Failed, 500)
	shed := upstream.Answer{Result: message.Shed, Status: 503}
	reset := upstream.Answer{Result: message.Reset}
	unreachable := upstream.Answer{Result: message.Unreachable}
	good := answered(message.Succeeded, 200)
	for _, c := range []struct {
		name, path string
		grants     []message.Grant
		answers    []upstream.Answer
		status     int
		sent       int
		signed     bool
	}{
		{"served", "/orders/1", []message.Grant{grant(1)}, []upstream.Answer{good}, 200, 1, true},
		{"order failed", "/orders/1", []message.Grant{grant(1)}, []upstream.Answer{failed}, 500, 1, true},
		{"order reset", "/orders/1", []message.Grant{grant(1)}, []upstream.Answer{reset}, 502, 1, false},
		{"order shed then served", "/orders/1", []message.Grant{grant(1), grant(2)}, []upstream.Answer{shed, good}, 200, 2, true},
		{"order unreachable then served", "/orders/1", []message.Grant{grant(1), grant(2)}, []upstream.Answer{unreachable, good}, 200, 2, true},
		{"order shed twice", "/orders/1", []message.Grant{grant(1), grant(2)}, []upstream.Answer{shed, shed}, 503, 2, false},
		{"order shed then reset", "/orders/1", []message.Grant{grant(1), grant(2)}, []upstream.Answer{shed, reset}, 502, 2, false},
		{"order shed then refused", "/orders/1", []message.Grant{grant(1), refusal(azuretiller.CodeOverloaded)}, []upstream.Answer{shed}, 503, 1, false},
		{"read failed then served", "/reads/1", []message.Grant{grant(1), grant(2)}, []upstream.Answer{failed, good}, 200, 2, true},
		{"read failed then refused", "/reads/1", []message.Grant{grant(1), refusal(azuretiller.CodeOverloaded)}, []upstream.Answer{failed}, 500, 1, true},
		{"read reset then shed", "/reads/1", []message.Grant{grant(1), grant(2)}, []upstream.Answer{reset, shed}, 502, 2, false},
		{"beyond the rate", "/orders/1", []message.Grant{refusal(azuretiller.CodeRateExceeded)}, nil, 429, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(c.grants, c.answers...)
			w := b.serve("POST", c.path)
			assert.Equal(t, c.status, w.Code)
			assert.Len(t, b.sender.sent, c.sent)
			assert.Equal(t, c.signed, w.Header().Get(platform.HeaderSignature) != "")
			if platform.PromisesNotRun(c.status) {
				assert.NotEmpty(t, w.Header().Get("Retry-After"))
			}
		})
	}
}

func TestRequestWaitsForTheFirstLeader(t *testing.T) {
	b := newBench([]message.Grant{grant(1)}, answered(message.Succeeded, 200))
	waiting := &State{Unsettled: true}
	b.state.Store(waiting)
	looks := 0
	b.current = func() *State {
		// The leader is there at the third look.
		if looks++; looks == 3 {
			b.state.Store(ready())
		}
		return b.state.Load()
	}
	assert.Equal(t, 200, b.serve("POST", "/orders/1").Code)
}

func TestVMWithoutConfigurationRefuses(t *testing.T) {
	b := newBench(nil)
	b.state.Store(&State{})
	w := b.serve("GET", "/reads/1")
	assert.Equal(t, 503, w.Code)
	assert.NotEmpty(t, w.Header().Get("Retry-After"))
}

func TestSecondAttemptNamesTheServersThatWereTried(t *testing.T) {
	b := newBench([]message.Grant{grant(1), grant(2)}, answered(message.Failed, 500), answered(message.Succeeded, 200))
	b.serve("GET", "/reads/1")
	assert.Len(t, b.link.asked, 2)
	assert.Equal(t, []azuretiller.InstanceID{grant(1).Server}, b.link.asked[1].Tried)
	assert.Equal(t, message.Failed, b.link.asked[1].Last.Result)
	assert.Equal(t, []config.Backend{{Service: "s", Weight: 1}}, b.link.asked[1].Backends)
}

// TestSlowReadIsSentToASecondServer lets the first server never answer; only a request that may run twice goes to another one.
func TestSlowReadIsSentToASecondServer(t *testing.T) {
	b := newBench([]message.Grant{grant(1), grant(2)}, upstream.Answer{Result: message.Cancelled}, answered(message.Succeeded, 200))
	b.state.Store(readyWithin(50 * time.Millisecond))
	assert.Equal(t, 200, b.serve("GET", "/reads/1").Code)
	assert.Len(t, b.sender.sent, 2)
	assert.True(t, b.link.asked[1].Hedge)
}

// TestServersThatCannotBeReachedAreNoAttempts replays servers that are down together: what was not sent does not count towards the
// attempts of the route, up to a bound.
func TestServersThatCannotBeReachedAreNoAttempts(t *testing.T) {
	unreachable, down := upstream.Answer{Result: message.Unreachable}, upstream.Answer{Result: message.Down}
	b := newBench([]message.Grant{grant(1), grant(2), grant(3)}, unreachable, down, answered(message.Succeeded, 200))
	assert.Equal(t, 200, b.serve("POST", "/orders/1").Code)
	b = newBench(
		[]message.Grant{grant(1), grant(2), grant(3), grant(4), grant(5), grant(6)},
		down, down, down, down, down, answered(message.Succeeded, 200),
	)
	assert.Equal(t, 503, b.serve("POST", "/orders/1").Code)
	assert.Len(t, b.sender.sent, 2+mostUnsent)
}

// steppingClock moves on with each look at it.
type steppingClock struct{ now time.Time }

// Now returns the time.
func (c *steppingClock) Now() time.Time {
	c.now = c.now.Add(20 * time.Millisecond)
	return c.now
}

// TestRequestBeyondTheVMsPartOfTheRateWaitsForALeader replays the loss of a leader: what a VM may not grant on its own is served once
// there is a successor, and refused at once when none is expected.
func TestRequestBeyondTheVMsPartOfTheRateWaitsForALeader(t *testing.T) {
	for _, c := range []struct {
		expected bool
		status   int
	}{{true, 200}, {false, 503}} {
		b := newBench([]message.Grant{grant(1)}, answered(message.Succeeded, 200))
		b.solo = solo.New("z", rand.New(rand.NewPCG(1, 2)))
		state := func(inTouch bool) *State {
			s := ready()
			s.InTouch, s.Unsettled = inTouch, c.expected
			if inTouch {
				s.Leader = "10.0.0.2:1"
			}
			s.Config.Teams = map[azuretiller.TeamID]config.Team{"team": {ID: "team", Rate: 1}}
			s.Config.Keys = map[azuretiller.KeyHash]azuretiller.TeamID{azuretiller.HashKey("key"): "team"}
			return s
		}
		clock := &steppingClock{now: time.Now()}
		b.common.Clock = clock
		there := clock.now.Add(leaderWait + 100*time.Millisecond)
		b.current = func() *State { return state(c.expected && clock.now.After(there)) }
		r := httptest.NewRequestWithContext(context.Background(), "POST", "http://h/keyed/1", strings.NewReader(""))
		r.Header.Set("Authorization", "Bearer key")
		w := httptest.NewRecorder()
		b.ServeHTTP(w, r)
		assert.Equal(t, c.status, w.Code)
		if c.expected {
			assert.Equal(t, "10.0.0.2:1", <-b.link.reported, "the leader that granted the server gets the result")
		}
	}
}
