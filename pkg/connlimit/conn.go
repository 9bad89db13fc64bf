package connlimit

import (
	"bytes"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/pkg/headlimit"
)

const (
	// unreservedHead is the memory in bytes of a head that needs no reservation. Heads of 4 KB with 60 lines stay below it.
	unreservedHead = 32 << 10
	// reserveStep is the size in bytes by which the reservation of a larger head grows.
	reserveStep = 32 << 10
	// headSlack is added to Limits.HeadBytes, as net/http does.
	headSlack = 4 << 10
	// readBuffer is the size in bytes of the read buffer of net/http, which may hold the start of the next head when a request ends.
	readBuffer = 4 << 10
	// slowWrite is the time after which a write counts as one that waits for the client to read.
	slowWrite = time.Second
)

// phase is what happens on a connection.
type phase int

const (
	awaitingHead phase = iota
	readingHead
	// headRead means that the head is complete, and that the handler has not started.
	headRead
	readingBody
	responding
)

// conn is a connection of a client. It counts what passes through Read.
type conn struct {
	net.Conn
	limiter *Limiter
	// below is the connection that passes requests on before net/http reads them, or nil.
	below passer
	// plain means that the bytes are not HTTP and are not counted.
	plain bool

	mu     sync.Mutex
	phase  phase
	closed bool
	// refused means that the memory for the start of the next head could not be reserved.
	refused bool
	// served is the number of requests for which the client has been served.
	served int
	// evicted means that the connection is closed in favor of another, and unordered that it is not in the order of the limiter.
	evicted, unordered bool
	// spared means that the request that was running at the eviction is answered, and is the last one of the connection.
	spared bool
	// dropped means that the evicted connection is being closed, so that no handler gets the end of a body any more.
	dropped bool
	// deadline is the end of reads that net/http has set, and wake is closed when a read that awaits the end of a body may go on.
	deadline time.Time
	wake     chan struct{}
	// overdue means that the connection is closed since the client took too long.
	overdue bool
	// since is the start of the phase, or the time of the last read of a body. bodySince is the start of the body.
	since, bodySince time.Time
	head             headlimit.Counter
	// reserved is the memory that is taken from Limiter.heads.
	reserved int64
	// bodyLength is the length of the body in bytes, or -1 if it is unknown.
	bodyLength int64
	// rest counts what was read after the head, and last what the last read of more than one byte and the reads after it returned. net/http
	// reads a single byte while a handler runs.
	rest, last size
	// writing is the start of the write that is under way, or zero.
	writing time.Time
	// line is the length of the line at the end of rest, and blank means that it is a carriage return.
	line  int
	blank bool
	// presumed means that it is not known whether a part of the next head has been read.
	presumed bool
}

// size is a number of bytes and of line ends.
type size struct {
	bytes int64
	lines int
}

// Read reads from the connection. It fails once the head exceeds a limit.
func (c *conn) Read(p []byte) (int, error) {
	if c.isRefused(len(p)) {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if n == 0 && err != nil && c.wasInterrupted(len(p), err) {
		return c.Read(p)
	}
	if n > 0 && !c.plain {
		refusal, ok := c.count(p[:n])
		c.reorder()
		if refusal != "" {
			c.refuse(refusal)
		}
		if !ok {
			// net/http closes the connection without a response of its own after a timeout.
			return 0, os.ErrDeadlineExceeded
		}
	}
	// The error is not wrapped, since net/http examines it.
	return n, err
}

// refuse writes a response without the help of net/http.
func (c *conn) refuse(response string) {
	_ = c.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = io.WriteString(c.Conn, response)
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	c.setWriting(c.limiter.now())
	defer c.setWriting(time.Time{})
	// The error is not wrapped, since net/http examines it.
	return c.Conn.Write(p)
}

func (c *conn) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = since
}

func (c *conn) isRefused(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if size == 1 {
		c.awaitEndOfBody()
	}
	return c.refused || c.evicted || c.overdue
}

// count counts bytes that were read, and reports whether net/http may have them. If the head is refused, it returns the response.
func (c *conn) count(p []byte) (refusal string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted || c.overdue {
		return "", false
	}
	used := 0
	switch c.phase {
	case awaitingHead:
		c.setPhase(readingHead)
		fallthrough
	case readingHead:
		if c.presumed {
			c.presumed, c.since = false, c.limiter.now()
		}
		used = c.head.Add(p)
		if c.head.Ended() {
			c.setPhase(headRead)
			c.line, c.blank = 0, false
		}
	case readingBody:
		c.since = c.limiter.now()
	}
	c.countRest(p[used:])
	if c.phase != readingHead && c.phase != headRead {
		if c.phase == readingBody && c.bodyLength >= 0 && c.rest.bytes >= c.bodyLength {
			c.setPhase(responding)
		}
		return "", true
	}
	// Requests that were passed on are answered whatever they cost here. The connection below has bounded their heads.
	if c.isHeadTooLarge() && !c.hasPassedOn() {
		c.limiter.refused("head too large")
		return tooLarge, false
	}
	if !c.reserve() && !c.hasPassedOn() {
		c.limiter.refused("memory of heads")
		return unavailable, false
	}
	return "", true
}

