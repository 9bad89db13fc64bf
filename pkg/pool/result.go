package pool

import "time"

// ResultKind is what an attempt on a backend server came to.
type ResultKind int

// The kinds of result.
const (
	// Succeeded is an answer that is not the server's fault, also one that blames the caller.
	Succeeded ResultKind = iota + 1
	// Failed is an answer with a server error.
	Failed
	// Broken is a connection that ended before the answer was whole.
	Broken
	// TimedOut is an attempt without an answer in time.
	TimedOut
	// Shed is a declaration of the server that it did not start the request.
	Shed
	// Unreachable is a connection that could not be made, so that nothing was sent.
	Unreachable
	// Cancelled is an attempt that the caller gave up.
	Cancelled
)

// Result is the end of one attempt.
type Result struct {
	Kind ResultKind
	// Latency is the time to the head of the answer.
	Latency time.Duration
	// Replayable means that the body can be sent once more and nothing of an answer went to the caller.
	Replayable bool
}

// NotRun reports whether the attempt surely did not execute the request.
func (k ResultKind) NotRun() bool { return k == Shed || k == Unreachable }

// Blames reports whether the attempt speaks against the server.
func (k ResultKind) Blames() bool { return k == Failed || k == Broken || k == TimedOut }
