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

// Recheck runs a request that is answered already on a server again, for the evidence only.
type Recheck struct {
	ID     RecheckID
	Ticket TicketID
	Server azuretiller.ServerID
}

// Keep asks for the head of a request to be kept for rechecks, in place of the one kept before.
type Keep struct {
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
func (Recheck) action() {}
func (Keep) action()    {}
func (Probe) action()   {}
func (Notice) action()  {}
