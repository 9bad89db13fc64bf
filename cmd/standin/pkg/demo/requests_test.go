package demo

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/backend"
	"github.com/azuretiller/azuretiller/pkg/headers"
)

// fixture is a cluster of one VM per zone. It has a service named own with one backend server per zone, for which each test
// registers handlers by path.
type fixture struct {
	*cluster
	mu       sync.Mutex
	handlers map[string]http.HandlerFunc
}

const fixtureZones = 3

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{cluster: newCluster(io.Discard, "error"), handlers: map[string]http.HandlerFunc{}}
	t.Cleanup(f.close)
	ctx := t.Context()
	require.NoError(t, f.startPlatform(ctx))
	require.NoError(t, f.startServers(ctx, []string{apiKeyOf("alder")}))
	require.NoError(t, f.startVMs(context.WithoutCancel(ctx), zones()[:fixtureZones], 1))
	changes := f.initialChanges()
	for _, zone := range zones()[:fixtureZones] {
		address, err := f.listen(ctx, http.HandlerFunc(f.serve))
		require.NoError(t, err)
		changes = append(changes, set("/services/own/servers/"+address, "zone", strconv.Quote(zone)))
	}
	changes = append(changes,
		set("/teams/alder", "rate", "100000"),
		set("/teams/alder", "burst", "100000"),
		set("/services/own/routes/any", "prefix", `"/own"`),
		set("/services/own/routes/any", "body", "8388608"),
		set("/services/own/routes/once", "prefix", `"/own/once"`),
		set("/services/own/routes/once", "idempotent", `"no"`),
		set("/services/own/routes/open", "prefix", `"/own/open"`),
		set("/services/own/routes/open", "open", "true"),
	)
	v, err := f.edit(ctx, "settings", changes...)
	require.NoError(t, err)
	f.awaitRevision(v.Offset)
	f.handle("/own/once/ready", func(http.ResponseWriter, *http.Request) {})
	for code := azuretiller.Code(0); code != azuretiller.CodeOK; {
		// A new fleet rejects requests until its shares of the rates are filled and it has run long enough to recognise new
		// request IDs.
		time.Sleep(20 * time.Millisecond)
		code = f.send(t, 0, f.request(t, http.MethodPost, "/own/once/ready", nil, newID())).code
	}
	return f
}

func (f *fixture) handle(route string, handler http.HandlerFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.handlers[route] = handler
}

func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	handler := f.handlers[r.URL.Path]
	f.mu.Unlock()
	if handler == nil {
		return
	}
	w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
	handler(w, r)
}

func (f *fixture) request(t *testing.T, method, target string, body io.Reader, id string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, target, body)
	require.NoError(t, err)
	r.Header.Set("X-Api-Key", apiKeyOf("alder"))
	if id != "" {
		r.Header.Set(headers.IdempotencyKey, id)
	}
	return r
}

type reply struct {
	code    azuretiller.Code
	outcome string
	status  int
	header  http.Header
	trailer http.Header
	body    []byte
	err     error
}

func (f *fixture) send(t *testing.T, vm int, r *http.Request) reply {
	t.Helper()
	r.URL.Scheme = "http"
	r.URL.Host = f.vms[vm].settings.VM.CallerAddress
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, ExpectContinueTimeout: time.Minute}}
	response, err := client.Do(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	out := reply{status: response.StatusCode, header: response.Header, outcome: response.Header.Get(headers.Outcome)}
	out.body, out.err = io.ReadAll(response.Body)
	out.trailer = response.Trailer
	code, _ := strconv.Atoi(response.Header.Get(headers.Code))
	out.code = azuretiller.Code(code)
	return out
}

// TestRequests checks HTTP forwarding and result codes on one cluster, so that the cluster starts only once.
func TestRequests(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	tests := []struct {
		desc string
		run  func(*testing.T, *fixture)
	}{
		{"API keys are required and not forwarded to backend servers", testKeys},
		{"HEAD responses have a Content-Length and no body", testHead},
		{"large bodies are forwarded in both directions", testLargeBodies},
		{"trailers are forwarded in both directions", testTrailers},
		{"hop-by-hop headers are not forwarded", testHopByHop},
		{"a truncated response is an error for the caller", testTruncated},
		{"a response with a wrong request ID is not forwarded", testWrongRequestID},
		{"a request that is not idempotent is not retried", testNonIdempotentNotRetried},
		{"a repeated request ID returns the stored response", testReplayedResponse},
		{"a request ends at its deadline", testDeadline},
		{"a caller disconnect cancels the request", testCancel},
		{"a body above the limit is rejected", testTooLarge},
		{"malformed requests are rejected", testMalformed},
		{"a shed request is retried on another server", testShed},
		{"the operator API requires the operator token", testOperatorToken},
		{"a request that crashes servers is held back", testCrashingRequest},
		{"the log and dumps contain no API key", testNoKeyInLogOrDump},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) { tc.run(t, f) })
	}
}

