package gateway

import (
	"net/http"
	"time"
)

// earlyWriter is the response writer of a request that is served before its turn on a connection.
type earlyWriter interface {
	// ReadAt returns the time at which the request was read.
	ReadAt() time.Time
	// AfterTurn calls f once, when the turn of the response has come or it is known not to come.
	AfterTurn(f func(waited time.Duration, delivered bool))
}

// stalled returns how long writes to the caller have waited for the turn of the response on the connection.
func (c *call) stalled() time.Duration {
	if w, ok := c.writer.(interface{ Stalled() time.Duration }); ok {
		return w.Stalled()
	}
	return 0
}

// MayReadAhead reports whether a request may be served before earlier ones of its connection have been answered: its route must be idempotent,
// and the VM must not be stopping.
func (g *Gateway) MayReadAhead(r *http.Request) bool {
	state := g.current()
	if state.Config == nil || state.Leaving || g.stopAt.Load() != nil {
		return false
	}
	route, ok := matchRoute(state.Config, r)
	return ok && route.IsIdempotent("")
}
