package metrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Metrics is the root metrics scope of a process and the HTTP handler that serves it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// New returns metrics; the values that their handler serves are updated once per interval.
func New(interval time.Duration) *Metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "azuretiller",
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
		// The reporter rejects the names of tally's own cardinality metrics.
		OmitCardinalityMetrics: true,
	}, interval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close stops the periodic updates.
func (m *Metrics) Close() error { return m.closer.Close() }
