package earlytest

import (
	"net"
	"sync"
)

// conn is a connection whose reset is reported to a write: the last bytes of the response are returned after a write has failed, which
// returns after the reads have ended.
type conn struct {
	net.Conn
	size, read                        int
	consumed, failed, ended           chan struct{}
	consumedOnce, failOnce, endedOnce sync.Once
}

func newConn(inner net.Conn, p Params) *conn {
	c := &conn{Conn: inner, size: len(p.Response), consumed: make(chan struct{}), failed: make(chan struct{}), ended: make(chan struct{})}
	if !p.WriteFails {
		c.fail()
	}
	if !p.HoldWrite {
		c.end()
	}
	return c
}

func (c *conn) fail() { c.failOnce.Do(func() { close(c.failed) }) }
func (c *conn) end()  { c.endedOnce.Do(func() { close(c.ended) }) }

// Read reads from the connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.end()
	}
	if c.read += n; c.read >= c.size {
		c.consumedOnce.Do(func() { close(c.consumed) })
		<-c.failed
	}
	return n, err
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.fail()
		<-c.ended
	}
	return n, err
}

// Close closes the connection.
func (c *conn) Close() error {
	c.fail()
	c.end()
	return c.Conn.Close()
}
