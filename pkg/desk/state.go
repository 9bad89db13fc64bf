package desk

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// State is what a desk knows and believes at one moment, for dumps.
type State struct {
	// Waiting and Running count requests, and Retries is the share of the saved retries that is left.
	Waiting int
	Running int
	Retries float64
	Servers []ServerState
}

// ServerState is what a desk knows and believes of one server.
type ServerState struct {
	ID    azuretiller.InstanceID
	Zone  azuretiller.Zone
	Busy  int
	Slots int
	// Closed, Cold, Moved and Down tell why the server gets less work or none.
	Closed, Cold, Moved, Down bool
	// Answers is the chance that the server answers well what it takes, and Takes the chance that it takes a request.
	Answers float64
	Takes   float64
	// SinceStart and SinceFailure are the ages of the newest start and failure, zero if there was none.
	SinceStart   time.Duration
	SinceFailure time.Duration
}

// State returns what the desk knows, with servers in the order of their ids.
func (d *Desk) State(now time.Time) State {
	state := State{Waiting: d.waiting(), Running: len(d.running), Retries: d.retries.Remaining()}
	for _, s := range d.servers {
		state.Servers = append(state.Servers, ServerState{
			ID:           s.ID,
			Zone:         s.Zone,
			Busy:         s.busy,
			Slots:        s.Slots,
			Closed:       s.Closed,
			Cold:         now.Before(s.ColdUntil),
			Moved:        s.moved,
			Down:         now.Before(s.downUntil),
			Answers:      s.belief.SuccessProbability(now),
			Takes:        s.shedding.SuccessProbability(now),
			SinceStart:   age(now, s.lastStart),
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
