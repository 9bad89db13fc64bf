package azuretiller

// Outcome reports whether a request was executed, as far as the fleet can tell.
type Outcome int

// The outcomes of a request.
const (
	// NotRun means that no backend server executed the request, so it is safe to retry.
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
