package pipeline

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/pkg/ending"
)

// conn is a connection of a caller. net/http reads its bytes unchanged. While requests that arrived behind the one being served are
// outstanding, a goroutine reads the socket; otherwise net/http does.
type conn struct {
	net.Conn
	listener *Listener

	mu      sync.Mutex
	changed sync.Cond
	// ctx ends when the caller disconnects or the connection is closed.
	ctx    context.Context
	cancel context.CancelCauseFunc
	framer framer
	// unread are the bytes that net/http has not read; it may read the first ready of them. The others follow a head for which there is no
	// place.
	unread []byte
	ready  int
	// paused is a complete head that waits for a place.
	paused []byte
	// readErr is the error with which the socket ended.
	readErr error
	// reading means that the goroutine runs, and inSocket that it waits for the socket.
	reading, inSocket bool
	// reserved means that the connection holds a reservation.
	reserved bool
	deadline time.Time
	// parsed is the number of requests whose heads have arrived, entered that of requests that net/http has passed to the handler, and
	// finished that of requests for which the handler has returned.
	parsed, entered, finished int
	// reported is the number of requests before the first one that no handler has got.
	reported int
	// arrivals are the times at which the heads of requests arrived that net/http has not passed to the handler, as far as they are kept.
	arrivals []arrival
	// waited is how long the current request waited behind others.
	waited time.Duration
	// current is the request that is being served.
	current *http.Request
	// flushing means that net/http may still write a part of the response to the last request, whose handler has returned; lastID is its id.
	flushing bool
	lastID   string
	// serial means that requests are not read ahead until all have been answered.
	serial bool
	// closing means that no further request is served.
	closing bool
	closed  bool
	// answered means that a part of a response was written, and notSent that one could not be.
	answered, notSent bool
	queue             []*prepared
}

// start returns the context of the connection.
func (c *conn) start(ctx context.Context) context.Context {
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	return context.WithValue(c.ctx, connKey{}, c)
}

// NetConn returns the socket.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read returns the next bytes of the caller.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case !c.deadline.IsZero() && !time.Now().Before(c.deadline):
			return 0, os.ErrDeadlineExceeded
		case c.ready > 0:
			return c.take(p), nil
		case c.reading || c.paused != nil:
			c.await()
		case c.readErr != nil:
			return 0, c.readErr
		default:
			if n, err := c.readSocket(p); n > 0 || err != nil {
				return n, err
			}
		}
	}
}

// take copies bytes that have been read ahead.
func (c *conn) take(p []byte) int {
	c.flushing = false
	n := copy(p, c.unread[:c.ready])
	c.ready -= n
	c.unread = c.unread[:copy(c.unread, c.unread[n:])]
	c.releaseIfUnused()
	c.changed.Broadcast()
	return n
}

// await waits for a change, at most until the deadline.
func (c *conn) await() {
	if c.deadline.IsZero() {
		c.changed.Wait()
		return
	}
	c.awaitUntil(c.deadline)
}

// awaitUntil waits for a change, at most until the given time.
func (c *conn) awaitUntil(end time.Time) {
	timer := time.AfterFunc(time.Until(end), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.changed.Broadcast()
	})
	c.changed.Wait()
	timer.Stop()
}

// readSocket reads from the socket, and starts the goroutine if bytes behind a request arrived.
func (c *conn) readSocket(p []byte) (int, error) {
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	if n > 0 {
		c.flushing = false
	}
	ready := c.examine(p[:n])
	c.unread = append(c.unread, p[ready:n]...)
	if err != nil && !isTimeout(err) {
		c.readErr = err
		c.stop(ending.ErrCallerLeft)
	}
	if c.isBehind() && c.readErr == nil && !c.closed && c.reserve() {
		c.reading = true
		// From now on, the deadline applies only to the wait for the goroutine.
		_ = c.Conn.SetReadDeadline(time.Time{})
		go c.readAhead()
	}
	return ready, err
}

// errHungUp means that the caller closed the connection before the bytes that it had sent were read.
var errHungUp = errors.New("the caller closed the connection")

// isTimeout reports whether a deadline passed during a read.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// SetReadDeadline limits the time of reads of net/http.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.changed.Broadcast()
	if c.reading {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline limits the time of reads and writes of net/http.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// CloseWrite closes the sending side.
func (c *conn) CloseWrite() error {
	if s, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return s.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Close cancels all requests of the connection and closes it. If the caller sent more than was answered, and may still read a response, it is
// closed later, after what still arrives has been read.
func (c *conn) Close() error {
	c.mu.Lock()
	wasClosed := c.closed
	lingers := !c.closed && c.answered && c.readErr == nil && (c.isBehind() || c.parsed > c.finished || len(c.unread) > 0)
	c.closed = true
	if c.notSent {
		c.stop(errNotSent)
	} else {
		c.stop(errClosed)
	}
	count, ids := c.notServed()
	c.unread, c.ready = nil, 0
	c.framer.lose()
	c.releaseIfUnused()
	c.changed.Broadcast()
	c.mu.Unlock()
	if !wasClosed && count > 0 {
		c.listener.logNotServed(count, ids, c.cause())
	}
	if !lingers || !c.listener.lingering.Take(1) {
		return c.Conn.Close()
	}
	if c.CloseWrite() != nil {
		c.listener.lingering.Put(1)
		return c.Conn.Close()
	}
	go c.linger()
	return nil
}

// linger reads what the caller sends until it closes the connection, and closes the socket.
func (c *conn) linger() {
	defer c.listener.lingering.Put(1)
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLinger)
	_ = c.Conn.Close()
}
