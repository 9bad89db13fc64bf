package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/upstream"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	// largeUpload is more than a VM buffers of one request.
	largeUpload = 4 << 20
	slowCaller  = 300 * time.Millisecond
)

// pipeListener accepts connections in memory, so that tests can use virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error { close(l.closed); return nil }

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// uploadTest is a VM with real HTTP towards the caller; the test plays the caller and the backend servers.
type uploadTest struct {
	*testGateway
	caller net.Conn
	reader *bufio.Reader
	// attempts receives the requests that reach backend servers.
	attempts chan upstream.Attempt
	// results are the responses of the backend servers.
	results chan upstream.Response
}

// Send passes the attempt to the test and returns its response.
func (u *uploadTest) Send(ctx context.Context, a upstream.Attempt) upstream.Response {
	u.attempts <- a
	select {
	case r := <-u.results:
		return r
	case <-ctx.Done():
		result := message.Cancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			result = message.TimedOut
		}
		return upstream.Response{Result: result, Err: ctx.Err()}
	}
}

// startUpload runs a VM whose leader grants the given number of attempts.
func startUpload(t *testing.T, attempts int) *uploadTest {
	t.Helper()
	var placements []message.PlaceResponse
	for i := range attempts {
		placements = append(placements, placement(message.TicketID(i+1)))
	}
	u := &uploadTest{testGateway: newTestGateway(placements), attempts: make(chan upstream.Attempt, 9), results: make(chan upstream.Response, 9)}
	u.Gateway.sender = u
	l := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
	server := &http.Server{Handler: u.Gateway, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		_ = server.Close()
		// net/http waits before it closes a connection with an unread body.
		time.Sleep(time.Minute)
	})
	var conn net.Conn
	u.caller, conn = net.Pipe()
	l.conns <- conn
	u.reader = bufio.NewReader(u.caller)
	t.Cleanup(func() { _ = u.caller.Close() })
	return u
}

// sendHead sends the head of a request, without its last line.
func (u *uploadTest) sendHead(t *testing.T, path, more string) {
	t.Helper()
	_, err := fmt.Fprintf(u.caller, "POST %s HTTP/1.1\r\nHost: h\r\n%s: id\r\n%s\r\n", path, platform.HeaderAttempt, more)
	require.NoError(t, err)
}

func (u *uploadTest) send(t *testing.T, data string) {
	t.Helper()
	_, err := io.WriteString(u.caller, data)
	require.NoError(t, err)
}

// answer is a response that the caller read completely.
type answer struct {
	status int
	header http.Header
	// closes means that the connection cannot be used again.
	closes bool
}

func (u *uploadTest) receive(t *testing.T) answer {
	t.Helper()
	r, err := http.ReadResponse(u.reader, &http.Request{Method: http.MethodPost})
	require.NoError(t, err)
	defer func() { _ = r.Body.Close() }()
	_, err = io.Copy(io.Discard, r.Body)
	require.NoError(t, err)
	return answer{status: r.StatusCode, header: r.Header, closes: r.Close}
}

// TestUploadIsSentToAnotherServerAfterProof checks that a buffered upload is sent once more, whole, when the first server proved that it
// did not run.
func TestUploadIsSentToAnotherServerAfterProof(t *testing.T) {
	for _, framing := range []string{"Content-Length: 400000\r\n", "Transfer-Encoding: chunked\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			u := startUpload(t, 2)
			u.sendHead(t, "/orders/1", framing)
			body := strings.Repeat("abcd", 100000)
			if strings.HasPrefix(framing, "Transfer") {
				u.send(t, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body))
			} else {
				u.send(t, body)
			}
			for _, r := range []upstream.Response{{Result: message.Shed}, newResponse(message.Succeeded, 200)} {
				a := <-u.attempts
				got, err := io.ReadAll(a.Body)
				require.NoError(t, err)
				assert.Equal(t, body, string(got))
				assert.Equal(t, int64(len(body)), a.BodySize)
				u.results <- r
			}
			assert.Equal(t, 200, u.receive(t).status)
		})
	}
}

