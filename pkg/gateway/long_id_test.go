package gateway

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/platform"
)

// TestLongIDStaysOutOfLogAndMessages guards against ids as long as a head, which callers choose: they would fill the buffer of the log, the queue
// of the leader and a datagram for each attempt. The server and the caller get the whole id.
func TestLongIDStaysOutOfLogAndMessages(t *testing.T) {
	const bound = 256
	id := strings.Repeat("i", 15<<10)
	g := newTestGateway([]message.PlaceResponse{placement(1), refusal(3002)}, newResponse(message.Succeeded, 200))
	lines := memory.New()
	g.common.Log = &log.Logger{Handler: lines}
	for range 2 {
		r := httptest.NewRequestWithContext(context.Background(), "POST", "http://h/orders/1", strings.NewReader(""))
		r.Header.Set(platform.HeaderAttempt, id)
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		if w.Code != 200 {
			assert.Equal(t, id, w.Header().Get(platform.HeaderAttempt))
		}
	}
	require.Len(t, g.sender.sent, 1)
	assert.Equal(t, id, g.sender.sent[0].ID)
	require.Len(t, g.transport.placeRequests, 2)
	for _, r := range g.transport.placeRequests {
		assert.Less(t, len(r.Request), bound)
		assert.True(t, strings.HasPrefix(r.Request, "iiii"), "the log can be searched for its start")
	}
	require.NotEmpty(t, lines.Entries)
	for _, e := range lines.Entries {
		logged, ok := e.Fields["request"].(string)
		require.True(t, ok)
		assert.Less(t, len(logged), bound)
	}
}
