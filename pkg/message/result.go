package message

// Result says how an attempt at a backend server ended.
type Result int

// The results of attempts.
const (
	// Succeeded means a whole answer that is not a server error.
	Succeeded Result = iota + 1
	// Failed means a server error, or an answer that broke off or belongs to another request.
	Failed
	// Reset means that the connection ended before an answer, so that the request may have crashed the server.
	Reset
	// Shed means that the server proved not to have run the request.
	Shed
	// Unreachable means that no connection was made, so that nothing was sent.
	Unreachable
	// Misdirected means that another server listens on the address; the request did not run.
	Misdirected
	// TimedOut means that no answer came within the time given.
	TimedOut
	// Cancelled means that the caller left.
	Cancelled
	// Down means that no server listens on the address, so that nothing was sent.
	Down
)

// NotRun reports whether the result proves that the request did not run.
func (r Result) NotRun() bool { return r == Shed || r == Misdirected || !r.Sent() }

// Sent reports whether the request may have reached a server.
func (r Result) Sent() bool { return r != Unreachable && r != Down }

// String returns the result as logs show it.
func (r Result) String() string {
	names := [...]string{"none", "succeeded", "failed", "reset", "shed", "unreachable", "misdirected", "timed-out", "cancelled", "down"}
	if r < 0 || int(r) >= len(names) {
		return "unknown"
	}
	return names[r]
}

// Reached reports whether the server got the request, so that it took it or turned it away.
func (r Result) Reached() bool { return r.Sent() && r != Misdirected && r != Cancelled }
