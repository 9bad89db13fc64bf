package dispatch

import (
	"net"
	"sync/atomic"
)

// connection is a connection to a backend server.
type connection struct {
	net.Conn
	discarded atomic.Bool
}

// discard closes the connection, which the transport may already have offered to other requests. A request that gets it afterwards
// is not sent.
func (c *connection) discard() {
	_ = c.Close()
	c.discarded.Store(true)
}
