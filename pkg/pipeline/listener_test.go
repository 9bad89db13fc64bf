package pipeline

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRequestsRunAtTheSameTimeAndAreAnsweredInOrder guards against pipelined requests that run one after the other, or whose responses are
// sent as they become ready.
func TestRequestsRunAtTheSameTimeAndAreAnsweredInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newGatedHandler()
		s := startServer(t, h.ServeHTTP)
		c := s.dial()
		c.send(gets("/safe/1", "/safe/2", "/safe/3"))
		assert.ElementsMatch(t, []string{"/safe/1", "/safe/2", "/safe/3"}, h.running())
		assert.Equal(t, 2, s.Outstanding())
		h.release("/safe/3", "/safe/2")
		h.release("/safe/1")
		for i := range 3 {
			status, body := c.receive(t)
			assert.Equal(t, 200, status)
			assert.Equal(t, fmt.Sprint("/safe/", i+1), body)
		}
		synctest.Wait()
		assert.Zero(t, s.Outstanding())
		assert.Equal(t, 2, s.counter("requests_read_ahead"))
		assert.Zero(t, s.counter("read_ahead_cancelled"))
	})
}

// TestNothingIsReadAheadBehindOtherRequests guards against requests that run before an earlier request that is not idempotent or has a
// body has been answered, and against such requests that run before their turn.
func TestNothingIsReadAheadBehindOtherRequests(t *testing.T) {
	const h = " HTTP/1.1\r\nHost: h\r\n"
	for name, text := range map[string]string{
		"not idempotent": "GET /x" + h + "\r\n",
		"other method":   "DELETE /safe/x" + h + "\r\n",
		"body":           "POST /safe/x" + h + "Content-Length: 3\r\n\r\nabc",
		"empty body":     "GET /safe/x" + h + "Content-Length: 0\r\n\r\n",
		"body of a GET":  "GET /safe/x" + h + "Content-Length: 3\r\n\r\nabc",
		"chunked":        "POST /safe/x" + h + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"expectation":    "GET /safe/x" + h + "Expect: 100-continue\r\n\r\n",
		"upgrade":        "GET /safe/x" + h + "Connection: upgrade\r\nUpgrade: x\r\n\r\n",
		"folded line":    "GET /safe/x" + h + "A: b\r\n c\r\n\r\n",
		"line feeds":     "GET /safe/x HTTP/1.1\nHost: h\n\n",
		"mixed ends":     "GET /safe/x HTTP/1.1\r\nHost: h\n\r\n",
		"many lines":     "GET /safe/x" + h + strings.Repeat("A: b\r\n", maxLines) + "\r\n",
		"absolute form":  "GET http://h/safe/x" + h + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newGatedHandler()
				s := startServer(t, h.ServeHTTP)
				c := s.dial()
				path := "/safe/x"
				if name == "not idempotent" {
					path = "/x"
				}
				c.send(get("/safe/1") + text + get("/safe/2"))
				assert.Equal(t, []string{"/safe/1"}, h.running())
				h.release("/safe/1")
				c.receive(t)
				assert.Equal(t, []string{"/safe/1", path}, h.running())
				h.release(path)
				c.receive(t)
				assert.Equal(t, []string{"/safe/1", path, "/safe/2"}, h.running())
				h.release("/safe/2")
				c.receive(t)
				assert.Zero(t, s.counter("requests_read_ahead"))
			})
		})
	}
}

// TestReadAheadResumesOnIdleConnection guards against connections that are served serially for good after one upload.
func TestReadAheadResumesOnIdleConnection(t *testing.T) {
	for _, body := range []string{"Content-Length: 3\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n1A\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\n\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			h := newGatedHandler()
			s := startServer(t, h.ServeHTTP)
			c := s.dial()
			c.send("POST /x HTTP/1.1\r\nHost: h\r\n" + body + get("/safe/1"))
			h.release("/x")
			c.receive(t)
			h.release("/safe/1")
			c.receive(t)
			c.send(gets("/safe/2", "/safe/3"))
			assert.ElementsMatch(t, []string{"/x", "/safe/1", "/safe/2", "/safe/3"}, h.running())
			assert.Equal(t, 1, s.counter("requests_read_ahead"))
		})
	}
}

