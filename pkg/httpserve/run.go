package httpserve

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Run serves requests on a listener. It returns nil after the server is closed or shut down, or the listener is closed. Other errors of the listener
// do not end it.
func Run(server *http.Server, l net.Listener) error {
	err := server.Serve(listener{l})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// listener is a listener that remains usable after it failed to accept a connection, for example for lack of memory.
type listener struct {
	net.Listener
}

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && !errors.Is(err, net.ErrClosed) {
		return nil, temporaryError{err}
	}
	// The error is not wrapped, since net/http examines it.
	return c, err
}

// temporaryError is an error after which net/http waits and accepts the next connection.
type temporaryError struct {
	error
}

// Temporary returns true.
func (temporaryError) Temporary() bool { return true }

// Timeout returns false.
func (temporaryError) Timeout() bool { return false }

// Unwrap returns the error of the listener.
func (e temporaryError) Unwrap() error { return e.error }
