package counting

import (
	"net"
	"sync/atomic"
)

// Counter adds up the bytes of all connections that it wraps, in both directions.
type Counter struct {
	read    atomic.Int64
	written atomic.Int64
}

// New returns a counter at zero.
func New() *Counter { return &Counter{} }

// Wrap returns a connection whose bytes are counted.
func (c *Counter) Wrap(conn net.Conn) net.Conn { return &counted{Conn: conn, counter: c} }

// Read returns the bytes that were read so far.
func (c *Counter) Read() int64 { return c.read.Load() }

// Written returns the bytes that were written so far.
func (c *Counter) Written() int64 { return c.written.Load() }

type counted struct {
	net.Conn
	counter *Counter
}

// Read reads from the connection.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.read.Add(int64(n))
	return n, err
}

// Write writes to the connection.
func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.written.Add(int64(n))
	return n, err
}
