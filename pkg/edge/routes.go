package edge

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/azuretiller/azuretiller/pkg/gateway"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	// settingsPath serves the newest configuration to other VMs, and dumpPath the state of the process.
	settingsPath = "/settings"
	dumpPath     = "/dump"
)

func resolverRoutes(d *gateway.Resolver) http.Handler {
	r := chi.NewRouter()
	r.Method(http.MethodGet, platform.PathResolve, d)
	return r
}

func readyRoutes(current func() *gateway.State) http.Handler {
	r := chi.NewRouter()
	r.Get(platform.PathReady, func(w http.ResponseWriter, _ *http.Request) {
		if !current().Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}

func (e *Edge) peerRoutes() http.Handler {
	r := chi.NewRouter()
	r.Get(settingsPath, e.serveSettings)
	r.Get(dumpPath, e.serveDump)
	return r
}
