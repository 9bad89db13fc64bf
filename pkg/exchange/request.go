package exchange

import (
	"net/http"
	"time"

	"github.com/azuretiller/azuretiller"
)

// Request is the head of a request on its way from the entry VM to a pool's home.
type Request struct {
	// Trace is the request's id in logs.
	Trace   string
	Team    azuretiller.TeamID
	Weight  int
	Route   azuretiller.RouteID
	Pool    azuretiller.PoolID
	Method  string
	Target  string
	Host    string
	Headers http.Header
	// Length is the length of the body in bytes, or -1 when it is not known.
	Length  int64
	Timeout time.Duration
	// Idempotent means that the request may run more than once.
	Idempotent bool
	Retries    int
	// Attempted means that the request failed in another pool before.
	Attempted   bool
	Fingerprint []byte
	// Replayable means that the caller may send the request again with its id, so the answer is kept if it is small.
	Replayable bool
}
