package pipeline

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// scenario is what one caller sends, and when.
type scenario struct {
	text string
	// pieces are the sizes of the pieces in which the text is sent, each after a pause.
	pieces []int
	pauses []time.Duration
	// leaveAfter is the time after which the caller closes the connection, or 0.
	leaveAfter time.Duration
}

// drawRequest returns a random request with the given id. Its query tells scriptedHandler what to do.
func drawRequest(t *rapid.T, id int) string {
	route := rapid.SampledFrom([]string{"safe", "safe", "safe", "unsafe"}).Draw(t, "route")
	size := rapid.SampledFrom([]int{0, 1, 100, 5000, 40000}).Draw(t, "size")
	delay := rapid.IntRange(0, 40).Draw(t, "delay")
	act := rapid.SampledFrom([]string{"", "", "", "", "", "", "", "abort", "truncate", "flush", "unframed"}).Draw(t, "act")
	target := fmt.Sprintf("/%s/%d?size=%d&delay=%d&act=%s", route, id, size, delay, act)
	get := "GET " + target + " HTTP/1.1\r\nHost: h\r\n"
	return rapid.SampledFrom([]string{
		get + "\r\n", get + "\r\n", get + "\r\n", get + "\r\n", get + "\r\n", get + "\r\n", get + "\r\n", get + "\r\n",
		"HEAD " + target + " HTTP/1.1\r\nHost: h\r\n\r\n",
		get + "Connection: Keep-Alive\r\nPragma: no-cache\r\nA: b\r\nA: c\r\n\r\n",
		get + "X: " + strings.Repeat("x", 3000) + "\r\n\r\n",
		get + "X: " + strings.Repeat("x", maxHead) + "\r\n\r\n",
		"POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde",
		"POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("GET /safe/9 HTTP/1.1\r\n\r\n", 5000)[:5000],
		"POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n\r\n",
		"POST " + target + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;a=b\r\nabcde\r\n0\r\n\r\n",
		"POST " + target + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n01\r\nf\r\n0\r\n\r\n",
		"POST " + target + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\nA: b\r\n\r\n",
		get + "Content-Length: 30\r\n\r\nGET /safe/9 HTTP/1.1\r\nHost: h\r\n",
		get + "Expect: 100-continue\r\n\r\n",
		"PUT " + target + " HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab",
		get + "Connection: close\r\n\r\n",
		get + "Upgrade: x\r\nConnection: upgrade\r\n\r\n",
		get + "Host: other\r\n\r\n",
		get + "A : b\r\n\r\n",
		get + " folded\r\n\r\n",
		get + "Content-Length: 1, 1\r\n\r\n",
		get + "Content-Length: +1\r\n\r\n",
		get + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
		"GET " + target + " HTTP/1.1\nHost: h\n\n",
		"GET " + target + " HTTP/1.1\r\nHost: h\n\r\n",
		"GET " + target + " HTTP/1.1\r\n\r\n",
		"GET " + target + " HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
		"GET http://h" + target + " HTTP/1.1\r\nHost: other\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
		"\r\n" + get + "\r\n",
		"nonsense\r\n\r\n",
	}).Draw(t, "request")
}

func drawScenario(t *rapid.T) scenario {
	var s scenario
	for id := range rapid.IntRange(1, 14).Draw(t, "requests") {
		s.text += drawRequest(t, id)
	}
	for left := len(s.text); left > 0; {
		n := min(rapid.SampledFrom([]int{1, 2, 3, 30, 100, 1000, 4096, 10000, 100000}).Draw(t, "piece"), left)
		if len(s.pieces) > 200 {
			n = left
		}
		s.pieces = append(s.pieces, n)
		s.pauses = append(s.pauses, time.Duration(rapid.IntRange(0, 30).Draw(t, "pause"))*time.Millisecond)
		left -= n
	}
	return s
}

// scriptedHandler does what the query of a request says, and records what it does.
type scriptedHandler struct {
	mu      sync.Mutex
	starts  map[string]time.Time
	twice   []string
	running map[string]bool
	// mixed are the requests that are not idempotent and ran at the same time as others.
	mixed []string
}

