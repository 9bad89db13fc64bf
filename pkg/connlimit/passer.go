package connlimit

import "net"

// passer is a connection that may pass requests on before net/http reads them. It must not call the limiter while one of its
// methods waits.
type passer interface {
	// HasPassedOn reports whether a request that net/http has not read has been passed on.
	HasPassedOn() bool
	// HasUnread reports whether bytes that were read from the socket wait for net/http.
	HasUnread() bool
}

// findPasser returns the passer among a connection and those that it wraps, or nil.
func findPasser(nc net.Conn) passer {
	for {
		switch c := nc.(type) {
		case passer:
			return c
		case interface{ NetConn() net.Conn }:
			nc = c.NetConn()
		default:
			return nil
		}
	}
}

// hasPassedOn reports whether the next request is under way, so that it must not be refused.
func (c *conn) hasPassedOn() bool { return c.below != nil && c.below.HasPassedOn() }

// hasUnread reports whether the client has sent something that net/http has not read.
func (c *conn) hasUnread() bool { return c.below != nil && c.below.HasUnread() || hasUnread(c.Conn) }
