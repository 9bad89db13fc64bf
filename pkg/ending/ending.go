package ending

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/pkg/connlimit"
)

// Ending says whether the caller of a request got a complete response, and otherwise why not.
type Ending string

// The endings of requests.
const (
	Answered   Ending = "answered"
	CallerLeft Ending = "caller left"
	VMStopped  Ending = "vm stopped"
	// Evicted and Overdue mean that the connection was closed because of a limit for clients.
	Evicted Ending = "evicted"
	Overdue Ending = "overdue"
	// BrokeOff means that the response of the backend server did.
	BrokeOff    Ending = "broke off"
	WriteFailed Ending = "write failed"
	// TurnLost means that the connection ended before the turn of a request that was read ahead.
	TurnLost Ending = "turn lost"
	// NotServed means that the connection ended before a handler got the request.
	NotServed Ending = "not served"
	Panicked  Ending = "panic"
)

// ErrCallerLeft is the cause with which the context of a request ends because its caller disconnected.
var ErrCallerLeft = errors.New("caller disconnected")

// Of returns why the context of a request has ended, with a text for the log; stopped means that the VM closes its connections.
func Of(ctx context.Context, stopped bool) (ended Ending, reason string) {
	cause := context.Cause(ctx)
	switch {
	case stopped:
		return VMStopped, "cut because the VM stopped"
	case connlimit.IsEvicted(ctx):
		return Evicted, "connection closed in favor of another"
	case connlimit.IsOverdue(ctx):
		return Overdue, "caller did not read"
	case cause == nil || errors.Is(cause, context.Canceled) || errors.Is(cause, ErrCallerLeft):
		return CallerLeft, ErrCallerLeft.Error()
	default:
		return TurnLost, cause.Error()
	}
}
