package edge

import (
	"cmp"
	"time"

	"github.com/azuretiller/azuretiller/pkg/clientlimit"
	"github.com/azuretiller/azuretiller/pkg/connlimit"
)

// The limits while there is no configuration, or if it does not name them.
const (
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 10 * time.Minute
	defaultMaxHeaderBytes = 64 << 10
)

// newClientLimits returns the limits for the clients of all listeners.
func (e *Edge) newClientLimits() *clientlimit.Set {
	return clientlimit.New(clientlimit.Params{
		Common: e.common, Memory: e.processSettings.MemoryBytes, Descriptors: e.processSettings.MaxFds, Limits: e.clientLimits,
	})
}

// clientLimits returns the limits of the configuration for clients.
func (e *Edge) clientLimits() connlimit.Limits {
	limits := connlimit.Limits{HeadBytes: defaultMaxHeaderBytes, HeadTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	if c := e.State().Config; c != nil {
		limits.HeadBytes = cmp.Or(max(c.Limits.MaxHeaderBytes, 0), limits.HeadBytes)
		limits.HeadTimeout = cmp.Or(max(c.Limits.HeaderTimeout, 0), limits.HeadTimeout)
		limits.IdleTimeout = cmp.Or(max(c.Limits.IdleTimeout, 0), limits.IdleTimeout)
	}
	return limits
}
