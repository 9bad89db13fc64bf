package azuretiller

// Outcome says what is known about the execution of a request.
type Outcome int

// The outcomes a result code can carry.
const (
	// NotRun means that no backend server executed the request, so that it is safe to send again.
	NotRun Outcome = iota + 1
	// MayHaveRun means that a backend server may have executed the request.
	MayHaveRun
	// Done means that a backend server executed the request.
	Done
)

// String returns the outcome as written in the response header.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case Done:
		return "done"
	default:
		return "unknown"
	}
}
