package edge

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/azuretiller/azuretiller/pkg/explanation"
	"github.com/azuretiller/azuretiller/pkg/gateway"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	// configPath serves the newest configuration to other VMs.
	configPath = "/settings"
	// dumpPath serves the state of the process as JSON.
	dumpPath = "/dump"
)

func resolverRoutes(resolver *gateway.Resolver) http.Handler {
	r := chi.NewRouter()
	r.Method(http.MethodGet, platform.PathResolve, resolver)
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
	r.Get(configPath, e.serveConfig)
	r.Get(dumpPath, e.serveDump)
	x := newExplainer(e)
	r.Post(explanation.Path, x.serve)
	r.Post(explanation.LeaderPath, x.servePlacement)
	return r
}
