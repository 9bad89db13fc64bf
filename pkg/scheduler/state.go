package scheduler

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// State is a snapshot of a scheduler for dumps.
type State struct {
	// Waiting and Running count requests. Retries is the remaining retry budget as a fraction of its capacity.
	Waiting int
	Running int
	Retries float64
	Servers []ServerState
}

// ServerState is a snapshot of one server.
type ServerState struct {
	ID    azuretiller.InstanceID
	Zone  azuretiller.Zone
	Busy  int
	Slots int
	// Closed, Cold, Moved and Down are the reasons why the server gets fewer requests or none. Moved means that another server
	// listens on the address, and Down that the address refused a connection lately.
	Closed, Cold, Moved, Down bool
	// Paused is the number of VMs that the server asked for a pause.
	Paused int
	// Answers is the probability that the server answers a request that it accepts. Takes is the probability that it
	// accepts a request instead of shedding it.
	Answers float64
	Takes   float64
	// SinceStart and SinceFailure are the times since the newest request to the server and its newest failure, zero if there
	// was none.
	SinceStart   time.Duration
	SinceFailure time.Duration
}

// State returns a snapshot of the scheduler, with the servers in the order in which SetServers received them.
func (sc *Scheduler) State(now time.Time) State {
	state := State{Waiting: sc.queueLength(), Running: len(sc.running), Retries: sc.retryBudget.Remaining()}
	for _, s := range sc.servers {
		state.Servers = append(state.Servers, ServerState{
			ID:           s.ID,
			Zone:         s.Zone,
			Busy:         s.busy,
			Slots:        s.Slots,
			Closed:       s.Closed,
			Cold:         now.Before(s.ColdUntil),
			Moved:        s.misdirected,
			Down:         now.Before(s.downUntil),
			Paused:       len(s.pausedFor),
			Answers:      s.success.SuccessProbability(now),
			Takes:        s.acceptance.SuccessProbability(now),
			SinceStart:   age(now, s.lastRequestStart),
			SinceFailure: age(now, s.lastFailure),
		})
	}
	return state
}

func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}
