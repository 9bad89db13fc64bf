package dispatch

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/forward"
	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/pool"
	"github.com/azuretiller/azuretiller/pkg/resetconn"
)

const (
	// connectTimeout limits the time to open a connection, and the duration of a whole probe.
	connectTimeout = 500 * time.Millisecond
	// idleTimeout is shorter than the idle timeout of most servers. Otherwise a server could close an idle connection
	// just as a request is sent on it.
	idleTimeout = 15 * time.Second
	// maxHeaderBytes is the size in bytes of the largest accepted head of a response, including the informational responses before it.
	maxHeaderBytes = 64 << 10
	// maxProbeBytes is how much of the body of a response to a probe is read, in bytes.
	maxProbeBytes    = 1 << 20
	maxIdlePerServer = 8
)

// Sender sends requests to backend servers over its own connection pool.
type Sender struct {
	dial      func(ctx context.Context, network, address string) (net.Conn, error)
	transport *http.Transport
}

// AttemptResult is the result of one attempt. Response is nil if the server sent no usable response, or refused the request.
type AttemptResult struct {
	Kind     pool.ResultKind
	Response *http.Response
	Latency  time.Duration
	// Reason describes the failure. It is sent to the caller as the detail of the error.
	Reason string
	// Crashed means that the connection was lost after it was established and before the server sent a response.
	Crashed bool
}

// New returns a sender that has no open connections.
func New() *Sender {
	dialer := &net.Dialer{Timeout: connectTimeout}
	s := &Sender{dial: dialer.DialContext}
	s.transport = &http.Transport{
		DialContext:            s.connect,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ForceAttemptHTTP2:      false,
	}
	return s
}

func (s *Sender) connect(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := s.dial(ctx, network, address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	return &connection{Conn: resetconn.New(conn)}, nil
}

// Close closes the idle connections.
func (s *Sender) Close() { s.transport.CloseIdleConnections() }

// Send sends a request to a server once. The remaining time until the deadline is sent along in a header. When the
// context ends, the attempt ends as cancelled, unless the cause is context.DeadlineExceeded: it then ends as a timeout, or
// as unreachable if there was no connection yet. If the request target is invalid, nothing is sent; the result is Succeeded
// without a response, so that the attempt does not count as a failure of the server.
func (s *Sender) Send(ctx context.Context, server azuretiller.ServerID, r forward.Request, body io.Reader, trailers http.Header, remaining time.Duration) AttemptResult {
	var conn atomic.Pointer[connection]
	tracedCtx := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*connection); ok && !c.discarded.Load() {
				conn.Store(c)
			}
		},
	})
	request, err := s.newRequest(tracedCtx, server, r, body, trailers, remaining)
	if err != nil {
		return AttemptResult{Kind: pool.Succeeded, Reason: err.Error()}
	}
	start := time.Now()
	response, err := s.transport.RoundTrip(request)
	latency := time.Since(start)
	if err != nil {
		result := classifyError(ctx, err, conn.Load() != nil)
		result.Latency = latency
		return result
	}
	kind := classifyResponse(response)
	if reason := findMismatch(response, kind, r.TraceID); reason != "" {
		if c := conn.Load(); c != nil {
			c.discard()
		}
		_ = response.Body.Close()
		return AttemptResult{Kind: pool.ConnectionBroken, Latency: latency, Reason: reason}
	}
	if kind == pool.Shed {
		// The body of a refusal is not used, and may have no end.
		_ = response.Body.Close()
		return AttemptResult{Kind: kind, Latency: latency}
	}
	return AttemptResult{Kind: kind, Response: response, Latency: latency}
}

func (s *Sender) newRequest(ctx context.Context, server azuretiller.ServerID, r forward.Request, body io.Reader, trailers http.Header, remaining time.Duration) (*http.Request, error) {
	target, err := url.ParseRequestURI(r.Target)
	if err != nil {
		return nil, errors.Wrap(err, "parse request target")
	}
	target.Scheme = "http"
	target.Host = string(server)
	request := (&http.Request{
		Method:        r.Method,
		URL:           target,
		Host:          r.Host,
		Header:        r.Headers.Clone(),
		Body:          requestBody(body, r),
		ContentLength: max(r.Length, 0),
		Trailer:       trailers,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}).WithContext(ctx)
	if request.Header == nil {
		request.Header = http.Header{}
	}
	if _, ok := request.Header["User-Agent"]; !ok {
		request.Header.Set("User-Agent", "")
	}
	request.Header.Set(headers.RequestID, r.TraceID)
	request.Header.Set(headers.Timeout, strconv.FormatInt(remaining.Milliseconds(), 10))
	lowercaseIdempotencyKey(request.Header)
	return request, nil
}

// lowercaseIdempotencyKey writes the names of idempotency key headers in lower case. The transport recognises only the
// canonical spelling; on seeing it, it would retry a failed request on its own.
func lowercaseIdempotencyKey(h http.Header) {
	for _, name := range []string{headers.IdempotencyKey, "X-Idempotency-Key"} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}

// requestBody returns a body that can only be read once. The transport then cannot rewind it to retry the request on
// its own.
func requestBody(body io.Reader, r forward.Request) io.ReadCloser {
	switch {
	case r.Length != 0:
		return io.NopCloser(struct{ io.Reader }{body})
	case slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}, r.Method):
		return io.NopCloser(emptyBody{})
	default:
		return http.NoBody
	}
}

type emptyBody struct{}

// Read returns io.EOF.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// findMismatch returns why a response is not that of the request, so that its connection is not used again, or an empty string.
func findMismatch(response *http.Response, kind pool.ResultKind, requestID string) string {
	if !headers.IsValidStatus(response.StatusCode) {
		return fmt.Sprintf("the answer has the invalid status %03d", response.StatusCode)
	}
	if id := response.Header.Get(headers.RequestID); id != requestID && (id != "" || kind == pool.Shed) {
		return "the answer belongs to another request"
	}
	return ""
}

func classifyResponse(response *http.Response) pool.ResultKind {
	switch {
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headers.NotRun) != "":
		return pool.Shed
	case response.StatusCode >= http.StatusInternalServerError:
		return pool.Failed
	default:
		return pool.Succeeded
	}
}

func classifyError(ctx context.Context, err error, connected bool) AttemptResult {
	cause := context.Cause(ctx)
	switch {
	case cause != nil && !errors.Is(cause, context.DeadlineExceeded):
		return AttemptResult{Kind: pool.Cancelled, Reason: "the caller went away"}
	case !connected:
		return AttemptResult{Kind: pool.Unreachable, Reason: "no connection"}
	case cause != nil || errors.Is(err, context.DeadlineExceeded):
		return AttemptResult{Kind: pool.TimedOut, Reason: "no answer in time"}
	default:
		return AttemptResult{Kind: pool.ConnectionBroken, Reason: "the connection ended before the answer", Crashed: true}
	}
}

// Probe queries the health endpoint of a server and reports whether it answered with a status below 300.
func (s *Sender) Probe(ctx context.Context, server azuretiller.ServerID, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(server)+path, nil)
	if err != nil {
		return false
	}
	response, err := s.transport.RoundTrip(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes))
	_ = response.Body.Close()
	return headers.IsValidStatus(response.StatusCode) && response.StatusCode < http.StatusMultipleChoices
}
