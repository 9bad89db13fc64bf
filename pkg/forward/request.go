package forward

import (
	"net/http"
	"time"

	"github.com/azuretiller/azuretiller"
)

// Request is the head of a request. The entry VM, which has the caller's connection, sends it to the VM that owns the pool.
type Request struct {
	// TraceID identifies the request in log lines and in a header that is sent to the backend server.
	TraceID string
	Team    azuretiller.TeamID
	Weight  int
	Route   azuretiller.RouteID
	Pool    azuretiller.PoolID
	Method  string
	Target  string
	Host    string
	Headers http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length  int64
	Timeout time.Duration
	// Idempotent means that the request may run more than once.
	Idempotent bool
	// Retries is the maximum number of retries, which is set for the route.
	Retries int
	// MayHaveRun means that another pool may already have run the request.
	MayHaveRun bool
	// Fingerprint identifies requests with the same content, to count the crashes of backend servers that they cause.
	Fingerprint []byte
	// Replayable means that the caller sent a request ID and may repeat the request, so a small response is stored.
	Replayable bool
}
