package connlimit

import (
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// body tells the connection when the body of a request has been read.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read reads the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.conn.endBody() {
		return n, os.ErrDeadlineExceeded
	}
	return n, err
}

// endBody means that the body has been read to its end. If that had arrived before the eviction, the request runs, and its connection stays
// until it is answered. It returns false if the connection is being closed, so that the request must not run.
func (c *conn) endBody() bool {
	c.mu.Lock()
	if c.phase == readingBody && c.dropped {
		c.mu.Unlock()
		return false
	}
	spared := c.phase == readingBody && c.evicted
	if c.phase == readingBody {
		c.setPhase(responding)
	}
	if spared {
		c.evicted, c.spared = false, true
		_ = c.Conn.SetReadDeadline(c.deadline)
		c.wakeReader()
	}
	c.mu.Unlock()
	if spared {
		c.limiter.spare(c)
	}
	return true
}

// drop decides that an evicted connection is closed, and reports whether it is, since no request that arrived before the eviction runs on it.
func (c *conn) drop() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropped = c.dropped || !c.spared
	return c.dropped
}

// awaitEndOfBody waits, on an evicted connection, until it is known whether a body has ended. net/http reads a single byte to notice the end of
// the connection as soon as it has found the end of the body, before endBody is called. If that read failed, the request would be cancelled.
// The caller holds c.mu, which is released meanwhile.
func (c *conn) awaitEndOfBody() {
	for c.evicted && c.phase == readingBody && !c.closed && !c.isPastDeadline() {
		if c.wake == nil {
			c.wake = make(chan struct{})
		}
		wake := c.wake
		c.mu.Unlock()
		<-wake
		c.mu.Lock()
	}
}

func (c *conn) wakeReader() {
	if c.wake != nil {
		close(c.wake)
		c.wake = nil
	}
}

// wasInterrupted reports whether the read of a single byte failed since the connection was evicted, and not by a deadline of net/http.
func (c *conn) wasInterrupted(size int, err error) bool {
	var netErr net.Error
	if size != 1 || !errors.As(err, &netErr) || !netErr.Timeout() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.evicted || c.spared) && !c.closed && !c.isPastDeadline()
}

func (c *conn) isPastDeadline() bool { return !c.deadline.IsZero() && !time.Now().Before(c.deadline) }
