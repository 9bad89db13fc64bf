package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/pkg/bytebudget"
	"github.com/azuretiller/azuretiller/pkg/common"
)

// Listener accepts the connections of an HTTP server and serves pipelined requests on them. The server must use its ConnContext and its
// Handler. Wrappers of its connections must have a method NetConn() net.Conn that returns the connection that they wrap, and pass CloseWrite on.
type Listener struct {
	net.Listener
	common *common.Common
	// mayReadAhead reports whether a request may be served before its turn.
	mayReadAhead func(*http.Request) bool
	inner        http.Handler
	// reservations is the memory of connections that read ahead and of incomplete heads, responses that of recorded responses, and slots
	// has one unit for each request that is read ahead.
	reservations, responses, slots *bytebudget.Budget
	// lingering has one unit for each closed connection whose socket is still read.
	lingering   *bytebudget.Budget
	outstanding atomic.Int64
	// unreported is the number of dropped responses whose handlers are still being told.
	unreported atomic.Int64
}

// New returns a listener for connections of l, and whose requests inner serves. Requests for which mayReadAhead returns true must be
// idempotent; they may be served at the same time as others of their connection.
func New(l net.Listener, c *common.Common, inner http.Handler, mayReadAhead func(*http.Request) bool) *Listener {
	return &Listener{
		Listener: l, common: c, mayReadAhead: mayReadAhead, inner: inner,
		reservations: bytebudget.New(maxReservations), responses: bytebudget.New(maxResponses), slots: bytebudget.New(maxPrepared),
		lingering: bytebudget.New(maxLingering),
	}
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		// The error is not wrapped, since net/http continues after temporary ones, such as a lack of descriptors.
		return nil, err
	}
	if s, ok := socket.(interface{ SetWriteBuffer(bytes int) error }); ok {
		// A failure only means that the buffer may grow further.
		_ = s.SetWriteBuffer(maxWriteBuffer)
	}
	return newConn(l, socket), nil
}

// SyscallConn returns the socket of the listener, if it has one.
func (l *Listener) SyscallConn() (syscall.RawConn, error) {
	inner, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	// The error is not wrapped, since the wrapper adds nothing to it.
	return inner.SyscallConn()
}

// ConnContext returns the context of a connection; it is the ConnContext of the server.
func (*Listener) ConnContext(ctx context.Context, socket net.Conn) context.Context {
	for {
		switch c := socket.(type) {
		case *conn:
			return c.start(ctx)
		case interface{ NetConn() net.Conn }:
			socket = c.NetConn()
		default:
			return ctx
		}
	}
}

// Handler returns the handler of the server.
func (l *Listener) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.serve(w, r)
			return
		}
		l.inner.ServeHTTP(w, r)
	})
}

// Outstanding returns the number of requests that were passed on before their turn and whose responses have not been delivered.
func (l *Listener) Outstanding() int { return int(l.outstanding.Load()) }

// Unreported returns the number of requests whose responses were dropped, and whose log lines are not written yet.
func (l *Listener) Unreported() int { return int(l.unreported.Load()) }

func (l *Listener) count(name string) { l.common.Metrics.Counter(name).Inc(1) }

// connKey is the key of the connection in its context.
type connKey struct{}

// newConn returns a connection that has not been read.
func newConn(l *Listener, socket net.Conn) *conn {
	c := &conn{Conn: socket, listener: l, framer: framer{budget: l.reservations}}
	c.changed = sync.Cond{L: &c.mu}
	return c
}
