package ingress

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/ending"
	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/lifetime"
	"github.com/azuretiller/azuretiller/pkg/picker"
	"github.com/azuretiller/azuretiller/pkg/ratelimit"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
	"github.com/azuretiller/azuretiller/pkg/wire"
)

// AddressPath is the path where callers get the addresses of the VMs to use.
const AddressPath = "/.azuretiller/addresses"

// Opener opens a stream to the VM that owns a pool, which may be this VM itself.
type Opener interface {
	// Open returns a stream; an error means that nothing was sent.
	Open(ctx context.Context, to azuretiller.VM) (*wire.Stream, error)
}

// Handler serves the requests of callers on one VM.
type Handler struct {
	common  *common.Common
	current func() *snapshot.Snapshot
	limiter *ratelimit.Limiter
	picker  *picker.Picker
	opener  Opener
	ids     IDStore
	running atomic.Int64
	// stopped ends with Stop.
	stopped context.Context
	stop    context.CancelFunc
	life    *lifetime.Lifetime
}

// New returns a handler; current returns the latest snapshot.
func New(c *common.Common, current func() *snapshot.Snapshot, limiter *ratelimit.Limiter, p *picker.Picker, opener Opener, ids IDStore) *Handler {
	stopped, stop := context.WithCancel(context.Background())
	return &Handler{
		common: c, current: current, limiter: limiter, picker: p, opener: opener, ids: ids, life: lifetime.New(c.Clock.Now()),
		stopped: stopped, stop: stop,
	}
}

// Lifetime returns the lifetime of the VM, which the log lines of its requests refer to.
func (h *Handler) Lifetime() *lifetime.Lifetime { return h.life }

// Running returns the number of callers' requests that are being served.
func (h *Handler) Running() int { return int(h.running.Load()) }

// errStopped is the cause with which requests end that still wait for a response when the VM stops.
var errStopped = errors.New("the VM stopped")

// Stop makes all requests respond that still wait for a response of their pools' owners, and those that are read later.
func (h *Handler) Stop() { h.stop() }

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == AddressPath {
		h.serveAddresses(w, r)
		return
	}
	h.running.Add(1)
	defer h.running.Add(-1)
	c := &call{
		handler:  h,
		writer:   w,
		request:  r,
		snapshot: h.current(),
		started:  h.common.Clock.Now(),
		traceID:  newTraceID(),
	}
	defer c.end()
	if h.life.Stopping(c.started) > 0 {
		// The caller uses another VM for its next request.
		w.Header().Set("Connection", "close")
	}
	if h.stopped.Err() != nil {
		c.refuse(azuretiller.CodeStopping, time.Second, "")
		return
	}
	if code, retryAfter := c.authorize(); code != azuretiller.CodeOK {
		c.refuse(code, retryAfter, "")
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer context.AfterFunc(h.stopped, func() { cancel(errStopped) })()
	c.serve(ctx)
}

func newTraceID() string {
	id, err := uuid.NewV7()
	if err != nil {
		id = uuid.New()
	}
	return id.String()
}

// call is one request of a caller.
type call struct {
	handler   *Handler
	writer    http.ResponseWriter
	request   *http.Request
	snapshot  *snapshot.Snapshot
	started   time.Time
	traceID   string
	key       string
	team      config.Team
	route     config.Route
	requestID azuretiller.RequestID
	// The following fields are written to the request's log line.
	code        azuretiller.Code
	status      int
	server      azuretiller.ServerID
	pool        azuretiller.PoolID
	attempts    int
	serviceTime time.Duration
	queueTime   time.Duration
	// streamed means that the whole response was written while it arrived.
	streamed bool
	// ended is empty if the caller got a complete response.
	ended  ending.Ending
	reason string
}

// authorize finds the route and the team and takes a token from the team's rate limit.
func (c *call) authorize() (azuretiller.Code, time.Duration) {
	s := c.snapshot
	now := c.handler.common.Clock.Now()
	switch {
	case !s.Ready:
		return azuretiller.CodeNotReady, time.Second
	case !s.Current(now):
		return azuretiller.CodeStaleView, time.Second
	}
	route, ok := s.Config.Match(c.request.Method, c.request.URL.Path)
	if !ok {
		return azuretiller.CodeNoRoute, 0
	}
	c.route = route
	c.key = headers.Key(c.request.Header)
	if c.request.ContentLength > route.MaxBodyBytes {
		return azuretiller.CodeBodyTooLarge, 0
	}
	if route.AllowAnonymous {
		c.team = config.Team{Weight: 1}
		return azuretiller.CodeOK, 0
	}
	if code := c.identify(); code != azuretiller.CodeOK {
		return code, 0
	}
	decision := c.handler.limiter.Take(c.request.Context(), c.team, s)
	return decision.Code, decision.RetryAfter
}

// identify finds the team that the caller's key belongs to and checks that it may use the service of the route.
func (c *call) identify() azuretiller.Code {
	if c.key == "" {
		return azuretiller.CodeNoKey
	}
	id, ok := c.snapshot.Config.Keys[azuretiller.HashKey(c.key)]
	if !ok {
		return azuretiller.CodeUnknownKey
	}
	c.team = c.snapshot.Config.Teams[id]
	if !c.team.MayUse(c.route.Service) {
		return azuretiller.CodeRouteNotAllowed
	}
	return azuretiller.CodeOK
}

// end reports the request, also if its handler panics, and passes the panic on.
func (c *call) end() {
	p := recover()
	if p != nil && c.ended == "" {
		c.ended, c.reason = ending.Panicked, fmt.Sprintf("panic: %.200v", p)
	}
	if c.ended == "" && !c.streamed && c.request.Context().Err() != nil {
		c.ended, c.reason = ending.Of(c.request.Context(), c.handler.life.Closed())
	}
	c.report()
	if p != nil {
		panic(p)
	}
}

// noteWriteError records that a response could not be written.
func (c *call) noteWriteError(err error) {
	c.ended, c.reason = ending.WriteFailed, "write response: "+err.Error()
	if c.handler.life.Closed() {
		c.ended = ending.VMStopped
	}
}

// report writes the log line and the metrics of the request.
func (c *call) report() {
	h := c.handler
	elapsed := h.common.Clock.Now().Sub(c.started)
	scope := h.common.Metrics.Tagged(map[string]string{"code": strconv.Itoa(int(c.code))})
	scope.Counter("requests").Inc(1)
	scope.Timer("request_time").Record(elapsed)
	if c.ended == "" {
		c.ended = ending.Answered
	} else {
		h.common.Metrics.Tagged(map[string]string{"reason": string(c.ended)}).Counter("requests_unanswered").Inc(1)
	}
	h.common.Log.WithFields(logFields(c, elapsed)).Info("request")
}