// TestDisconnectCancelsAllRequests guards against requests that go on after their caller left, while the bytes of further requests hide
// the end of the connection from net/http.
func TestDisconnectCancelsAllRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newGatedHandler()
		s := startServer(t, h.ServeHTTP)
		c := s.dial()
		c.send(gets("/safe/1"))
		h.running()
		// net/http reads one byte of them and no more, until the first request has been answered.
		c.send(gets("/safe/2", "/safe/3", "/x", "/safe/4"))
		h.running()
		require.NoError(t, c.Close())
		assert.ElementsMatch(t, []string{"/safe/1", "/safe/2", "/safe/3"}, h.ended())
		assert.Len(t, h.running(), 3, "nothing is served afterwards")
		assert.Zero(t, s.Outstanding())
		assert.Equal(t, 2, s.counter("read_ahead_cancelled"))
		requireNothingHeld(t, s)
	})
}

// requireNothingHeld checks that all budgets are full.
func requireNothingHeld(t *testing.T, s *testServer) {
	t.Helper()
	assert.True(t, s.reservations.Take(maxReservations), "reservations are returned")
	assert.True(t, s.responses.Take(maxResponses), "the memory of responses is returned")
	assert.True(t, s.slots.Take(maxPrepared), "slots are returned")
}

// TestAbortedResponseCancelsRequestsBehindIt guards against requests that run although their connection was closed.
func TestAbortedResponseCancelsRequestsBehindIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newGatedHandler()
		s := startServer(t, h.ServeHTTP)
		c := s.dial()
		c.send(gets("/safe/abort", "/safe/2", "/safe/3"))
		h.running()
		h.release("/safe/abort")
		c.requireEnd(t)
		assert.ElementsMatch(t, []string{"/safe/2", "/safe/3"}, h.ended())
		assert.Zero(t, s.Outstanding())
		requireNothingHeld(t, s)
	})
}

// TestAbortedResponseOfRequestReadAheadEndsConnection guards against a truncated response that looks complete because it was recorded.
func TestAbortedResponseOfRequestReadAheadEndsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newGatedHandler()
		s := startServer(t, h.ServeHTTP)
		c := s.dial()
		c.send(gets("/safe/1", "/safe/abort", "/safe/3"))
		h.running()
		h.release("/safe/abort", "/safe/3", "/safe/1")
		_, body := c.receive(t)
		assert.Equal(t, "/safe/1", body)
		c.requireEnd(t)
		synctest.Wait()
		requireNothingHeld(t, s)
	})
}

// TestConnectionStaysOpenWhileResponsesAreOutstanding guards against a VM that closes a connection, because it is leaving, before the responses
// to requests that it passed on have been sent, and against one that reads further requests ahead meanwhile.
func TestConnectionStaysOpenWhileResponsesAreOutstanding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newGatedHandler()
		s := startServer(t, h.ServeHTTP)
		c := s.dial()
		c.send(gets("/safe/1close", "/safe/2close"))
		h.running()
		s.leave()
		c.send(gets("/safe/3"))
		assert.Len(t, h.running(), 2, "nothing more is read ahead")
		h.release("/safe/1close", "/safe/2close")
		for _, path := range []string{"/safe/1close", "/safe/2close"} {
			_, body := c.receive(t)
			assert.Equal(t, path, body)
		}
		c.requireEnd(t)
		assert.Len(t, h.running(), 2)
		requireNothingHeld(t, s)
	})
}

// TestReadAheadOfConnectionIsBounded guards against a caller whose requests occupy all servers or the memory, and against bounds that end the
// read-ahead for good.
func TestReadAheadOfConnectionIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 4 * maxRequests
		h := newGatedHandler()
		s := startServer(t, h.ServeHTTP)
		c := s.dial()
		text := ""
		for i := range requests {
			text += get(fmt.Sprint("/safe/", i))
		}
		c.send(text)
		for i := range requests {
			assert.Len(t, h.running(), min(i+1+maxRequests, requests))
			h.release(fmt.Sprint("/safe/", i))
			_, body := c.receive(t)
			assert.Equal(t, fmt.Sprint("/safe/", i), body)
		}
		assert.Positive(t, s.counter("read_ahead_limited"))
		synctest.Wait()
		requireNothingHeld(t, s)
	})
}

