package pipeline

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestManySlowReadersStayWithinMemory guards against callers that send many requests and read no response: 40 connections with 8 requests of
// 100 KB each, that is 32 MB.
func TestManySlowReadersStayWithinMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			callers, size = 40, 100 << 10
			timeout       = 3 * time.Second
		)
		var mu sync.Mutex
		recorded := 0
		s := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout))
			w.Header().Set("Content-Length", fmt.Sprint(size))
			if n, err := w.Write(make([]byte, size)); err == nil {
				mu.Lock()
				defer mu.Unlock()
				recorded += n
			}
		})
		for range callers {
			c := s.dial()
			for range maxRequests {
				c.send(get("/safe/1"))
				synctest.Wait()
			}
		}
		mu.Lock()
		assert.Greater(t, recorded, maxResponses/2)
		assert.LessOrEqual(t, recorded, maxResponses)
		mu.Unlock()
		time.Sleep(timeout + minReadTime)
		synctest.Wait()
		assert.Zero(t, s.Outstanding(), "the connections have been closed")
		requireNothingHeld(t, s)
	})
}

// TestSocketOfSlowReaderHoldsLittle guards against responses that fill the buffers of the operating system, up to several megabytes for each
// connection whose caller does not read.
func TestSocketOfSlowReaderHoldsLittle(t *testing.T) {
	const (
		piece = 16 << 10
		// maxTaken allows for what the operating system adds to the sizes of both buffers.
		maxTaken = 6 * maxWriteBuffer
	)
	var taken atomic.Int64
	address := startOnLoopback(t, func(w http.ResponseWriter, _ *http.Request) {
		assert.NoError(t, http.NewResponseController(w).SetWriteDeadline(time.Now().Add(300*time.Millisecond)))
		for {
			n, err := w.Write(make([]byte, piece))
			taken.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	var dialer net.Dialer
	c, err := dialer.DialContext(t.Context(), "tcp", address)
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(piece))
	_, err = io.WriteString(c, get("/x"))
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	time.Sleep(time.Second)
	t.Logf("%d bytes were taken", taken.Load())
	assert.Less(t, taken.Load(), int64(maxTaken))
}
