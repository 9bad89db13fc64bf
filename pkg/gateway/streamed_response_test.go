package gateway

import (
	"io"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/platform"
)

// brokenBody is a response body that breaks off after its first bytes.
type brokenBody struct{ started bool }

func (b *brokenBody) Read(p []byte) (int, error) {
	if b.started {
		return 0, errors.New("connection reset")
	}
	b.started = true
	return len(p), nil
}

func (b *brokenBody) Close() error { return nil }

// slowBody is a response body without an end that comes slowly.
type slowBody struct{}

func (slowBody) Read(p []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	return min(len(p), 100), nil
}

func (slowBody) Close() error { return nil }

// TestStreamedResponseThatFailsIsReported guards against backend servers that go on to count as healthy, and whose slots stay occupied, after
// responses that break off or do not end while they are sent to the caller.
func TestStreamedResponseThatFailsIsReported(t *testing.T) {
	for _, test := range []struct {
		name    string
		body    io.ReadCloser
		timeout string
		// caller says how the caller reads the response.
		caller callerKind
		result message.Result
	}{
		{"the server breaks off", &brokenBody{}, "5000", readsAll, message.Failed},
		{"the body does not end", slowBody{}, "50", readsAll, message.TimedOut},
		{"the caller leaves", make(endlessBody), "5000", leaves, message.Cancelled},
		{"the caller does not read", make(endlessBody), "50", readsNothing, message.Cancelled},
	} {
		t.Run(test.name, func(t *testing.T) {
			response := newResponse(message.Succeeded, 200)
			response.RemainingBody = test.body
			g := newTestGateway([]message.PlaceResponse{placement(1)}, response)
			server := httptest.NewServer(g)
			defer server.Close()
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			_, err = io.WriteString(conn, "GET /reads/1 HTTP/1.1\r\nHost: h\r\n"+platform.HeaderDeadline+": "+test.timeout+"\r\n\r\n")
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			switch test.caller {
			case readsNothing:
			case leaves:
				_, err = io.ReadFull(conn, make([]byte, 1<<10))
				require.NoError(t, err)
				require.NoError(t, conn.Close())
			case readsAll:
				data, _ := io.ReadAll(conn)
				assert.NotContains(t, string(data[max(0, len(data)-5):]), "0\r\n\r\n", "the response does not look complete")
			}
			select {
			case <-g.transport.reportedTo:
			case <-time.After(testTimeout):
				t.Fatal("no report")
			}
			assert.Equal(t, test.result, g.transport.reports[0].Result)
		})
	}
}

const testTimeout = 10 * time.Second

// callerKind is the behaviour of a caller.
type callerKind int

const (
	// readsAll reads the response to its end.
	readsAll callerKind = iota
	// leaves disconnects in the middle of the response.
	leaves
	// readsNothing keeps the connection open and reads nothing.
	readsNothing
)
