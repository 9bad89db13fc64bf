package edge

import (
	"bytes"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/explanation"
	"github.com/azuretiller/azuretiller/pkg/gateway"
	"github.com/azuretiller/azuretiller/pkg/leader"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
	"github.com/azuretiller/azuretiller/pkg/shareledger"
	"github.com/azuretiller/azuretiller/pkg/tokenbucket"
)

// fixedClock always returns the same time.
type fixedClock struct{ now time.Time }

func (c fixedClock) Now() time.Time { return c.now }

const (
	explainedKey = "secret-key"
	// joiningTime is the age of the leader, after which it has all shares of the rates.
	joiningTime = 5 * time.Second
)

func explainedConfig() *config.Config {
	token := azuretiller.TokenCost
	return config.Assemble(config.Parts{
		Version: "r7", Revision: 7,
		Routes: []config.Route{{
			ID: "orders", Host: "gateway.example", Prefix: "/orders/", Idempotent: "no", Timeout: 3 * time.Second, TargetLatency: time.Second, Priority: 1,
			Backends: []config.Backend{{Service: "shop", Weight: 1}},
		}},
		Teams: []config.KeyedTeam{{Team: config.Team{ID: "team-a", Rate: 2 * token, Burst: 8 * token}, Keys: []string{explainedKey}}},
	})
}

// newExplainedEdge returns a VM that leads and has two servers of two slots, and whose control goroutine handles explanations only. used is the
// number of requests that it has placed already.
func newExplainedEdge(t *testing.T, used int) *Edge {
	t.Helper()
	e := newTestEdge(nil)
	now := time.Unix(1_000_000, 0)
	e.common.Clock = fixedClock{now}
	c := explainedConfig()
	e.leader = leader.New(now.Add(-joiningTime), e.params(), e.check, 1, e.self.ID, e.self.PeerAddress, shareledger.Claimed(azuretiller.LeaderRecord{}, e.self.ID), nil)
	e.leader.SetConfig(now.Add(-joiningTime), c)
	joinLeader(e, now)
	e.leader.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"shop": {
		{ID: "near", Address: "10.1.0.1:80", Zone: "z", Slots: 2},
		{ID: "far", Address: "10.1.0.2:80", Zone: "y", Slots: 2, ColdUntil: now.Add(time.Minute), ColdRate: 9},
		{ID: "shut", Address: "10.1.0.3:80", Zone: "y", Slots: 2, Closed: true},
	}})
	for call := range used {
		e.leader.Receive(now, e.self.PeerAddress, message.Envelope{Call: uint64(call + 1), Body: message.PlaceRequest{
			Route: "orders", Team: "team-a", Backends: []config.Backend{{Service: "shop", Weight: 1}}, Timeout: 3 * time.Second, SoftTimeout: time.Second, Attempt: 1, Idempotent: true,
		}})
	}
	e.gateway = gateway.New(e.common, e.State, nil, nil, e.placer, e.gate)
	e.state.Store(&gateway.State{VM: "vm", Zone: "z", Config: c, Term: 1, LeaderAddress: e.self.PeerAddress, LeaderReachable: true})
	go func() {
		for {
			select {
			case event := <-e.inbox:
				event.(func())()
			case <-t.Context().Done():
				return
			}
		}
	}()
	return e
}

// joinLeader exchanges heartbeats until now, so that the leader of the VM spends the whole rates.
func joinLeader(e *Edge, now time.Time) {
	hb := message.Heartbeat{VM: e.self.ID, Incarnation: 1, Zone: e.self.Zone, Ready: true, Term: 1}
	for at := now.Add(-joiningTime); !at.After(now); at = at.Add(50 * time.Millisecond) {
		for _, effect := range e.leader.Receive(at, e.self.PeerAddress, message.Envelope{Body: hb}) {
			if send, ok := effect.(leader.Send); ok {
				if r, ok := send.Message.Body.(message.HeartbeatResponse); ok {
					hb.Stamp, hb.Share = r.Stamp, r.Share
				}
			}
		}
		for _, effect := range e.leader.Tick(at) {
			if _, ok := effect.(leader.WriteRates); ok {
				e.leader.RatesWritten(at, nil)
			}
		}
		e.leader.ConfirmTerm(at, 0, e.leader.Rates())
	}
}

