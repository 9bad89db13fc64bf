package pipeline

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/azuretiller/azuretiller/pkg/ending"
)

// readAhead reads the socket while bytes behind an unanswered request have arrived.
func (c *conn) readAhead() {
	buffer := make([]byte, readSize)
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.isBehind() && c.readErr == nil && !c.closed {
		if len(c.unread) > maxReadAhead-readSize {
			c.awaitSpace()
			continue
		}
		c.inSocket = true
		c.mu.Unlock()
		n, err := c.Conn.Read(buffer)
		c.mu.Lock()
		c.inSocket = false
		if c.closed {
			break
		}
		c.unread = append(c.unread, buffer[:n]...)
		c.ready += c.examine(c.unread[c.ready:])
		switch {
		case err == nil:
		case isTimeout(err):
			// finish interrupted the read.
			_ = c.Conn.SetReadDeadline(time.Time{})
		default:
			c.readErr = err
			c.stop(ending.ErrCallerLeft)
		}
		c.changed.Broadcast()
	}
	c.reading = false
	if !c.closed {
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	c.releaseIfUnused()
	c.changed.Broadcast()
}

// awaitSpace waits for a change, or until it is time to check whether the caller is still there, which no read tells meanwhile.
func (c *conn) awaitSpace() {
	c.awaitUntil(time.Now().Add(hangUpInterval))
	if !c.closed && hasHungUp(c.Conn) {
		c.readErr = errHungUp
		c.stop(ending.ErrCallerLeft)
		c.changed.Broadcast()
	}
}

// isBehind reports whether bytes behind an unanswered request have arrived.
func (c *conn) isBehind() bool {
	unanswered := c.parsed - c.finished
	return c.paused != nil || unanswered > 1 || unanswered == 1 && c.framer.isInHead()
}

// reserve reports whether the connection has a reservation, after it took one if possible.
func (c *conn) reserve() bool {
	if !c.reserved {
		c.reserved = c.listener.reservations.Take(reservation)
		if !c.reserved {
			c.listener.count("read_ahead_limited")
		}
	}
	return c.reserved
}

func (c *conn) releaseIfUnused() {
	if len(c.unread) == 0 && !c.reading {
		c.unread = nil
		if c.reserved && len(c.queue) == 0 && c.paused == nil {
			c.reserved = false
			c.listener.reservations.Put(reservation)
		}
	}
}

// examine finds the requests in the next bytes of the connection, and returns how many of the bytes net/http may read.
func (c *conn) examine(p []byte) int {
	n := 0
	for n < len(p) && c.paused == nil {
		used, text := c.framer.next(p[n:])
		n += used
		if text != nil {
			c.add(text)
		}
	}
	return n
}

// add counts a request whose head has arrived, and prepares its response if it may be served before its turn. If there is no place, the
// bytes behind it wait.
func (c *conn) add(text []byte) {
	h := examineHead(text)
	c.framer.startBody(h)
	if c.parsed > c.finished && !c.serial {
		switch {
		case !h.plain || !c.reserve():
			c.serial = true
		case !c.hasPlace(len(text)):
			c.listener.count("read_ahead_limited")
			c.paused = bytes.Clone(text)
			return
		default:
			c.enqueue(text)
		}
	}
	if !h.plain {
		c.serial = true
	}
	c.noteArrival(text)
	c.parsed++
}

// hasPlace reports whether one more request with a head of the given size may be read ahead, and takes a slot of the VM for it.
func (c *conn) hasPlace(size int) bool {
	for _, p := range c.queue {
		size += p.size
	}
	return len(c.queue) < maxRequests && size <= maxReadAhead && c.listener.slots.Take(1)
}

// resume examines the head that waited for a place again.
func (c *conn) resume() {
	if c.paused == nil {
		return
	}
	text := c.paused
	c.paused = nil
	c.add(text)
	c.ready += c.examine(c.unread[c.ready:])
	c.changed.Broadcast()
}

// prepared is a request that was read ahead.
type prepared struct {
	// index is the number of requests before it on the connection.
	index   int
	request *http.Request
	// size is the size of the head in bytes.
	size   int
	readAt time.Time
	cancel context.CancelCauseFunc
	// response is nil until the request is served.
	response *recorder
}

// enqueue adds a request, for which a slot was taken.
func (c *conn) enqueue(text []byte) {
	r, err := parseRequest(text)
	if err != nil {
		c.listener.slots.Put(1)
		c.serial = true
		return
	}
	r.RemoteAddr = c.RemoteAddr().String()
	c.queue = append(c.queue, &prepared{index: c.parsed, request: r, size: len(text), readAt: c.listener.common.Clock.Now()})
	c.serveQueue()
}

// serveQueue begins to serve the requests behind the current one.
func (c *conn) serveQueue() {
	if c.current == nil || len(c.queue) == 0 || c.closing {
		return
	}
	for i, p := range c.queue {
		if p.response != nil {
			continue
		}
		if !c.listener.mayReadAhead(c.current) || !c.listener.mayReadAhead(p.request) {
			c.serial = true
			c.dropFrom(i, nil)
			return
		}
		c.serveAhead(p)
	}
}

// serveAhead begins to serve a request.
func (c *conn) serveAhead(p *prepared) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	p.cancel = cancel
	p.response = newRecorder(ctx, c.listener, p.readAt)
	c.listener.count("requests_read_ahead")
	c.listener.outstanding.Add(1)
	// The handler changes the headers of its request, while those that were read are compared later.
	request := p.request.Clone(ctx)
	go p.response.run(c.listener.inner, request)
}

// dropFrom cancels the requests of the queue from the given position on.
func (c *conn) dropFrom(position int, cause error) {
	for _, p := range c.queue[position:] {
		c.listener.slots.Put(1)
		if p.response != nil {
			p.cancel(cause)
			p.response.drop()
			c.reported = p.index + 1
			c.listener.outstanding.Add(-1)
			c.listener.count("read_ahead_cancelled")
		}
	}
	clear(c.queue[position:])
	c.queue = c.queue[:position]
}

// stop cancels all requests of the connection. The first cause counts.
func (c *conn) stop(cause error) {
	c.serial, c.closing = true, true
	c.dropFrom(0, cause)
	c.resume()
	if c.cancel != nil {
		c.cancel(cause)
	}
}
