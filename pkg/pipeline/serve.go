package pipeline

import (
	"maps"
	"net/http"
	"slices"
	"time"
)

// serve serves the next request that net/http read.
func (c *conn) serve(w http.ResponseWriter, r *http.Request) {
	p, inStep, reported := c.enter(r)
	completed, cause := false, errBrokeOff
	defer func() { c.finish(p, completed, cause) }()
	if c.ctx.Err() != nil || !inStep {
		cause = errOutOfStep
		if c.ctx.Err() != nil {
			cause = c.cause()
		}
		if !reported {
			c.listener.logNotServed(1, requestID(r), cause)
		}
		panic(http.ErrAbortHandler)
	}
	if r.ContentLength == 0 {
		// For a request with a body, nothing is read ahead, and http.MaxBytesReader needs the writer of net/http.
		w = &writer{ResponseWriter: w, conn: c}
	}
	if p == nil {
		c.listener.inner.ServeHTTP(w, r)
	} else {
		p.response.deliver(w)
	}
	completed = true
}

// enter counts a request that net/http read, and returns it if it was served ahead. It reports whether it is the same request then, and whether
// its handler writes a log line.
func (c *conn) enter(r *http.Request) (served *prepared, inStep, reported bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := c.entered
	c.entered++
	if index >= c.parsed {
		// net/http found a request that the framer did not find.
		c.framer.lose()
	}
	c.current, c.flushing = r, false
	c.waited = c.takeWait(index)
	inStep = true
	if len(c.queue) > 0 && c.queue[0].index <= index {
		first := c.queue[0]
		inStep = first.index == index && isSameRequest(first.request, r)
		if first.response == nil {
			c.listener.slots.Put(1)
		} else {
			served = first
		}
		c.queue = slices.Delete(c.queue, 0, 1)
	}
	if inStep {
		c.serveQueue()
		c.resume()
	}
	return served, inStep, served != nil || index < c.reported
}

// finish ends a request. Unless it was completed, net/http closes the connection for the given cause.
func (c *conn) finish(p *prepared, completed bool, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p != nil {
		p.cancel(cause)
		c.listener.slots.Put(1)
		c.listener.outstanding.Add(-1)
		if !completed {
			p.response.drop()
		}
	}
	c.finished++
	c.lastID = requestID(c.current)
	c.current = nil
	if !completed {
		c.stop(cause)
		return
	}
	c.flushing = c.ctx.Err() == nil
	if !c.closing && c.parsed == c.finished && !c.framer.isInHead() && !c.framer.isInBody() && len(c.unread) == 0 {
		c.serial = false
	}
	if c.parsed == c.finished {
		// The head that waits for a place is that of the next request.
		c.resume()
	}
	c.releaseIfUnused()
	if c.inSocket && !c.isBehind() {
		// net/http reads the socket from now on.
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	c.changed.Broadcast()
}

// mayClose reports whether the response to the current request may close the connection. If it may, no further request is served.
func (c *conn) mayClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasPassedOn() {
		return false
	}
	c.serial, c.closing = true, true
	c.dropFrom(0, nil)
	return true
}

// HasPassedOn reports whether a request that net/http has not passed to the handler has been passed on, even if it was cancelled since.
func (c *conn) HasPassedOn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reported > c.entered || c.hasPassedOn()
}

// HasUnread reports whether bytes of the caller wait for net/http.
func (c *conn) HasUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.unread) > 0
}

// hasPassedOn reports whether a response to a request behind the current one is prepared.
func (c *conn) hasPassedOn() bool {
	return slices.ContainsFunc(c.queue, func(p *prepared) bool { return p.response != nil })
}

// isSameRequest reports whether net/http read the request that was served.
func isSameRequest(served, read *http.Request) bool {
	return served.Method == read.Method && served.RequestURI == read.RequestURI && served.Host == read.Host && served.Proto == read.Proto &&
		read.ContentLength == 0 && len(read.TransferEncoding) == 0 && maps.EqualFunc(served.Header, read.Header, slices.Equal[[]string])
}
