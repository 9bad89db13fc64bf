package forward

import (
	"net/http"
	"time"

	"github.com/azuretiller/azuretiller"
)

// Request is the head of a request that the VM with the caller's connection sends to the VM that owns the pool.
type Request struct {
	// TraceID is the ID of the request in log lines.
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
	Retries    int
	// MayHaveRun means that another pool may already have run the request.
	MayHaveRun  bool
	Fingerprint []byte
	// Replayable means that the caller sent a request ID and may repeat the request, so a small answer is stored.
	Replayable bool
}