// TestUploadDoesNotOccupyServerWhileCallerSends checks that no server is reserved for a request whose body is still on its way.
func TestUploadDoesNotOccupyServerWhileCallerSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := startUpload(t, 1)
		u.sendHead(t, "/orders/1", "Content-Length: 2000\r\n")
		u.send(t, strings.Repeat("x", 1000))
		time.Sleep(slowCaller)
		synctest.Wait()
		assert.Empty(t, u.transport.placeRequests)
		u.send(t, strings.Repeat("x", 1000))
		<-u.attempts
		u.results <- newResponse(message.Succeeded, 200)
		assert.Equal(t, 200, u.receive(t).status)
	})
}

// TestLargeUploadIsStreamedWithBackpressure guards against bodies that fill the memory of the VM: a caller cannot send more than the buffer
// while the server reads nothing.
func TestLargeUploadIsStreamedWithBackpressure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := startUpload(t, 1)
		u.sendHead(t, "/orders/1", fmt.Sprintf("Content-Length: %d\r\n", largeUpload))
		accepted := make(chan int, largeUpload)
		go func() {
			for piece := make([]byte, 1<<10); ; {
				n, err := u.caller.Write(piece)
				if accepted <- n; err != nil {
					return
				}
			}
		}()
		a := <-u.attempts
		synctest.Wait()
		assert.Less(t, len(accepted)<<10, maxBufferedRequest+(64<<10))
		n, err := io.Copy(io.Discard, a.Body)
		require.NoError(t, err)
		assert.Equal(t, int64(largeUpload), n)
		assert.True(t, u.bodies.Take(maxBufferedRequests), "the buffer is returned once the body exceeds it")
		u.results <- newResponse(message.Succeeded, 200)
		assert.Equal(t, 200, u.receive(t).status)
	})
}

// TestStreamedUploadIsSentOnce checks that a refusal of a server that got a part of a body which is not buffered reaches the caller as such.
func TestStreamedUploadIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := startUpload(t, 2)
		u.sendHead(t, "/orders/1", fmt.Sprintf("Content-Length: %d\r\n", largeUpload))
		go func() { _, _ = io.Copy(u.caller, io.LimitReader(zeros{}, largeUpload)) }()
		a := <-u.attempts
		_, err := io.CopyN(io.Discard, a.Body, 2*maxBufferedRequest)
		require.NoError(t, err)
		u.results <- upstream.Response{Result: message.Shed}
		r := u.receive(t)
		assert.Equal(t, 503, r.status)
		assert.NotEmpty(t, r.header.Get("Retry-After"))
		assert.Empty(t, u.attempts)
	})
}

// TestSlowCallerIsNoEvidenceAgainstServer checks that the time a caller takes to send a streamed body, and the failure to send it at all,
// do not count against the server.
func TestSlowCallerIsNoEvidenceAgainstServer(t *testing.T) {
	for _, c := range []struct {
		name   string
		finish bool
		result message.Result
		status int
	}{
		{"slow", true, message.Succeeded, 200},
		{"too slow", false, message.Cancelled, 502},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := startUpload(t, 1)
				u.sendHead(t, "/orders/1", fmt.Sprintf("Content-Length: %d\r\n", largeUpload))
				go func() {
					_, _ = io.Copy(u.caller, io.LimitReader(zeros{}, largeUpload/2))
					time.Sleep(slowCaller)
					if c.finish {
						_, _ = io.Copy(u.caller, io.LimitReader(zeros{}, largeUpload/2))
					}
				}()
				a := <-u.attempts
				_, err := io.Copy(io.Discard, a.Body)
				if c.finish {
					require.NoError(t, err)
					u.results <- newResponse(message.Succeeded, 200)
				} else {
					require.Error(t, err)
					time.Sleep(time.Second)
				}
				assert.Equal(t, c.status, u.receive(t).status)
				synctest.Wait()
				require.Len(t, u.transport.reports, 1)
				assert.Equal(t, c.result, u.transport.reports[0].Result)
				assert.Less(t, u.transport.reports[0].Took, slowCaller)
			})
		})
	}
}

