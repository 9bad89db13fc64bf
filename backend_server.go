package azuretiller

import "time"

// InstanceID names one backend server, as it registered itself with the platform.
type InstanceID string

// BackendServer is what a backend server said of itself in the platform's registry.
type BackendServer struct {
	ID      InstanceID
	Service ServiceID
	// Address is the host:port the server listens on.
	Address string
	Zone    Zone
	// Slots is the number of requests the server runs at the same time.
	Slots    int
	Draining bool
	// ColdFor is how long the server stays cold, counted from when the entry was written.
	ColdFor time.Duration
	// Born is the Unix time of the server's start in milliseconds, and Sequence counts its heartbeats since then.
	Born     int64
	Sequence int64
}

// Older reports whether the entry was written before another one of the same server.
func (s BackendServer) Older(than BackendServer) bool {
	if s.Born != than.Born {
		return s.Born < than.Born
	}
	return s.Sequence < than.Sequence
}
