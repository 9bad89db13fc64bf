package connlimit

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/pkg/bytebudget"
	"github.com/azuretiller/azuretiller/pkg/timer"
)

// sweepInterval is the time between two checks for connections that are idle or send a head for too long.
const sweepInterval = 200 * time.Millisecond

// Limits bound what a client may send on a connection, and how long it may take.
type Limits struct {
	// HeadBytes is the size of the largest head.
	HeadBytes int
	// HeadTimeout bounds the time from the first byte of a head to its end, and IdleTimeout the time without a request.
	HeadTimeout, IdleTimeout time.Duration
}

// Limiter limits the connections of one HTTP server.
type Limiter struct {
	*order
	now    func() time.Time
	limits func() Limits
	// heads is the memory of all heads beyond unreservedHead of each connection.
	heads *bytebudget.Budget
	// refused is called for each connection that is closed because of a limit.
	refused func(reason string)
	// marked means that only MarkServed makes a client a served one.
	marked bool
}

// Params are the parts of a Limiter.
type Params struct {
	Now func() time.Time
	// Limits returns the limits that are in force.
	Limits func() Limits
	// Heads may be shared by several limiters.
	Heads *bytebudget.Budget
	// MaxConns is the largest number of open connections.
	MaxConns int
	// Refused is called with the reason for which a connection is closed.
	Refused func(reason string)
	// Marked means that a client counts as served only after MarkServed, and not after any response.
	Marked bool
}

// New returns a limiter without connections.
func New(p Params) *Limiter {
	return &Limiter{now: p.Now, limits: p.Limits, heads: p.Heads, refused: p.Refused, marked: p.Marked, order: newOrder(p.MaxConns)}
}

// Listen returns a listener whose connections are limited.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l}
}

// ListenPlain returns a listener whose connections are limited in number but do not speak HTTP. Those for which Keep was called do not count.
func (l *Limiter) ListenPlain(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l, plain: true}
}

// Keep means that the client of a connection from ListenPlain is known, so that the connection does not count any more.
func Keep(nc net.Conn) {
	if c, ok := nc.(*conn); ok {
		c.limiter.remove(c)
	}
}

// Server returns an HTTP server with the limits, for connections from Listen. They take the place of the time and size limits of net/http,
// which cannot change while it serves.
func (l *Limiter) Server(handler http.Handler) *http.Server {
	return &http.Server{Handler: l.Handler(handler), ConnContext: l.ConnContext, ConnState: l.ConnState}
}

// ConnContext makes the connection known to Handler; it is meant for http.Server.
func (l *Limiter) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnState notices the end of requests; it is meant for http.Server. The end of a handler is too early, since net/http may read the rest of
// the body after it.
func (l *Limiter) ConnState(nc net.Conn, state http.ConnState) {
	if c, ok := nc.(*conn); ok && state == http.StateIdle {
		c.endRequest()
		if !l.marked {
			c.markServed()
		}
	}
}

// Handler returns a handler that tells the connection that a head has been read, and when its body has been.
func (l *Limiter) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if !c.beginRequest(r.ContentLength) {
			panic(http.ErrAbortHandler)
		}
		if r.ContentLength != 0 {
			r.Body = &body{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

// MarkServed means that a request was served, so that its client is likely to be an ordinary one. The context is that of the request.
func MarkServed(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.markServed()
	}
}

// IsEvicted reports whether the connection of a request is closed in favor of another, so that nothing more of the request can be read. A
// response can still be sent.
func IsEvicted(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.isEvicted()
}

// IsOverdue reports whether the connection of a request is closed since its client took too long to read a response.
func IsOverdue(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	return ok && c.isOverdue()
}

// Run closes connections whose time is over, until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timer.Sleep(ctx, sweepInterval)
		l.sweep()
	}
}

func (l *Limiter) sweep() {
	for _, c := range l.late(l.now(), l.limits()) {
		_ = c.Close()
	}
}

// admit adds a connection. At the maximum, it closes another one, and reports false if there is none to close.
func (l *Limiter) admit(c *conn) bool {
	dropped, mayWait, admitted := l.add(c, l.now())
	if dropped != nil {
		l.refused("connections")
		dropped.dismiss(mayWait)
	}
	return admitted
}

// turnAway refuses the first request of a connection for which there is no place, and closes it.
func (l *Limiter) turnAway(nc net.Conn, plain bool) {
	if plain || !l.refusals.Take(1) {
		_ = nc.Close()
		return
	}
	go func() {
		defer l.refusals.Put(1)
		defer func() { _ = nc.Close() }()
		refuseFirst(nc, l.limits().HeadBytes)
	}()
}

// listener accepts connections of a limiter.
type listener struct {
	net.Listener
	limiter *Limiter
	plain   bool
}

// Accept returns the next connection that is admitted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			// The error is not wrapped, since net/http continues after temporary ones, such as a lack of descriptors.
			return nil, err
		}
		c := &conn{Conn: accepted, limiter: l.limiter, below: findPasser(accepted), plain: l.plain, since: l.limiter.now()}
		if l.limiter.admit(c) {
			return c, nil
		}
		l.limiter.refused("connections")
		l.limiter.turnAway(accepted, l.plain)
	}
}

// SyscallConn returns the socket of the listener, if it has one.
func (l *listener) SyscallConn() (syscall.RawConn, error) {
	inner, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	// The error is not wrapped, since the wrapper adds nothing to it.
	return inner.SyscallConn()
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}