// TestReadAheadOfVMIsBounded guards against many callers whose requests together exceed the limits of the VM.
func TestReadAheadOfVMIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callers = 3 * maxPrepared / maxRequests
		h := newGatedHandler()
		s := startServer(t, h.ServeHTTP)
		var conns []*caller
		for i := range callers {
			c := s.dial()
			conns = append(conns, c)
			for n := range maxRequests + 1 {
				c.send(get(fmt.Sprintf("/safe/%d-%d", i, n)))
				synctest.Wait()
			}
		}
		assert.Len(t, h.running(), callers+maxPrepared)
		for i, c := range conns {
			for n := range maxRequests + 1 {
				path := fmt.Sprintf("/safe/%d-%d", i, n)
				h.release(path)
				_, body := c.receive(t)
				assert.Equal(t, path, body)
			}
		}
		synctest.Wait()
		requireNothingHeld(t, s)
	})
}

// TestRecordedResponsesAreBounded guards against responses that wait for their turn and fill the memory of the VM.
func TestRecordedResponsesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 600 << 10
		written := make(chan int, 100)
		first := make(chan struct{})
		s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/safe/0" {
				<-first
			}
			w.Header().Set("Content-Length", fmt.Sprint(2*size))
			for range 2 {
				n, _ := w.Write([]byte(strings.Repeat(r.URL.Path[len(r.URL.Path)-1:], size)))
				written <- n
			}
		})
		c := s.dial()
		for i := range maxRequests {
			c.send(get(fmt.Sprint("/safe/", i)))
			synctest.Wait()
			// The second half of each exceeds the limit of a response.
			assert.Len(t, written, min(i, maxResponses/size))
		}
		close(first)
		for i := range maxRequests {
			_, body := c.receive(t)
			assert.True(t, body == strings.Repeat(fmt.Sprint(i), 2*size), "response %d", i)
		}
		synctest.Wait()
		requireNothingHeld(t, s)
	})
}

// TestTimeoutsKeepTheirMeaning guards against connections that stay open although their caller is idle or sends a head too slowly, or that
// are closed too early, after requests were read ahead on them.
func TestTimeoutsKeepTheirMeaning(t *testing.T) {
	for _, c := range []struct {
		name, text string
		timeout    time.Duration
	}{{"idle", "", testIdleTimeout}, {"head", "GET /safe/4 HTTP/1.1\r\n", testHeaderTimeout}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
					if strings.HasSuffix(r.URL.Path, "1") {
						time.Sleep(time.Minute)
					}
				})
				caller := s.dial()
				caller.send(gets("/safe/1", "/safe/2", "/safe/3") + c.text)
				for range 3 {
					caller.receive(t)
				}
				synctest.Wait()
				start := time.Now()
				caller.requireEnd(t)
				assert.Equal(t, c.timeout, time.Since(start))
				requireNothingHeld(t, s)
			})
		})
	}
}

// TestUploadKeepsItsBackpressure guards against a reading goroutine that takes a body that no server takes.
func TestUploadKeepsItsBackpressure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			size = 1 << 20
			// maxTaken allows for the buffers of net/http.
			maxTaken = maxReadAhead + 2*readSize + 4<<10
		)
		mayRead := make(chan struct{})
		s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				<-mayRead
			}
			n, err := io.Copy(io.Discard, r.Body)
			assert.NoError(t, err)
			_, _ = fmt.Fprint(w, n)
		})
		c := s.dial()
		var taken atomic.Int64
		go func() {
			_, _ = io.WriteString(c, gets("/safe/1", "/safe/2")+fmt.Sprintf("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size))
			for taken.Load() < size {
				n, err := c.Write(make([]byte, 1<<10))
				if err != nil {
					return
				}
				taken.Add(int64(n))
			}
		}()
		for range 2 {
			c.receive(t)
		}
		synctest.Wait()
		assert.Less(t, taken.Load(), int64(maxTaken))
		close(mayRead)
		_, body := c.receive(t)
		assert.Equal(t, fmt.Sprint(size), body)
		requireNothingHeld(t, s)
	})
}