// TestSlowBodyIsRefusedAtDeadline guards against callers that occupy the VM for as long as they like by not sending the body.
func TestSlowBodyIsRefusedAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := startUpload(t, 1)
		started := time.Now()
		u.sendHead(t, "/orders/1", "Content-Length: 2000\r\n"+platform.HeaderDeadline+": 1500\r\n")
		u.send(t, "start")
		r := u.receive(t)
		assert.Equal(t, 408, r.status)
		assert.NotEmpty(t, r.header.Get("Retry-After"))
		assert.Equal(t, 1500*time.Millisecond, time.Since(started))
		assert.Empty(t, u.transport.placeRequests)
	})
}

// TestRefusalDoesNotWaitForBody guards against callers that send a whole body, with or without a 100 Continue, before they learn that it is
// not wanted.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	for _, expect := range []string{"", "Expect: 100-continue\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			u := startUpload(t, 1)
			started := time.Now()
			u.sendHead(t, "/unknown/1", "Content-Length: 2000\r\n"+expect)
			assert.Equal(t, 404, u.receive(t).status)
			assert.Equal(t, started, time.Now())
		})
	}
}

// TestContinueIsSentBeforeBody checks that a caller that waits for permission to send its body gets it.
func TestContinueIsSentBeforeBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := startUpload(t, 1)
		u.sendHead(t, "/orders/1", "Content-Length: 4\r\nExpect: 100-continue\r\n")
		assert.Equal(t, 100, u.receive(t).status)
		u.send(t, "data")
		a := <-u.attempts
		assert.Empty(t, a.Headers.Get("Expect"))
		u.results <- newResponse(message.Succeeded, 200)
		assert.Equal(t, 200, u.receive(t).status)
	})
}

// TestEarlyResponseReachesSlowCaller checks that the response of a server which did not wait for the body is not held back until the caller
// has sent it.
func TestEarlyResponseReachesSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := startUpload(t, 1)
		u.sendHead(t, "/orders/1", fmt.Sprintf("Content-Length: %d\r\n", largeUpload))
		go func() { _, _ = io.Copy(u.caller, io.LimitReader(zeros{}, largeUpload/2)) }()
		a := <-u.attempts
		_, err := io.CopyN(io.Discard, a.Body, largeUpload/2)
		require.NoError(t, err)
		go func() { _, _ = io.Copy(io.Discard, a.Body) }()
		synctest.Wait()
		started := time.Now()
		u.results <- newResponse(message.Succeeded, 200)
		r := u.receive(t)
		assert.Equal(t, 200, r.status)
		assert.True(t, r.closes, "the connection has too much of the body left to be used again")
		assert.Equal(t, started, time.Now())
	})
}

// TestBrokenUploadIsNeverWhole guards against servers that run a request of which they got only a part.
func TestBrokenUploadIsNeverWhole(t *testing.T) {
	for _, c := range []struct{ name, framing, sent string }{
		{"length, small", "Content-Length: 2000\r\n", strings.Repeat("x", 1000)},
		{"chunked, small", "Transfer-Encoding: chunked\r\n", "400\r\n" + strings.Repeat("x", 1024) + "\r\n"},
		{"length, streamed", fmt.Sprintf("Content-Length: %d\r\n", largeUpload), strings.Repeat("x", largeUpload/2)},
		{"chunked, streamed", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", largeUpload, strings.Repeat("x", largeUpload))},
		{"chunk without end", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s", largeUpload, strings.Repeat("x", largeUpload/2))},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := startUpload(t, 1)
				u.sendHead(t, "/orders/1", c.framing)
				go func() {
					_, _ = io.WriteString(u.caller, c.sent)
					_ = u.caller.Close()
				}()
				synctest.Wait()
				if !strings.Contains(c.name, "small") {
					a := <-u.attempts
					_, err := io.Copy(io.Discard, a.Body)
					require.Error(t, err)
					u.results <- upstream.Response{Result: message.Cancelled}
					synctest.Wait()
					require.Len(t, u.transport.reports, 1)
					assert.Equal(t, message.Cancelled, u.transport.reports[0].Result)
				}
				synctest.Wait()
				assert.Empty(t, u.attempts)
				assert.Zero(t, u.Running())
				assert.True(t, u.bodies.Take(maxBufferedRequests), "the buffer is returned")
			})
		})
	}
}

