package pool

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// Action is something that the pool wants done.
type Action interface {
	action()
}

// Start sends a request to a server.
type Start struct {
	Ticket TicketID
	Server azuretiller.ServerID
	// Queued is how long the request waited.
	Queued time.Duration
}

// Refuse ends a request that did not run.
type Refuse struct {
	Ticket     TicketID
	Code       azuretiller.Code
	RetryAfter time.Duration
}

// Deliver gives the result of the last attempt to the caller.
type Deliver struct {
	Ticket TicketID
}

// Probe asks the health endpoint of a server before it is tried with work.
type Probe struct {
	Server azuretiller.ServerID
}

// Notice is an event for the log of the process.
type Notice struct {
	Server azuretiller.ServerID
	Name   string
	Reason string
}

func (Start) action()   {}
func (Refuse) action()  {}
func (Deliver) action() {}
func (Probe) action()   {}
func (Notice) action()  {}
