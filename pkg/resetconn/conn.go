package resetconn

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Conn is a connection whose reads return io.EOF only if the peer ended its data before any error of the connection.
type Conn struct {
	net.Conn
	// writing is held during each write.
	writing sync.Mutex
	// mu guards failure.
	mu      sync.Mutex
	failure error
	// readsEnded is cancelled when nothing more can be read.
	readsEnded context.Context
	endReads   context.CancelFunc
}

// New returns a connection that uses conn.
func New(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.readsEnded, c.endReads = context.WithCancel(context.Background())
	return c
}

// Read reads from the connection. At the end of the peer's data, it ends the running write and fails later ones.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		defer c.endReads()
		c.stopWrites()
		if failure := c.firstFailure(); failure != nil {
			return n, failure
		}
	case isKernelError(err):
		defer c.endReads()
		c.recordFailure(err)
	}
	return n, err
}

// Write writes to the connection. If the peer has ended the connection, it returns when nothing more can be read or the connection is closed:
// net/http closes a connection after a failed write, even if it has not read the whole response.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.write(p)
	if errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET) {
		<-c.readsEnded.Done()
	}
	return n, err
}

func (c *Conn) write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if isKernelError(err) {
		c.recordFailure(err)
	}
	return n, err
}

// Close closes the connection.
func (c *Conn) Close() error {
	defer c.endReads()
	return c.Conn.Close()
}

// stopWrites waits for the running write, which may have received the error of a reset.
func (c *Conn) stopWrites() {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
}

// isKernelError reports whether an error comes from a system call. Others, such as a deadline, say nothing about the peer.
func isKernelError(err error) bool {
	var code syscall.Errno
	return errors.As(err, &code)
}

// recordFailure keeps the first error, except EPIPE: it follows the end of the peer's data or another error.
func (c *Conn) recordFailure(err error) {
	if errors.Is(err, syscall.EPIPE) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil {
		c.failure = err
	}
}

func (c *Conn) firstFailure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}
