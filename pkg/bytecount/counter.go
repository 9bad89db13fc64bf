package bytecount

import (
	"net"
	"sync/atomic"
)

// Counter counts the bytes read from and written to all connections that it wraps.
type Counter struct {
	read    atomic.Int64
	written atomic.Int64
}

// New returns a counter at zero.
func New() *Counter { return &Counter{} }

// Wrap returns a connection that adds its bytes to the counter.
func (c *Counter) Wrap(conn net.Conn) net.Conn { return &countedConn{Conn: conn, counter: c} }

// BytesRead returns the number of bytes read so far.
func (c *Counter) BytesRead() int64 { return c.read.Load() }

// BytesWritten returns the number of bytes written so far.
func (c *Counter) BytesWritten() int64 { return c.written.Load() }

type countedConn struct {
	net.Conn
	counter *Counter
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.read.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.written.Add(int64(n))
	return n, err
}
