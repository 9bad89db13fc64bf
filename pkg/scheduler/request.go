package scheduler

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/zoneflow"
)

// Request is one attempt at a caller's request that needs a backend server.
type Request struct {
	// Key identifies the attempt for the VM that submitted it. Requests with the same key are the same attempt.
	Key Key
	// ID is the id of the caller's request.
	ID string
	// Zone is the availability zone of the VM that submitted the attempt.
	Zone azuretiller.Zone
	Team azuretiller.TeamID
	// Route selects the average service time and body size that the scheduler learned from earlier answers.
	Route azuretiller.RouteID
	// Priority is 0 for the most urgent requests and larger for others.
	Priority int
	// Shared means that the service is only one of several that serve the route.
	Shared     bool
	Idempotent bool
	// SubmittedBefore means that an earlier attempt of the caller's request was submitted.
	SubmittedBefore bool
	// PreviouslySent means that a backend server may have received an earlier attempt. The retry budget limits such attempts.
	PreviouslySent bool
	// Tried are the servers that are not chosen: those of earlier attempts, and those that asked the VM for no requests.
	Tried    []azuretiller.InstanceID
	Deadline time.Time
	// SoftDeadline is when the target latency of the request is exceeded.
	SoftDeadline time.Time
	Fingerprint  uint64
}

// Key identifies an attempt by the host:port of the VM that submitted it and by the VM's number for the call.
type Key struct {
	From string
	Call uint64
}

// Decision is the result of scheduling one request.
type Decision struct {
	Key    Key
	ID     string
	Ticket message.TicketID
	Server Server
	// Code is CodeOK if the request got a server or waits. Otherwise it is the reason why the request is rejected.
	Code       azuretiller.Code
	RetryAfter time.Duration
	// Refusal is why a request with CodeOverloaded was rejected.
	Refusal Refusal
	Queued  bool
	// SuccessProbability is the probability that the server answers the request, and Busy the number of requests that ran
	// on it when it was chosen.
	SuccessProbability float64
	Busy               int
	QueueTime          time.Duration
	// CrossZone means that the server is in a different availability zone from the VM.
	CrossZone bool
	// Crossing is why the request left its zone, if requests are kept in their zones.
	Crossing zoneflow.Verdict
	// Route, SubmittedBefore, Deadline and Fingerprint are copied from the request.
	Route           azuretiller.RouteID
	SubmittedBefore bool
	Deadline        time.Time
	Fingerprint     uint64
}
