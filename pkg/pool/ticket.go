package pool

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/detector"
)

// TicketID numbers the requests of one pool.
type TicketID uint64

// Ticket is a request that wants to run on a server of the pool.
type Ticket struct {
	ID         TicketID
	Team       azuretiller.TeamID
	Weight     int
	Route      azuretiller.RouteID
	Idempotent bool
	// ReadOnly means that the request changes nothing and has no body, so that it may also run again after it was answered.
	ReadOnly bool
	// Retries is how many further servers the request may be sent to.
	Retries int
	// Retry means that the request already failed in another pool.
	Retry    bool
	Deadline time.Time
}

// request is a ticket with what happened to it.
type request struct {
	ticket Ticket
	queued time.Time
	// waitUntil is when waiting for a slot is no longer useful.
	waitUntil time.Time
	server    *server
	started   time.Time
	starts    int
	notRuns   int
	tried     []*server
	// held is the first failure, kept until the retry shows whether the server or the request was at fault.
	held  *detector.Sample
	heavy bool
}

func (r *request) triedOn(s *server) bool {
	for _, t := range r.tried {
		if t == s {
			return true
		}
	}
	return false
}
