package pool

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// State is the server state that the former owner of a pool hands over to the new owner.
type State struct {
	Servers []ServerState
}

// ServerState is the state of one server at a handover.
type ServerState struct {
	Server azuretiller.ServerID
	// Limit is the number of concurrent requests that the server has sustained.
	Limit int
	// Busy is the number of requests that the server still runs for the former owner and for the owners before it.
	Busy         int
	OutOfService bool
	Reason       string
	EjectionLeft time.Duration
	Ejections    int
	Suspicion    float64
}

// Idle reports whether all requests of the former owner have ended.
func (st State) Idle() bool {
	for _, s := range st.Servers {
		if s.Busy > 0 {
			return false
		}
	}
	return true
}
