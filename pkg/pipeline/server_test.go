package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	apexlog "github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/systemclock"
)

const (
	testHeaderTimeout = 3 * time.Second
	testIdleTimeout   = 15 * time.Second
)

// pipeListener accepts connections of net.Pipe.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept returns the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an address.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testServer is an HTTP server whose handler a test defines. Requests below /safe/ may be read ahead.
type testServer struct {
	*Listener
	raw     *pipeListener
	metrics tally.TestScope
	server  *http.Server
	// leaving makes the server read no further requests ahead.
	mu      sync.Mutex
	leaving bool
}

func newCommon(metrics tally.Scope) *common.Common {
	return &common.Common{Log: &apexlog.Logger{Handler: discard.New()}, Clock: systemclock.New(), Metrics: metrics}
}

// startServer starts a server for connections of net.Pipe.
func startServer(t *testing.T, inner http.HandlerFunc) *testServer {
	s := &testServer{raw: newPipeListener(), metrics: tally.NewTestScope("", nil)}
	s.Listener = New(s.raw, newCommon(s.metrics), inner, s.mayReadAhead)
	s.server = newHTTPServer(s.Handler())
	s.server.ConnContext = s.ConnContext
	go func() { _ = s.server.Serve(s.Listener) }()
	t.Cleanup(func() { _ = s.server.Close() })
	return s
}

func newHTTPServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: testHeaderTimeout, IdleTimeout: testIdleTimeout, ErrorLog: log.New(io.Discard, "", 0),
	}
}

func (s *testServer) mayReadAhead(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.leaving && strings.HasPrefix(r.URL.Path, "/safe/")
}

func (s *testServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// counter returns the value of a counter.
func (s *testServer) counter(name string) int {
	c := s.metrics.Snapshot().Counters()[name+"+"]
	if c == nil {
		return 0
	}
	return int(c.Value())
}

// caller is the caller's end of a connection.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial() *caller {
	ours, theirs := net.Pipe()
	s.raw.conns <- theirs
	return &caller{ours, bufio.NewReader(ours)}
}

// send writes without waiting until the server has read everything.
func (c *caller) send(text string) { go func() { _, _ = io.WriteString(c.Conn, text) }() }

func (c *caller) receive(t *testing.T) (status int, body string) {
	t.Helper()
	r, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	data, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	require.NoError(t, r.Body.Close())
	return r.StatusCode, string(data)
}

func (c *caller) requireEnd(t *testing.T) {
	t.Helper()
	rest, err := io.ReadAll(c.reader)
	require.NoError(t, err)
	require.Empty(t, string(rest))
}

func get(path string) string { return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path) }

func gets(paths ...string) string {
	text := ""
	for _, p := range paths {
		text += get(p)
	}
	return text
}

// gatedHandler holds each request until the test releases it, and writes its path.
type gatedHandler struct {
	mu      sync.Mutex
	gates   map[string]chan struct{}
	started []string
	// cancelled are the requests whose contexts ended first.
	cancelled []string
	contexts  map[string]context.Context
}

func newGatedHandler() *gatedHandler {
	return &gatedHandler{gates: map[string]chan struct{}{}, contexts: map[string]context.Context{}}
}

func (h *gatedHandler) gate(path string) chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gates[path] == nil {
		h.gates[path] = make(chan struct{})
	}
	return h.gates[path]
}

// release ends the requests with the given paths.
func (h *gatedHandler) release(paths ...string) {
	for _, p := range paths {
		close(h.gate(p))
	}
	synctest.Wait()
}

func (h *gatedHandler) running() []string {
	synctest.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string{}, h.started...)
}

func (h *gatedHandler) ended() []string {
	synctest.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string{}, h.cancelled...)
}

// ServeHTTP serves a request.
func (h *gatedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	gate := h.gate(r.URL.Path)
	h.mu.Lock()
	h.started = append(h.started, r.URL.Path)
	h.mu.Unlock()
	select {
	case <-gate:
	case <-r.Context().Done():
		h.mu.Lock()
		h.cancelled = append(h.cancelled, r.URL.Path)
		h.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	switch {
	case strings.HasSuffix(r.URL.Path, "abort"):
		panic(http.ErrAbortHandler)
	case strings.HasSuffix(r.URL.Path, "close"):
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(r.URL.Path)))
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, r.URL.Path)
}