// silentAddress returns the host:port of a listener that accepts connections and never answers.
func silentAddress(t *testing.T) string {
	t.Helper()
	var listenConfig net.ListenConfig
	l, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// TestExplanationText guards against explanations that name the wrong reason or leave out what it depends on.
func TestExplanationText(t *testing.T) {
	g := goldie.New(t)
	request := explanation.Request{Host: "gateway.example", Path: "/orders/17", Method: http.MethodPost, Key: explainedKey}
	for _, test := range []struct {
		name, outcome string
		used          int
		withoutLeader bool
	}{
		{"explain_placed", explanation.Placed, 0, false},
		{"explain_waits", explanation.Waits, 4, false},
		{"explain_refused_by_rate", explanation.Refused, 8, false},
		{"explain_no_leader", explanation.Placed, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			e := newExplainedEdge(t, test.used)
			if test.withoutLeader {
				now := e.common.Clock.Now()
				e.placer.SetLimits(now.Add(-joiningTime), tokenbucket.Limits(explainedConfig()))
				e.placer.SetShare(now.Add(-joiningTime), azuretiller.WholeRate/4)
				state := *e.State()
				state.LeaderAddress = silentAddress(t)
				state.Servers = []message.Server{
					{ID: "near", Service: "shop", Zone: "z", Slots: 2, Success: 80},
					{ID: "far", Service: "shop", Zone: "y", Slots: 2, Success: 90},
					{ID: "shut", Service: "shop", Zone: "z", Slots: 2, Success: 90, Closed: true},
				}
				e.state.Store(&state)
			}
			answer, err := newExplainer(e).explain(t.Context(), request)
			require.NoError(t, err)
			assert.Equal(t, test.outcome, answer.Outcome)
			var text bytes.Buffer
			require.NoError(t, answer.WriteText(&text))
			assert.NotContains(t, text.String(), explainedKey)
			g.Assert(t, test.name, text.Bytes())
		})
	}
}

// TestExplanationsAreLimited guards against operators who keep the leader from placing requests, and against keys in log lines and errors.
func TestExplanationsAreLimited(t *testing.T) {
	e := newExplainedEdge(t, 0)
	logs := memory.New()
	e.common.Log = &log.Logger{Handler: logs, Level: log.DebugLevel}
	x := newExplainer(e)
	ask := func(body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		x.serve(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, explanation.Path, strings.NewReader(body)))
		return w
	}
	for range explainSlots {
		x.operators <- struct{}{}
	}
	w := ask(`{"host":"gateway.example","path":"/orders/17","key":"secret-key"}`)
	assert.Equal(t, http.StatusServiceUnavailable, w.Code)
	for range explainSlots {
		<-x.operators
	}
	for body, status := range map[string]int{
		`{"host":"gateway.example","path":"secret-key","key":"secret-key"}`: http.StatusBadRequest,
		`{"secret-key":`: http.StatusBadRequest,
		`{"key":"` + strings.Repeat("secret-key", explanation.MaxRequestBytes) + `"}`: http.StatusRequestEntityTooLarge,
		`{"host":"gateway.example","path":"/orders/17","key":"secret-key"}`:           http.StatusOK,
	} {
		require.Eventually(t, func() bool { return len(x.operators) == 0 }, time.Minute, time.Millisecond)
		w := ask(body)
		assert.Equal(t, status, w.Code)
		assert.NotContains(t, w.Body.String(), explainedKey)
	}
	assert.Empty(t, logs.Entries)
}
