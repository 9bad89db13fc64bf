package pool

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/detector"
)

// TicketID numbers the requests of one pool.
type TicketID uint64

// Ticket describes a request to be run on a server of the pool.
type Ticket struct {
	ID         TicketID
	Team       azuretiller.TeamID
	Weight     int
	Route      azuretiller.RouteID
	Idempotent bool
	// ReadOnly means that the request changes nothing and has no body, so that it may run again after it was answered.
	ReadOnly bool
	// Retries is how many further servers the request may be sent to.
	Retries int
	// IsRetry means that the request already failed in another pool.
	IsRetry  bool
	Deadline time.Time
}

// requestState is a ticket with the state of its attempts.
type requestState struct {
	ticket Ticket
	queued time.Time
	// waitUntil is the time at which the request stops waiting for a slot.
	waitUntil time.Time
	// server is the server that the request runs on, or nil while it waits.
	server  *server
	started time.Time
	// starts counts the attempts, and notExecuted those of them that did not execute the request.
	starts      int
	notExecuted int
	tried       []*server
	// deferredFailure is the first failure. It is recorded once the retry has shown whether the server or the request was
	// at fault.
	deferredFailure *detector.Sample
	// heavy means that the running attempt counts towards the limit of heavy routes.
	heavy bool
}

func (r *requestState) triedOn(s *server) bool {
	for _, t := range r.tried {
		if t == s {
			return true
		}
	}
	return false
}
