package pipeline

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

// TestIdleConnectionsStaySmall guards against memory and goroutines of idle connections, of which a VM of 136 MB has up to 2,870. The
// measurement includes net/http and both ends of the connections, whose share is measured without the listener and subtracted.
func TestIdleConnectionsStaySmall(t *testing.T) {
	// maxAdded is what the listener may add for an idle connection in bytes. It adds 0.9 KB; pools that are emptied between two measurements
	// change the result by as much.
	const maxAdded = 2 << 10
	_, _ = measureIdle(t, false, 1)
	plain, plainRoutines := measureIdle(t, false, 1)
	for _, c := range []struct {
		name     string
		requests int
	}{{"one request", 1}, {"pipelined requests", maxRequests}} {
		t.Run(c.name, func(t *testing.T) {
			heap, routines := measureIdle(t, true, c.requests)
			t.Logf("an idle connection takes %d bytes of the heap with the listener, and %d without", heap, plain)
			assert.Less(t, heap-plain, maxAdded)
			assert.Equal(t, plainRoutines, routines, "goroutines for each connection")
		})
	}
}

// measureIdle returns the bytes and the goroutines for each connection that is idle after the given number of requests.
func measureIdle(t *testing.T, wrapped bool, requests int) (heap, routines int) {
	t.Helper()
	const connections = 400
	var config net.ListenConfig
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	server := newHTTPServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(time.Millisecond) }))
	if wrapped {
		p := New(l, newCommon(tally.NoopScope), server.Handler, func(*http.Request) bool { return true })
		l, server.Handler, server.ConnContext = p, p.Handler(), p.ConnContext
	}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	before, routinesBefore := used()
	var conns []net.Conn
	for range connections {
		conns = append(conns, requestOn(t.Context(), t, address, requests))
	}
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	// The goroutines that read ahead end after the last response has been sent.
	for end := time.Now().Add(testIdleTimeout / 3); runtime.NumGoroutine()-routinesBefore > connections && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	after, routinesAfter := used()
	return (after - before) / connections, (routinesAfter - routinesBefore) / connections
}

func requestOn(ctx context.Context, t *testing.T, address string, requests int) net.Conn {
	t.Helper()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	require.NoError(t, err)
	_, err = io.WriteString(c, strings.Repeat(get("/safe/1"), requests))
	require.NoError(t, err)
	reader := bufio.NewReader(c)
	for range requests {
		r, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		require.NoError(t, r.Body.Close())
	}
	return c
}

// used returns the bytes of the heap that are reachable, and the number of goroutines.
func used() (heap, routines int) {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc), runtime.NumGoroutine()
}
