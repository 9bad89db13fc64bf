package httpserve

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Run serves requests on a listener. It returns nil after the server is closed or shut down.
func Run(server *http.Server, l net.Listener) error {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	return nil
}
