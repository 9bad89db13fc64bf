package message

// Result says how an attempt to run a request on a backend server ended.
type Result int

// The results of attempts.
const (
	// Succeeded means a complete response that is not a server error.
	Succeeded Result = iota + 1
	// Failed means a server error, or a response that was truncated or belongs to another request.
	Failed
	// Reset means that the connection ended before a response, so that the request may have crashed the server.
	Reset
	// Shed means that the server refused the request, and that its response proves that the request did not run.
	Shed
	// Unreachable means that no connection could be made, so that nothing was sent.
	Unreachable
	// Misdirected means that another server listens on the address; the request did not run.
	Misdirected
	// TimedOut means that no response came before the deadline of the attempt.
	TimedOut
	// Cancelled means that the caller disconnected or no longer needs the attempt.
	Cancelled
	// ConnectionRefused means that the connection was refused because no server listens on the address; nothing was sent.
	ConnectionRefused
	// Withheld means that nothing was sent, since the server had told this VM that it leaves or wants a pause.
	Withheld
)

// NotRun reports whether the result proves that the request did not run.
func (r Result) NotRun() bool { return r == Shed || r == Misdirected || !r.Sent() }

// Sent reports whether the request may have reached a server.
func (r Result) Sent() bool { return r != Unreachable && r != ConnectionRefused && r != Withheld }

// String returns the name of the result for logs.
func (r Result) String() string {
	names := [...]string{"none", "succeeded", "failed", "reset", "shed", "unreachable", "misdirected", "timed-out", "cancelled", "down", "withheld"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Reached reports whether the request counts as received by the intended server, which then accepted or shed it. Cancelled
// attempts do not count, because they may have ended before the server received the request.
func (r Result) Reached() bool { return r.Sent() && r != Misdirected && r != Cancelled }
