package edge

import (
	"cmp"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/pkg/bytebudget"
	"github.com/azuretiller/azuretiller/pkg/connlimit"
)

// The limits while there is no configuration, or if it does not name them.
const (
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 10 * time.Minute
	defaultMaxHeaderBytes = 64 << 10
)

const (
	// defaultMemory and defaultMaxFds are used if the settings file names no limits; they are those of the smallest VMs.
	defaultMemory = 136 << 20
	defaultMaxFds = 2870
	// fdsForFiles is the number of descriptors that are left for files.
	fdsForFiles = 200
	// headMemoryShare is the share of the memory for heads beyond what each connection may use without a reservation. With the garbage that the
	// runtime leaves until the next collection, heads take twice as much. The largest legal head, 16 KiB in lines of three bytes, takes 1.4 MiB.
	headMemoryShare = 8
	// connMemory is the memory of a connection in bytes: 58 KiB for one with a running request, as measured with 1,200 of them, its receive
	// buffer, the part of its head that needs no reservation, and as much again for garbage and for the rest of the process.
	connMemory = 256 << 10
	// callerFdShare and otherFdShare are the shares of the descriptors for the callers' connections and for those of each other listener. As
	// many as for callers are left for connections to backend servers.
	callerFdShare = 0.35
	otherFdShare  = 0.1
	// otherConnShare is the number of connections of each other listener as a part of that of callers.
	otherConnShare = 4
	// receiveBuffer is the size of the receive buffer of a connection in bytes, which the kernel doubles. What waits in it counts as memory of
	// the VM. Without a fixed size, 1,200 connections with a running request held 145 MiB.
	receiveBuffer = 32 << 10
)

// newLimiter returns a limiter for the clients of one listener.
func (e *Edge) newLimiter(heads *bytebudget.Budget, maxConns int) *connlimit.Limiter {
	return connlimit.New(connlimit.Params{Now: e.common.Clock.Now, Limits: e.clientLimits, Heads: heads, MaxConns: maxConns, Refused: e.countRefusedClient})
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

func (e *Edge) memory() int64 { return cmp.Or(e.processSettings.MemoryBytes, defaultMemory) }

// headMemory returns the memory in bytes for the heads of all clients together.
func (e *Edge) headMemory() int64 { return e.memory() / headMemoryShare }

// maxCallerConns returns the largest number of connections of callers.
func (e *Edge) maxCallerConns() int {
	return max(min(e.fdShare(callerFdShare), int(e.memory()/connMemory)), 1)
}

// maxOtherConns returns the largest number of connections of each other listener.
func (e *Edge) maxOtherConns() int {
	return max(min(e.fdShare(otherFdShare), int(e.memory()/connMemory)/otherConnShare), 1)
}

func (e *Edge) fdShare(share float64) int {
	return int(float64(cmp.Or(e.processSettings.MaxFds, defaultMaxFds)-fdsForFiles) * share)
}

func (e *Edge) countRefusedClient(reason string) {
	e.common.Metrics.Tagged(map[string]string{"reason": reason}).Counter("clients_refused").Inc(1)
}

// limitReceiveBuffer sets the size of the receive buffers of the connections of a listener.
func limitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	return errors.Wrap(errors.CombineErrors(err, failed), "set the receive buffer")
}
