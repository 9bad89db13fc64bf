package scheduler

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// Exposer admits attempts on servers whose version is on trial.
type Exposer interface {
	// MayExpose reports whether an attempt on a server may be placed now.
	MayExpose(now time.Time, route azuretiller.RouteID, server azuretiller.InstanceID) bool
	// Expose reports the same, and counts the attempt.
	Expose(now time.Time, route azuretiller.RouteID, server azuretiller.InstanceID) bool
}

// SetExposer sets what admits attempts on servers with Trial. It must be set while there are such servers.
func (sc *Scheduler) SetExposer(e Exposer) { sc.exposer = e }

// mayExpose reports whether a request may go to a server whose version is on trial. Further attempts of a request do not, since a failure
// there would cost the request.
func (sc *Scheduler) mayExpose(now time.Time, s *server, w *waitingRequest) bool {
	return !w.SubmittedBefore && sc.exposer != nil && s.freeCapacity(now) > 0 && sc.exposer.MayExpose(now, w.Route, s.ID)
}

// HasOpenServer reports whether a server may get requests without an Exposer.
func (sc *Scheduler) HasOpenServer() bool {
	for _, s := range sc.servers {
		if !s.Closed && !s.Trial {
			return true
		}
	}
	return false
}
