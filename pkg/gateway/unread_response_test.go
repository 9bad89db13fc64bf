package gateway

import (
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/platform"
)

// TestUnreadResponseEndsRequest guards against callers that never read a complete response, and whose requests and connections stay for good.
func TestUnreadResponseEndsRequest(t *testing.T) {
	response := newResponse(message.Succeeded, 200)
	// The body is larger than the buffers of the connection.
	response.Body = make([]byte, 64<<20)
	g := newTestGateway([]message.PlaceResponse{placement(1)}, response)
	server := httptest.NewServer(g)
	defer server.Close()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /reads/1 HTTP/1.1\r\nHost: h\r\n"+platform.HeaderDeadline+": 50\r\n\r\n")
	require.NoError(t, err)
	select {
	case <-g.transport.reportedTo:
	case <-time.After(testTimeout):
		t.Fatal("no report")
	}
	assert.Eventually(t, func() bool { return g.Running() == 0 }, testTimeout, 10*time.Millisecond)
}