func testKeys(t *testing.T, f *fixture) {
	var seen []string
	record := func(_ http.ResponseWriter, r *http.Request) {
		seen = append(seen, fmt.Sprint(r.URL, r.Header))
	}
	f.handle("/own/keys", record)
	f.handle("/own/open", record)
	for _, target := range []string{"/own/keys", "/own/open"} {
		r := f.request(t, http.MethodGet, target+"?copy="+url.QueryEscape(apiKeyOf("alder")), nil, "")
		r.Header.Set("X-Copy", "the key is "+apiKeyOf("alder"))
		r.Header.Set("Cookie", "key="+apiKeyOf("alder"))
		require.Equal(t, azuretiller.CodeOK, f.send(t, 0, r).code)
	}
	require.Len(t, seen, 2)
	for _, text := range seen {
		require.NotContains(t, text, apiKeyOf("alder"))
	}
	r := f.request(t, http.MethodGet, "/own/keys", nil, "")
	r.Header.Del("X-Api-Key")
	require.Equal(t, azuretiller.CodeNoKey, f.send(t, 0, r).code)
	r = f.request(t, http.MethodGet, "/own/keys", nil, "")
	r.Header.Set("X-Api-Key", "unknown")
	got := f.send(t, 0, r)
	require.Equal(t, azuretiller.CodeUnknownKey, got.code)
	require.Equal(t, "not-run", got.outcome)
	require.Equal(t, azuretiller.CodeNoRoute, f.send(t, 0, f.request(t, http.MethodGet, "/nowhere", nil, "")).code)
}

func testHead(t *testing.T, f *fixture) {
	f.handle("/own/head", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "12345") })
	got := f.send(t, 0, f.request(t, http.MethodHead, "/own/head", nil, ""))
	require.NoError(t, got.err)
	require.Equal(t, "12345", got.header.Get("Content-Length"))
	require.Empty(t, got.body)
}

func testLargeBodies(t *testing.T, f *fixture) {
	const size = 5 << 20
	data := make([]byte, size)
	_, err := rand.Read(data)
	require.NoError(t, err)
	f.handle("/own/echo", func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		_, _ = w.Write(data)
	})
	for _, body := range []io.Reader{bytes.NewReader(data), struct{ io.Reader }{bytes.NewReader(data)}} {
		got := f.send(t, 1, f.request(t, http.MethodPost, "/own/echo", body, ""))
		require.NoError(t, got.err)
		require.Equal(t, azuretiller.CodeOK, got.code)
		require.True(t, bytes.Equal(data, got.body), "received %d bytes", len(got.body))
	}
}

func testTrailers(t *testing.T, f *fixture) {
	f.handle("/own/trailers", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Trailer", "X-Back")
		_, _ = io.WriteString(w, "body")
		w.Header().Set("X-Back", r.Trailer.Get("X-There"))
	})
	r := f.request(t, http.MethodPost, "/own/trailers", struct{ io.Reader }{strings.NewReader("body")}, "")
	r.Trailer = http.Header{"X-There": {"sum"}}
	got := f.send(t, 0, r)
	require.NoError(t, got.err)
	require.Equal(t, "sum", got.trailer.Get("X-Back"))
}

func testHopByHop(t *testing.T, f *fixture) {
	var seen http.Header
	f.handle("/own/hop", func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		w.Header().Set("Keep-Alive", "timeout=7")
		w.Header().Set("Azuretiller-Code", "9999")
		w.Header().Set("X-Kept", "yes")
	})
	r := f.request(t, http.MethodGet, "/own/hop", nil, "")
	r.Header.Set("Connection", "X-Private")
	r.Header.Set("X-Private", "secret")
	r.Header.Set("X-Public", "open")
	got := f.send(t, 0, r)
	require.Empty(t, seen.Get("X-Private"))
	require.Equal(t, "open", seen.Get("X-Public"))
	require.Empty(t, got.header.Get("Keep-Alive"))
	require.Equal(t, azuretiller.CodeOK, got.code)
	require.Equal(t, "yes", got.header.Get("X-Kept"))
}

func testTruncated(t *testing.T, f *fixture) {
	for _, length := range []string{"100000", ""} {
		f.handle("/own/truncated", func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = w.Write(make([]byte, 50000))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		got := f.send(t, 0, f.request(t, http.MethodGet, "/own/truncated", nil, ""))
		require.Error(t, got.err, "a truncated response was read without an error")
	}
}

func testWrongRequestID(t *testing.T, f *fixture) {
	f.handle("/own/once/crossed", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headers.RequestID, "another")
		_, _ = io.WriteString(w, "for another")
	})
	got := f.send(t, 0, f.request(t, http.MethodGet, "/own/once/crossed", nil, ""))
	require.Equal(t, azuretiller.CodeServerFailed, got.code)
	require.NotContains(t, string(got.body), "for another")
}