// ServeHTTP serves a request.
func (h *scriptedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Context().Err() != nil {
		// The gateway sends nothing either.
		panic(http.ErrAbortHandler)
	}
	id := r.URL.Path
	h.mu.Lock()
	if _, ok := h.starts[id]; ok {
		h.twice = append(h.twice, id)
	}
	h.starts[id] = time.Now()
	h.running[id] = true
	plain := strings.HasPrefix(id, "/safe/") && r.ContentLength == 0
	if len(h.running) > 1 && !plain {
		h.mixed = append(h.mixed, id)
	}
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.running, id)
	}()
	n, _ := io.Copy(io.Discard, r.Body)
	q := r.URL.Query()
	var size, delay int
	_, _ = fmt.Sscan(q.Get("size"), &size)
	_, _ = fmt.Sscan(q.Get("delay"), &delay)
	select {
	case <-time.After(time.Duration(delay) * time.Millisecond):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	act := q.Get("act")
	if act == "abort" {
		panic(http.ErrAbortHandler)
	}
	w.Header()["Date"] = nil
	w.Header().Set("X-Request", fmt.Sprint(r.Method, r.RequestURI, r.Host, n, len(r.Header), r.Header.Get("Cache-Control")))
	body := strings.Repeat(id[len(id)-1:], size)
	if act == "unframed" {
		// The boundaries of the chunks would depend on the time of further writes.
		_, _ = w.Write([]byte(body))
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(size))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte(body[:size/2]))
	if act == "flush" || act == "truncate" {
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Millisecond)
	}
	if act == "truncate" {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte(body[size/2:]))
}

// outcome is what happened to the requests of a scenario.
type outcome struct {
	received string
	handler  *scriptedHandler
	// closedAt is when the connection was closed.
	closedAt time.Time
	// held means that a budget was not full in the end.
	held   bool
	cutOff int
}

// play runs a scenario with the listener or, if serial is set, with net/http alone.
func play(t *testing.T, s scenario, serial bool) outcome {
	o := outcome{handler: &scriptedHandler{starts: map[string]time.Time{}, running: map[string]bool{}}}
	synctest.Test(t, func(t *testing.T) {
		server := startServer(t, o.handler.ServeHTTP)
		if serial {
			server = &testServer{raw: newPipeListener(), Listener: server.Listener}
			plain := newHTTPServer(o.handler)
			go func() { _ = plain.Serve(server.raw) }()
			defer func() { _ = plain.Close() }()
		}
		c := server.dial()
		go func() {
			text := s.text
			for i, n := range s.pieces {
				time.Sleep(s.pauses[i])
				if _, err := io.WriteString(c, text[:n]); err != nil {
					return
				}
				text = text[n:]
			}
		}()
		if s.leaveAfter > 0 {
			time.AfterFunc(s.leaveAfter, func() { _ = c.Close() })
		}
		data, _ := io.ReadAll(c)
		o.closedAt = time.Now()
		o.received = string(data)
		time.Sleep(time.Minute)
		_ = c.Close()
		synctest.Wait()
		o.cutOff = server.Outstanding()
		o.held = !server.reservations.Take(maxReservations) || !server.responses.Take(maxResponses) || !server.slots.Take(maxPrepared)
	})
	return o
}

// TestResponsesAreThoseOfSerialServing guards against any difference to net/http alone, for any requests and any pieces in which they arrive:
// other responses, another order, requests that run twice or after the end of the connection, requests that are not idempotent and run
// beside others, and memory that is not returned.
func TestResponsesAreThoseOfSerialServing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		piped, serial := play(t, s, false), play(t, s, true)
		if piped.received != serial.received {
			rt.Fatalf("received %q, with serial serving %q", piped.received, serial.received)
		}
		checkOutcome(rt, piped)
		for id := range serial.handler.starts {
			if _, ok := piped.handler.starts[id]; !ok {
				rt.Fatalf("%s was not served", id)
			}
		}
	})
}

// TestCallerThatLeavesEndsItsRequests guards against requests that run after their caller left, for any requests and any time.
func TestCallerThatLeavesEndsItsRequests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		s.leaveAfter = time.Duration(rapid.IntRange(1, 300).Draw(rt, "leaveAfter")) * time.Millisecond
		checkOutcome(rt, play(t, s, false))
	})
}

func checkOutcome(rt *rapid.T, o outcome) {
	assert.Empty(rt, o.handler.twice, "requests ran twice")
	assert.Empty(rt, o.handler.mixed, "requests that are not idempotent ran beside others")
	assert.Empty(rt, o.handler.running, "requests go on running")
	assert.Zero(rt, o.cutOff, "requests count as outstanding")
	assert.False(rt, o.held, "budgets are not full")
	for id, at := range o.handler.starts {
		assert.False(rt, at.After(o.closedAt), "%s started %s after the connection was closed", id, at.Sub(o.closedAt))
	}
}
