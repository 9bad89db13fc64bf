package gateway

import (
	"context"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/platform"
)

// TestRefusedCallersGetDifferentTimes guards against callers that are refused together and return together: the times differ by the id of
// the request, are the same for the same id, and are never before the time at which capacity is likely to be available.
func TestRefusedCallersGetDifferentTimes(t *testing.T) {
	retryAfter := func(id string) string {
		refused := message.PlaceResponse{Code: azuretiller.CodeOverloaded, Service: "s", RetryAfter: 400 * time.Millisecond, Term: 1}
		g := newTestGateway([]message.PlaceResponse{refused})
		g.current().SpreadRetryAfter = true
		r := httptest.NewRequestWithContext(context.Background(), "POST", "http://h/orders/1", strings.NewReader(""))
		r.Header.Set(platform.HeaderAttempt, id)
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		require.Equal(t, 503, w.Code)
		return w.Header().Get("Retry-After")
	}
	times := map[string]bool{}
	for i := range 40 {
		id := strconv.Itoa(i)
		got := retryAfter(id)
		assert.Equal(t, got, retryAfter(id))
		seconds, err := strconv.ParseFloat(got, 64)
		require.NoError(t, err)
		assert.GreaterOrEqual(t, seconds, 0.4)
		assert.LessOrEqual(t, seconds, 0.8)
		times[got] = true
	}
	assert.Greater(t, len(times), 15)
}