func testNonIdempotentNotRetried(t *testing.T, f *fixture) {
	var runs atomic.Int32
	f.handle("/own/once/reset", func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		panic(http.ErrAbortHandler)
	})
	got := f.send(t, 0, f.request(t, http.MethodPost, "/own/once/reset", strings.NewReader("x"), newID()))
	require.Equal(t, "may-have-run", got.outcome)
	require.EqualValues(t, 1, runs.Load())
}

func testReplayedResponse(t *testing.T, f *fixture) {
	runs := 0
	f.handle("/own/once/order", func(w http.ResponseWriter, r *http.Request) {
		runs++
		data, _ := io.ReadAll(r.Body)
		w.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprintf(w, "run %d of %s", runs, data)
	})
	id := newID()
	first := f.send(t, 0, f.request(t, http.MethodPost, "/own/once/order", strings.NewReader("a"), id))
	require.Equal(t, http.StatusCreated, first.status)
	var repeated reply
	for repeated.code != azuretiller.CodeReplayed {
		// The response is stored shortly after the caller received it. Until then the request ID is in progress.
		repeated = f.send(t, 2, f.request(t, http.MethodPost, "/own/once/order", strings.NewReader("a"), id))
		require.Contains(t, []azuretiller.Code{azuretiller.CodeReplayed, azuretiller.CodeInProgress}, repeated.code)
	}
	require.Equal(t, first.status, repeated.status)
	require.Equal(t, first.body, repeated.body)
	require.Equal(t, 1, runs)
	reused := f.send(t, 1, f.request(t, http.MethodPost, "/own/once/order", strings.NewReader("b"), id))
	require.Equal(t, azuretiller.CodeRequestIDReused, reused.code)
	require.Equal(t, 1, runs)
}

func testDeadline(t *testing.T, f *fixture) {
	done := make(chan struct{})
	f.handle("/own/once/hang", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(done)
	})
	r := f.request(t, http.MethodPost, "/own/once/hang", nil, "")
	r.Header.Set(headers.Timeout, "200")
	got := f.send(t, 0, r)
	require.Equal(t, azuretiller.CodeServerTimeout, got.code)
	require.Equal(t, "may-have-run", got.outcome)
	<-done
}

func testCancel(t *testing.T, f *fixture) {
	started, done := make(chan struct{}), make(chan struct{})
	f.handle("/own/once/cancel", func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(done)
	})
	ctx, cancel := context.WithCancel(t.Context())
	r := f.request(t, http.MethodPost, "/own/once/cancel", nil, "").WithContext(ctx)
	go func() {
		<-started
		cancel()
	}()
	require.Error(t, f.send(t, 0, r).err)
	<-done
}

func testTooLarge(t *testing.T, f *fixture) {
	r := f.request(t, http.MethodPost, "/own/echo", bytes.NewReader(make([]byte, 9<<20)), "")
	// The caller waits for 100 Continue before it sends the body, so that it receives the rejection before it writes.
	r.Header.Set("Expect", "100-continue")
	got := f.send(t, 0, r)
	require.Equal(t, azuretiller.CodeBodyTooLarge, got.code)
	f.handle("/own/once/large", func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	got = f.send(t, 0, f.request(t, http.MethodPost, "/own/once/large", struct{ io.Reader }{bytes.NewReader(make([]byte, 20<<20))}, ""))
	require.NotEqual(t, azuretiller.CodeOK, got.code)
}

func testShed(t *testing.T, f *fixture) {
	runs := 0
	f.handle("/own/once/shed", func(w http.ResponseWriter, _ *http.Request) {
		runs++
		if runs == 1 {
			w.Header().Set(headers.NotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	got := f.send(t, 0, f.request(t, http.MethodPost, "/own/once/shed", strings.NewReader("x"), newID()))
	require.Equal(t, azuretiller.CodeOK, got.code)
	require.Equal(t, 2, runs)
}

func testOperatorToken(t *testing.T, f *fixture) {
	for _, token := range []string{"", "wrong"} {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+f.vms[0].settings.VM.OperatorAddress+"/dump", nil)
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer "+token)
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		_ = response.Body.Close()
		require.Equal(t, http.StatusUnauthorized, response.StatusCode)
	}
}

func testCrashingRequest(t *testing.T, f *fixture) {
	for _, s := range f.servers["orders"] {
		s.backend.SetFaults(backend.Faults{Poison: "poison"})
	}
	heldBack := false
	for i := range 6 {
		got := f.send(t, i%fixtureZones, f.request(t, http.MethodGet, "/orders/status/poison", nil, ""))
		heldBack = heldBack || got.code == azuretiller.CodeHeldBack
	}
	crashes := 0
	for _, s := range f.servers["orders"] {
		crashes += s.backend.Report().Crashes
		s.backend.SetFaults(backend.Faults{})
	}
	require.True(t, heldBack, "the request was never held back")
	require.LessOrEqual(t, crashes, 2)
}
