package desk

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// Request is one attempt of a caller's request that wants a backend server.
type Request struct {
	// Key names the attempt to whoever asked; a second request with the same key is the same one.
	Key  Key
	ID   string
	Zone azuretiller.Zone
	Team azuretiller.TeamID
	// Route's answers tell the usual service time.
	Route      azuretiller.RouteID
	Priority   int
	Idempotent bool
	// Repeat means that a backend server may have got the request before.
	Repeat      bool
	Tried       []azuretiller.InstanceID
	Deadline    time.Time
	Objective   time.Time
	Fingerprint uint64
}

// Key names an attempt: the VM that asked, and its number for the call.
type Key struct {
	From string
	Call uint64
}

// Decision answers a request.
type Decision struct {
	Key    Key
	ID     string
	Ticket message.TicketID
	Server Server
	// Code is CodeOK with a server, or says why the request is turned away.
	Code       azuretiller.Code
	RetryAfter time.Duration
	Waiting    bool
	// Success and Busy are what decided: the chance of a good answer, and the requests that ran on the server.
	Success float64
	Busy    int
	Queued  time.Duration
	// Crossed means that the server is in another zone than the VM.
	Crossed bool
	// Deadline and Fingerprint are the request's.
	Deadline    time.Time
	Fingerprint uint64
}
