package dispatch

import (
	"context"
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
	"github.com/azuretiller/azuretiller/pkg/exchange"
	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/pool"
)

const (
	connectTimeout = 500 * time.Millisecond
	// idleTimeout is shorter than that of usual servers, so that they do not close a connection that is about to be used.
	idleTimeout    = 15 * time.Second
	maxHeaderBytes = 1 << 20
	idlePerServer  = 8
)

// Sender sends requests over connections of its own.
type Sender struct {
	transport *http.Transport
}

// Answer is what an attempt came to; Response is set when there was an answer.
type Answer struct {
	Kind     pool.ResultKind
	Response *http.Response
	Latency  time.Duration
	// Reason describes the failure for logs and callers.
	Reason string
	// Crashed means that the server broke the connection off before it answered.
	Crashed bool
}

// New returns a sender without connections.
func New() *Sender {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &Sender{transport: &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerServer,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ForceAttemptHTTP2:      false,
	}}
}

// Close drops the idle connections.
func (s *Sender) Close() { s.transport.CloseIdleConnections() }

// Send makes one attempt, of which the server is told the time that is left. The end of the context ends the attempt,
// and a context whose cause is context.DeadlineExceeded makes it a timeout.
func (s *Sender) Send(ctx context.Context, server azuretiller.ServerID, r exchange.Request, body io.Reader, trailers http.Header, left time.Duration) Answer {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := s.request(traced, server, r, body, trailers, left)
	if err != nil {
		return Answer{Kind: pool.Succeeded, Reason: err.Error()}
	}
	start := time.Now()
	response, err := s.transport.RoundTrip(request)
	latency := time.Since(start)
	if err != nil {
		answer := classify(ctx, err, connected.Load())
		answer.Latency = latency
		return answer
	}
	answer := Answer{Kind: kindOf(response), Response: response, Latency: latency}
	if echo := response.Header.Get(headers.RequestID); echo != "" && echo != r.Trace {
		_ = response.Body.Close()
		return Answer{Kind: pool.Broken, Latency: latency, Reason: "the answer belongs to another request"}
	}
	return answer
}

func (s *Sender) request(ctx context.Context, server azuretiller.ServerID, r exchange.Request, body io.Reader, trailers http.Header, left time.Duration) (*http.Request, error) {
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
		Body:          readOnly(body, r),
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
	request.Header.Set(headers.RequestID, r.Trace)
	request.Header.Set(headers.Timeout, strconv.FormatInt(left.Milliseconds(), 10))
	lowerIdempotencyKey(request.Header)
	return request, nil
}

// lowerIdempotencyKey spells the header so that the transport does not take it as leave to send the request twice by itself.
func lowerIdempotencyKey(h http.Header) {
	for _, name := range []string{headers.Idempotency, "X-Idempotency-Key"} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}

// readOnly hides everything but reading, so that the transport cannot rewind the body and send the request again by itself.
func readOnly(body io.Reader, r exchange.Request) io.ReadCloser {
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

// Read returns the end of the body.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

func kindOf(response *http.Response) pool.ResultKind {
	switch {
	case response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headers.NotRun) != "":
		return pool.Shed
	case response.StatusCode >= http.StatusInternalServerError:
		return pool.Failed
	default:
		return pool.Succeeded
	}
}

func classify(ctx context.Context, err error, connected bool) Answer {
	cause := context.Cause(ctx)
	switch {
	case cause != nil && !errors.Is(cause, context.DeadlineExceeded):
		return Answer{Kind: pool.Cancelled, Reason: "the caller went away"}
	case !connected:
		return Answer{Kind: pool.Unreachable, Reason: "no connection"}
	case cause != nil || errors.Is(err, context.DeadlineExceeded):
		return Answer{Kind: pool.TimedOut, Reason: "no answer in time"}
	default:
		return Answer{Kind: pool.Broken, Reason: "the connection ended before the answer", Crashed: true}
	}
}

// Probe asks a health endpoint and reports whether it answered well.
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
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxHeaderBytes))
	_ = response.Body.Close()
	return response.StatusCode < http.StatusMultipleChoices
}
