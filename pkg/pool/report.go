package pool

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// ServerReport is the state of one server for dumps and operators.
type ServerReport struct {
	Server azuretiller.ServerID
	Phase  string
	Reason string
	Busy   int
	// RemoteBusy is how many requests the former owner of the pool still runs on the server.
	RemoteBusy int
	Limit      int
	Draining   bool
	// Cold means that the server does not yet count towards the floor of healthy servers.
	Cold           bool
	Suspicion      float64
	Ejections      int
	EjectionLeft   time.Duration
	TrialSuccesses int
}

// Report returns the state of the servers in their configured order.
func (p *Pool) Report(now time.Time) []ServerReport {
	out := make([]ServerReport, 0, len(p.servers))
	for _, s := range p.servers {
		out = append(out, ServerReport{
			Server:         s.id,
			Phase:          s.phase.String(),
			Reason:         s.reason,
			Busy:           s.busy,
			RemoteBusy:     s.remoteBusy,
			Limit:          s.ramp.BaseLimit(),
			Draining:       s.draining,
			Cold:           p.isCold(now, s),
			Suspicion:      p.detector.Suspicion(s.index),
			Ejections:      s.ejections,
			EjectionLeft:   s.ejectionLeft(now),
			TrialSuccesses: s.trialSuccesses,
		})
	}
	return out
}