// TestStoppingVMRefusesUploadThatIsBeingRead guards against uploads that a VM reads until it stops, although it could tell the caller to use
// another VM.
func TestStoppingVMRefusesUploadThatIsBeingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := startUpload(t, 1)
		u.sendHead(t, "/orders/1", "Content-Length: 2000\r\n")
		u.send(t, "start")
		synctest.Wait()
		started := time.Now()
		u.StopAt(started.Add(time.Second))
		r := u.receive(t)
		assert.Equal(t, 503, r.status)
		assert.NotEmpty(t, r.header.Get("Retry-After"))
		assert.Equal(t, started, time.Now())
		assert.Empty(t, u.transport.placeRequests)
	})
}

// TestManyUploadsStayWithinMemory checks that uploads which come while the memory for buffers is used up are streamed.
func TestManyUploadsStayWithinMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := startUpload(t, 1)
		require.True(t, u.bodies.Take(maxBufferedRequests))
		u.sendHead(t, "/orders/1", "Content-Length: 400000\r\n")
		go func() { _, _ = io.Copy(u.caller, io.LimitReader(zeros{}, 400000)) }()
		a := <-u.attempts
		n, err := io.Copy(io.Discard, a.Body)
		require.NoError(t, err)
		assert.Equal(t, int64(400000), n)
		u.results <- newResponse(message.Succeeded, 200)
		assert.Equal(t, 200, u.receive(t).status)
		u.bodies.Put(maxBufferedRequests)
		assert.True(t, u.bodies.Take(maxBufferedRequests))
	})
}

// TestBodyOfUnknownSizeThatIsTooLong checks the answer to a chunked body that exceeds the limit of the configuration.
func TestBodyOfUnknownSizeThatIsTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := startUpload(t, 1)
		u.sendHead(t, "/orders/1", "Transfer-Encoding: chunked\r\n")
		go func() {
			for {
				if _, err := fmt.Fprintf(u.caller, "%x\r\n%s\r\n", largeUpload, strings.Repeat("x", largeUpload)); err != nil {
					return
				}
			}
		}()
		a := <-u.attempts
		n, err := io.Copy(io.Discard, a.Body)
		require.Error(t, err)
		assert.LessOrEqual(t, n, int64(defaultMaxBody))
		u.results <- upstream.Response{Result: message.Cancelled}
		assert.Equal(t, 413, u.receive(t).status)
	})
}

// TestHalfClosedCallerGetsNoEmptySuccess guards against the response with status 200 and without a body that net/http sends when a handler
// returns without one: to a caller that closed only its sending side it looks like the whole response.
func TestHalfClosedCallerGetsNoEmptySuccess(t *testing.T) {
	u := &uploadTest{testGateway: newTestGateway([]message.PlaceResponse{placement(1)}), attempts: make(chan upstream.Attempt, 1)}
	u.Gateway.sender = u
	server := httptest.NewServer(u.Gateway)
	defer server.Close()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", server.Listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /orders/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	<-u.attempts
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	answer, _ := io.ReadAll(conn)
	assert.Empty(t, string(answer))
}

// zeros is an endless source.
type zeros struct{}

// Read returns zeros.
func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }
