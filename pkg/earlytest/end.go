package earlytest

import (
	"io"
	"net"
)

// End is a way in which a server ends a connection after its response.
type End func(*net.TCPConn)

// Reset ends the connection without the orderly end of its data.
func Reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// ReadOn ends the data of the server, and reads the rest of the upload.
func ReadOn(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// CloseLater ends the data of the server and then closes the connection.
func CloseLater(c *net.TCPConn) {
	_ = c.CloseWrite()
	_ = c.Close()
}

// ResetLater ends the data of the server and then resets the connection.
func ResetLater(c *net.TCPConn) {
	_ = c.CloseWrite()
	Reset(c)
}
