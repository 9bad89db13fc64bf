package forward

import (
	"net/http"
	"time"

	"github.com/azuretiller/azuretiller"
)

// Response is the head of a response that the VM that owns the pool sends to the entry VM.
type Response struct {
	Code   azuretiller.Code
	Detail string
	// Status and Headers come from the backend server if Code is CodeOK.
	Status  int
	Headers http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length     int64
	Server     azuretiller.ServerID
	RetryAfter time.Duration
	// Attempts is the number of attempts to send the request to a backend server.
	Attempts int
	Load     Load
	// ServiceTime is the time that the backend servers took in all attempts.
	ServiceTime time.Duration
	// QueueTime is the time that the request waited for slots.
	QueueTime time.Duration
}

// Load is the load of a pool at the time of a response: the concurrency limit of its usable backend servers, the requests
// that are running on its backend servers and the queued requests.
type Load struct {
	Capacity int
	Running  int
	Queued   int
}
