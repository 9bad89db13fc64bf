package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/azuretiller/azuretiller/pkg/bytebudget"
	"github.com/azuretiller/azuretiller/pkg/timer"
)

// sweepInterval is the time between two checks for connections that are idle or send a head for too long.
const sweepInterval = 200 * time.Millisecond

// rank is how much a connection is needed.
type rank int

const (
	awaitsFirstHead rank = iota
	awaitsNextHead
	// awaitsClient means that the client sends a body or reads a response.
	awaitsClient
	// needed is the rank of connections that are not closed in favor of others.
	needed
)

// Limits bound what a client may send on a connection, and how long it may take.
type Limits struct {
	// HeadBytes is the size of the largest head.
	HeadBytes int
	// HeadTimeout bounds the time from the first byte of a head to its end, and IdleTimeout the time without a request.
	HeadTimeout, IdleTimeout time.Duration
}

// Limiter limits the connections of one HTTP server.
type Limiter struct {
	now    func() time.Time
	limits func() Limits
	// heads is the memory of all heads beyond unreservedHead of each connection.
	heads *bytebudget.Budget
	max   int
	// refused is called for each connection that is closed because of a limit.
	refused func(reason string)

	mu    sync.Mutex
	conns map[*conn]struct{}
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
}

// New returns a limiter without connections.
func New(p Params) *Limiter {
	return &Limiter{now: p.Now, limits: p.Limits, heads: p.Heads, max: p.MaxConns, refused: p.Refused, conns: map[*conn]struct{}{}}
}

// Listen returns a listener whose connections are limited.
func (l *Limiter) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l}
}

// ListenPlain returns a listener whose connections are limited in number but do not speak HTTP. At the maximum, those that Keep was not called
// for make room for others.
func (l *Limiter) ListenPlain(inner net.Listener) net.Listener {
	return &listener{Listener: inner, limiter: l, plain: true}
}

// Keep means that the client of a connection from ListenPlain is known, so that the connection is not closed in favor of others. Wrappers
// of the connection must have a method NetConn that returns the wrapped one.
func Keep(nc net.Conn) {
	for {
		if c, ok := nc.(*conn); ok {
			c.keep()
			return
		}
		wrapper, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		nc = wrapper.NetConn()
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
		c.beginRequest(r.ContentLength)
		if r.ContentLength != 0 {
			r.Body = &body{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

// Run closes connections whose time is over, until the context ends.
func (l *Limiter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		timer.Sleep(ctx, sweepInterval)
		l.sweep()
	}
}

func (l *Limiter) sweep() {
	limits, now := l.limits(), l.now()
	var late []*conn
	l.mu.Lock()
	for c := range l.conns {
		if c.isLate(now, limits) {
			late = append(late, c)
		}
	}
	l.mu.Unlock()
	for _, c := range late {
		_ = c.Close()
	}
}

// admit adds a connection. At the maximum, it closes the connection that is needed least, and reports false if there is none.
func (l *Limiter) admit(c *conn) bool {
	l.mu.Lock()
	var dropped *conn
	if len(l.conns) >= l.max {
		if dropped = l.leastNeeded(); dropped == nil {
			l.mu.Unlock()
			return false
		}
		delete(l.conns, dropped)
	}
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	if dropped != nil {
		l.refused("connections")
		_ = dropped.Close()
	}
	return true
}

// leastNeeded returns the connection to close first: one that awaits its first head, then one that awaits another head, then one that awaits
// a body or a client that reads; among these, the one that has been waiting longest. It returns nil if all connections await a response.
func (l *Limiter) leastNeeded() *conn {
	var found *conn
	lowest, earliest := needed, time.Time{}
	for c := range l.conns {
		r, since := c.rank()
		if r < lowest || r == lowest && r != needed && since.Before(earliest) {
			found, lowest, earliest = c, r, since
		}
	}
	return found
}

func (l *Limiter) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
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
		c := &conn{Conn: accepted, limiter: l.limiter, plain: l.plain, since: l.limiter.now()}
		if l.limiter.admit(c) {
			return c, nil
		}
		l.limiter.refused("connections")
		_ = accepted.Close()
	}
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}
