package pipeline

import (
	"context"
	"net"
	"net/http"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/pkg/ending"
	"github.com/azuretiller/azuretiller/pkg/logid"
	"github.com/azuretiller/azuretiller/platform"
)

// The causes with which the contexts of requests end, besides ending.ErrCallerLeft.
var (
	errClosed    = errors.New("connection closed by the VM")
	errNotSent   = errors.New("earlier response of the connection could not be sent")
	errBrokeOff  = errors.New("earlier response of the connection broke off")
	errOutOfStep = errors.New("request read ahead differs from the one that followed")
)

// logNotServed logs that requests that were read do not reach the handler, with the ids that are known.
func (l *Listener) logNotServed(count int, ids string, cause error) {
	l.countUnanswered(ending.NotServed, count)
	l.common.Log.WithFields(log.Fields{"count": count, "request": ids, "reason": cause.Error()}).Warn("requests not served")
}

// Write writes to the caller. net/http writes the end of a response after its handler has returned, and tells nobody that this failed.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.mu.Lock()
		c.answered = true
		c.mu.Unlock()
	}
	if err != nil {
		c.logNotSent(err)
	}
	// The error is not wrapped, since net/http examines it.
	return n, err
}

func (c *conn) logNotSent(err error) {
	c.mu.Lock()
	c.notSent = true
	flushing, id := c.flushing, c.lastID
	c.flushing = false
	c.mu.Unlock()
	if !flushing {
		return
	}
	cause := err
	if errors.Is(err, net.ErrClosed) {
		cause = c.cause()
	}
	c.listener.countUnanswered(ending.WriteFailed, 1)
	c.listener.common.Log.WithFields(log.Fields{"request": id, "reason": cause.Error()}).Warn("response not sent")
}

func (l *Listener) countUnanswered(reason ending.Ending, count int) {
	l.common.Metrics.Tagged(map[string]string{"reason": string(reason)}).Counter("requests_unanswered").Inc(int64(count))
}

// cause returns why the connection ends.
func (c *conn) cause() error {
	if c.ctx == nil || c.ctx.Err() == nil {
		return errClosed
	}
	return context.Cause(c.ctx)
}

// requestID returns the id of a request, shortened for the log.
func requestID(r *http.Request) string {
	return logid.Shorten(r.Header.Get(platform.HeaderAttempt))
}
