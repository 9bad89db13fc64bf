package pool

import "time"

// ResultKind classifies the result of an attempt on a backend server.
type ResultKind int

// The kinds of result.
const (
	// Succeeded is a response without a server error; a response that reports an error of the caller counts as well.
	Succeeded ResultKind = iota + 1
	// Failed is a response with a server error.
	Failed
	// ConnectionBroken is a connection that ended before the response was complete.
	ConnectionBroken
	// TimedOut is an attempt without a response in time.
	TimedOut
	// Shed is a response in which the server declares that it did not start the request.
	Shed
	// Unreachable is a connection that could not be made, so that nothing was sent.
	Unreachable
	// Cancelled is an attempt that the caller cancelled.
	Cancelled
)

// Result is the result of one attempt.
type Result struct {
	Kind ResultKind
	// Latency is the time to the head of the response.
	Latency time.Duration
	// Replayable means that the request body can be sent again and that no part of a response has been sent to the caller.
	Replayable bool
}

// NotRun reports whether it is certain that the attempt did not execute the request.
func (k ResultKind) NotRun() bool { return k == Shed || k == Unreachable }

// IsServerFault reports whether the result is evidence that the server is faulty.
func (k ResultKind) IsServerFault() bool {
	return k == Failed || k == ConnectionBroken || k == TimedOut
}
