package pool

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// Knowledge is what the former home of a pool tells the next one.
type Knowledge struct {
	Servers []ServerKnowledge
}

// ServerKnowledge is the part of it that concerns one server.
type ServerKnowledge struct {
	Server azuretiller.ServerID
	// Limit is how many requests at once the server has shown to bear.
	Limit int
	// Busy is how many requests of the former home, and of those before it, the server still runs.
	Busy      int
	Out       bool
	Reason    string
	OutFor    time.Duration
	Ejections int
	Suspicion float64
}

// Idle reports whether the former home runs nothing any more.
func (k Knowledge) Idle() bool {
	for _, s := range k.Servers {
		if s.Busy > 0 {
			return false
		}
	}
	return true
}
