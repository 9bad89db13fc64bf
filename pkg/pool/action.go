package pool

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// Action is an operation that a method of Pool returns and that its caller has to carry out.
type Action interface {
	action()
}

// Start sends a request to a server.
type Start struct {
	Ticket TicketID
	Server azuretiller.ServerID
	// QueueTime is how long the request waited for a slot, since its submission or the end of its last attempt.
	QueueTime time.Duration
}

// Refuse ends a request that did not run.
type Refuse struct {
	Ticket     TicketID
	Code       azuretiller.Code
	RetryAfter time.Duration
}

// Deliver returns the result of the last attempt to the sender of the request.
type Deliver struct {
	Ticket TicketID
}

// Recheck runs an answered request once more on the given server. Its result is used for outlier detection only.
type Recheck struct {
	ID     RecheckID
	Ticket TicketID
	Server azuretiller.ServerID
}

// Retain retains the head of a request for rechecks and replaces the one retained before.
type Retain struct {
	Ticket TicketID
}

// Probe queries the health endpoint of a server before the server gets requests on trial.
type Probe struct {
	Server azuretiller.ServerID
}

// LogLine writes a line to the process log.
type LogLine struct {
	Server azuretiller.ServerID
	Name   string
	Reason string
}

func (Start) action()   {}
func (Refuse) action()  {}
func (Deliver) action() {}
func (Recheck) action() {}
func (Retain) action()  {}
func (Probe) action()   {}
func (LogLine) action() {}