func (c *conn) isHeadTooLarge() bool {
	// More than a read buffer behind a head that the handler has not got means that net/http still reads the head.
	return c.head.Bytes() > c.limiter.limits().HeadBytes+headSlack || c.rest.bytes > 2*readBuffer
}

// countRest counts bytes that follow the head.
func (c *conn) countRest(p []byte) {
	s := size{int64(len(p)), bytes.Count(p, []byte("\n"))}
	c.rest.add(s)
	if len(p) > 1 {
		c.last = size{}
	}
	c.last.add(s)
	if end := bytes.LastIndexByte(p, '\n'); end >= 0 {
		c.line = len(p) - end - 1
	} else {
		c.line += len(p)
	}
	if len(p) > 0 {
		c.blank = c.line == 1 && p[len(p)-1] == '\r'
	}
}

func (s *size) add(o size) {
	s.bytes += o.bytes
	s.lines += o.lines
}

// reserve takes the memory of the head that exceeds unreservedHead, and reports whether it was available.
func (c *conn) reserve() bool {
	missing := c.head.Cost() - unreservedHead - c.reserved
	if c.phase == headRead && c.rest.bytes > readBuffer {
		// net/http still reads the head, although the counter saw its end.
		missing += headlimit.Cost(c.rest.bytes, c.rest.lines)
	}
	if missing <= 0 || c.closed {
		return true
	}
	missing = (missing + reserveStep - 1) / reserveStep * reserveStep
	if !c.limiter.heads.Take(missing) {
		return false
	}
	c.reserved += missing
	return true
}

func (c *conn) release() {
	c.limiter.heads.Put(c.reserved)
	c.reserved = 0
}

func (c *conn) setPhase(p phase) {
	c.phase, c.since = p, c.limiter.now()
}

// beginRequest means that the head has been read; the length is that of the body, or -1. It reports whether the request may run.
func (c *conn) beginRequest(bodyLength int64) bool {
	defer c.reorder()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused || c.evicted || c.overdue {
		// net/http had the whole head before. The caller may have been told that the request does not run.
		return false
	}
	c.presumed = false
	hasBody := bodyLength != 0
	if c.phase != headRead {
		// The end of the head is among bytes that belong to requests sent one after the other without waiting. What follows it is not known.
		c.last = size{bytes: readBuffer, lines: c.head.Lines()}
		c.rest = c.last
		c.line, c.blank = c.head.OpenLine()
		bodyLength = -1
	}
	c.bodyLength = bodyLength
	c.setPhase(readingBody)
	c.bodySince = c.since
	if !hasBody || bodyLength >= 0 && c.rest.bytes >= bodyLength {
		c.setPhase(responding)
	}
	return true
}

// endRequest means that the response has been sent. What net/http has read beyond the request belongs to the next head; of the lines of such
// bytes only the largest possible number is known.
func (c *conn) endRequest() {
	defer c.reorder()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release()
	next := min(c.last.bytes, readBuffer+1)
	if c.bodyLength >= 0 {
		next = min(max(c.rest.bytes-c.bodyLength, 0), readBuffer+1)
	}
	lines := min(c.rest.lines, c.last.lines, int(next))
	c.head, c.rest, c.last = headlimit.Counter{}, size{}, size{}
	c.setPhase(awaitingHead)
	c.refused = c.spared
	if next == 0 {
		return
	}
	c.setPhase(readingHead)
	c.head.AddUnknown(int(next), lines, c.line, c.blank)
	c.refused = c.spared || !c.reserve() && !c.hasPassedOn()
	c.presumed = c.bodyLength < 0
}

// expire reports whether the client has taken too long for a head, without one, or to read a part of a response. If so, nothing more is read, so that
// no request begins while the connection is being closed.
func (c *conn) expire(now time.Time, limits Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overdue = c.overdue || c.isLateLocked(now, limits)
	return c.overdue
}

func (c *conn) isLateLocked(now time.Time, limits Limits) bool {
	if c.plain {
		// The protocol has its own time limits.
		return false
	}
	if !c.writing.IsZero() {
		return now.Sub(c.writing) > limits.IdleTimeout
	}
	switch {
	case c.phase != awaitingHead && c.phase != readingHead, c.hasPassedOn():
		return false
	case c.phase == awaitingHead || c.presumed:
		return now.Sub(c.since) > limits.IdleTimeout && !c.hasUnread()
	default:
		return now.Sub(c.since) > limits.HeadTimeout
	}
}

// Close closes the connection and releases what it has reserved.
func (c *conn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		c.release()
		c.wakeReader()
	}
	c.mu.Unlock()
	c.limiter.remove(c)
	return errors.Wrap(c.Conn.Close(), "close connection")
}

// NetConn returns the wrapped connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side, so that net/http can send a response before it closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return errors.Wrap(inner.CloseWrite(), "close the sending side")
	}
	return nil
}
