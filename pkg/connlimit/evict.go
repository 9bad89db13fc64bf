package connlimit

import (
	"math/bits"
	"time"
)

// rank is how much a connection is needed.
type rank int

const (
	awaitsHead rank = iota
	// awaitsClient means that the client sends a body or reads a response.
	awaitsClient
	// needed is the rank of connections that are not closed in favor of others.
	needed
)

// bodyRate is the number of bytes a second at which a body counts as arriving. A client that sends less counts as waiting since the time at
// which it would have sent as much at this rate, so that single bytes do not keep a connection.
const bodyRate = 8 << 10

// rank returns how much a connection is needed, and since when it waits for the client.
func (c *conn) rank() (rank, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rankLocked()
}

func (c *conn) rankLocked() (rank, time.Time) {
	switch {
	case !c.writing.IsZero() && c.limiter.now().Sub(c.writing) > slowWrite:
		return awaitsClient, c.writing
	case c.phase == readingBody:
		earned := c.bodySince.Add(time.Duration(c.rest.bytes) * time.Second / bodyRate)
		if earned.Before(c.since) {
			return awaitsClient, earned
		}
		return awaitsClient, c.since
	case c.phase == headRead || c.phase == responding || c.hasPassedOn():
		return needed, c.since
	default:
		return awaitsHead, c.since
	}
}

// standing tells whether a connection may be closed in favor of another.
type standing int

const (
	// evicted means that the connection is closed now.
	evicted standing = iota
	// progressed means that the client has sent something meanwhile.
	progressed
	// inUse means that the connection is needed. It returns to the order by itself.
	inUse
)

// tryEvict evicts a connection that has been waiting since the given time, and otherwise returns since when it does.
func (c *conn) tryEvict(seen time.Time) (standing, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, since := c.rankLocked()
	switch {
	case r == needed || c.phase == awaitingHead && c.hasUnread():
		// What has arrived may be a whole request.
		c.unordered = true
		return inUse, since
	case since.After(seen):
		return progressed, since
	default:
		c.evicted = true
		return evicted, since
	}
}

// dismiss ends an evicted connection. If the limiter may wait for it, a request whose body has not arrived is refused by its handler, and one
// whose head has not, here.
func (c *conn) dismiss(mayWait bool) {
	if mayWait && c.interruptBody() {
		return
	}
	c.mu.Lock()
	// A write that was slow at the eviction may have ended since, so that a request that was passed on is next.
	mayRefuse := mayWait && c.phase == readingHead && !c.presumed && !c.hasPassedOn()
	c.mu.Unlock()
	if !mayRefuse {
		if c.drop() {
			_ = c.Close()
		}
		return
	}
	go func() {
		c.refuse(unavailable)
		_ = c.Close()
	}()
}

// interruptBody ends the read of a body that has not arrived, and reports whether the connection stays.
func (c *conn) interruptBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == readingBody && !c.spared {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return true
	}
	return c.spared
}

// SetReadDeadline limits the time of reads, unless the connection is evicted.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.evicted {
		c.wakeReader()
		return nil
	}
	// The error is not wrapped, since net/http examines it.
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline limits the time of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// isEvicted reports whether the connection is closed in favor of another.
func (c *conn) isEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

func (c *conn) isOverdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overdue
}

// isSilent reports whether the client has sent nothing yet.
func (c *conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served == 0 && c.phase == awaitingHead
}

// reorder returns a connection to the order if it is not needed any more.
func (c *conn) reorder() {
	c.mu.Lock()
	returns := false
	if c.unordered {
		r, _ := c.rankLocked()
		returns = r != needed
		c.unordered = !returns
	}
	c.mu.Unlock()
	if returns {
		c.limiter.restore(c)
	}
}

// levels is the number of levels of connections. Those on which no request has been served have level 0; each doubling of the served requests
// raises the level. A crowd would have to send as many requests on each connection as ordinary clients do on theirs.
const levels = 6

// markServed counts a served request.
func (c *conn) markServed() {
	c.mu.Lock()
	before := c.levelLocked()
	c.served++
	rises := c.levelLocked() != before
	c.mu.Unlock()
	if rises {
		c.limiter.promote(c)
	}
}

// level returns the level of the connection.
func (c *conn) level() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.levelLocked()
}

func (c *conn) levelLocked() int { return min(bits.Len(uint(c.served)), levels-1) }
