package exchange

import (
	"net/http"
	"time"

	"github.com/azuretiller/azuretiller"
)

// Response is the head of an answer on its way from a pool's home to the entry VM.
type Response struct {
	Code   azuretiller.Code
	Detail string
	// Status and Headers are the backend server's, when Code is CodeOK.
	Status  int
	Headers http.Header
	// Length is the length of the body in bytes, or -1 when it is not known.
	Length     int64
	Server     azuretiller.ServerID
	RetryAfter time.Duration
	// Attempts is the number of backend servers that the request was sent to.
	Attempts int
	Load     Load
	// Service is the time the backend servers took, and Queue the time spent waiting for a slot.
	Service time.Duration
	Queue   time.Duration
}

// Load is the state of a pool as its home told it with an answer.
type Load struct {
	Capacity int
	Busy     int
	Waiting  int
}
