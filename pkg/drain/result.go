package drain

import "github.com/apex/log"

// Result counts the requests that were still running late in a drain.
type Result struct {
	// Stopped is the number of requests that were running when the drain stopped them, so that they got a response of the VM.
	Stopped int
	// Cut is the number of requests that were running at the end of the drain, which closing their connections cuts.
	Cut int
}

// Log writes a warning for each of the counts that is not 0.
func (r Result) Log(l log.Interface) {
	if r.Stopped > 0 {
		l.WithField("running", r.Stopped).Warn("requests stopped")
	}
	if r.Cut > 0 {
		l.WithField("running", r.Cut).Warn("requests cut")
	}
}
