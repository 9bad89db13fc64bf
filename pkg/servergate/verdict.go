package servergate

// Verdict says whether a VM may send requests to a backend server.
type Verdict int

// The verdicts.
const (
	// Open means that the VM may send requests.
	Open Verdict = iota
	// Paused means that the server asked for a pause that has not ended.
	Paused
	// Leaving means that the server said that it is about to stop.
	Leaving
)

// String returns the name of the verdict for logs.
func (v Verdict) String() string {
	switch v {
	case Open:
		return "open"
	case Paused:
		return "paused"
	case Leaving:
		return "leaving"
	default:
		return "unknown"
	}
}
