package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/platform"
)

// earlyRecorder is the writer of a request that was read a second ago.
type earlyRecorder struct {
	*httptest.ResponseRecorder
	readAt time.Time
	turn   func(time.Duration, bool)
}

// ReadAt returns the time at which the request was read.
func (r *earlyRecorder) ReadAt() time.Time { return r.readAt }

// AfterTurn keeps the function.
func (r *earlyRecorder) AfterTurn(f func(time.Duration, bool)) { r.turn = f }

// TestDeadlineOfRequestReadAheadBeginsWhenItWasRead guards against servers that get more time than the caller waits.
func TestDeadlineOfRequestReadAheadBeginsWhenItWasRead(t *testing.T) {
	g := newTestGateway([]message.PlaceResponse{placement(1)}, newResponse(message.Succeeded, 200))
	w := &earlyRecorder{ResponseRecorder: httptest.NewRecorder(), readAt: time.Now().Add(-time.Second)}
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/reads/1", nil)
	r.Header.Set(platform.HeaderDeadline, "3000")
	g.ServeHTTP(w, r)
	require.Len(t, g.sender.sent, 1)
	assert.Equal(t, w.readAt.Add(3*time.Second), g.sender.sent[0].Deadline)
}

// TestRequestReadAheadIsLoggedAtItsTurn guards against log lines that do not say how long a response waited, or that call one delivered
// whose connection was closed.
func TestRequestReadAheadIsLoggedAtItsTurn(t *testing.T) {
	for _, delivered := range []bool{true, false} {
		g := newTestGateway([]message.PlaceResponse{placement(1)}, newResponse(message.Succeeded, 200))
		lines := memory.New()
		g.common.Log = &log.Logger{Handler: lines}
		w := &earlyRecorder{ResponseRecorder: httptest.NewRecorder(), readAt: time.Now()}
		g.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/reads/1", nil))
		assert.Empty(t, lines.Entries)
		w.turn(time.Minute, delivered)
		require.Len(t, lines.Entries, 1)
		fields := lines.Entries[0].Fields
		assert.Equal(t, time.Minute, fields["turn"])
		assert.Less(t, fields["took"], time.Minute)
		code := azuretiller.CodeOK
		if !delivered {
			code = azuretiller.CodeCancelled
		}
		assert.Equal(t, int(code), fields["code"])
	}
}

// TestOnlyIdempotentRequestsAreReadAhead guards against requests that run although their caller sends them again, and against requests that
// a stopping VM takes on.
func TestOnlyIdempotentRequestsAreReadAhead(t *testing.T) {
	g := newTestGateway(nil)
	mayReadAhead := func(url string) bool {
		return g.MayReadAhead(httptest.NewRequestWithContext(t.Context(), http.MethodGet, url, nil))
	}
	assert.True(t, mayReadAhead("http://h/reads/1"))
	assert.True(t, mayReadAhead("http://H:80/reads/1"))
	assert.False(t, mayReadAhead("http://h/orders/1"), "not idempotent")
	assert.False(t, mayReadAhead("http://h/unknown"), "no route")
	assert.False(t, mayReadAhead("http://other/reads/1"), "no route of the host")
	leaving := readyState()
	leaving.Leaving = true
	g.state.Store(leaving)
	assert.False(t, mayReadAhead("http://h/reads/1"), "the VM is leaving")
	g.state.Store(readyState())
	g.StopAt(time.Now().Add(time.Hour))
	assert.False(t, mayReadAhead("http://h/reads/1"), "the VM stops")
	g.state.Store(&State{})
	assert.False(t, mayReadAhead("http://h/reads/1"), "no configuration")
}
