package servergate

import "time"

// Change is a changed verdict on a backend server.
type Change struct {
	Server  Server
	Verdict Verdict
	// PauseFor is the duration of the pause, if the server is paused.
	PauseFor time.Duration
}
