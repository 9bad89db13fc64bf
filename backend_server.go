package azuretiller

import "time"

// InstanceID is the id under which a backend server registers itself with the platform.
type InstanceID string

// BackendServer is the entry that a backend server writes for itself in the platform's registry.
type BackendServer struct {
	ID      InstanceID
	Service ServiceID
	// Address is the host:port the server listens on.
	Address string
	Zone    Zone
	Version Version
	// Slots is the number of requests the server runs concurrently.
	Slots    int
	Draining bool
	// WarmupLeft is the warm-up time that remained when the entry was written; until it has passed, the server counts as cold.
	WarmupLeft time.Duration
	// Incarnation is the Unix time of the server's start in milliseconds, and Sequence counts its heartbeats since then.
	Incarnation int64
	Sequence    int64
}

// Older reports whether the entry was written before other, an entry of the same server.
func (s BackendServer) Older(other BackendServer) bool {
	if s.Incarnation != other.Incarnation {
		return s.Incarnation < other.Incarnation
	}
	return s.Sequence < other.Sequence
}
