package httpserve

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Run serves on a listener; it returns nil once the server was closed or shut down.
func Run(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	return nil
}
