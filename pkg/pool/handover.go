package pool

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

const (
	// movedRetryAfter is the Retry-After time for a request that is refused because the pool has a new owner.
	movedRetryAfter = 100 * time.Millisecond
	// maxHandoverSuspicion limits suspicion from the former owner to just below the ejection threshold.
	maxHandoverSuspicion = 0.99
)

// HandOver stops the scheduling of the pool on this VM: waiting requests are refused, running ones are finished. It
// returns the state of the servers for the new owner.
func (p *Pool) HandOver(now time.Time) (State, []Action) {
	p.moved = true
	var actions []Action
	for _, r := range p.queue.Remove(func(*requestState) bool { return true }) {
		delete(p.requests, r.ticket.ID)
		actions = append(actions, p.endWait(r, azuretiller.CodePoolMoved)...)
	}
	return p.serverStates(now), actions
}

func (p *Pool) serverStates(now time.Time) State {
	var state State
	for _, s := range p.servers {
		state.Servers = append(state.Servers, ServerState{
			Server:       s.id,
			Limit:        s.ramp.BaseLimit(),
			Busy:         s.usedSlots(),
			OutOfService: s.phase != active,
			Reason:       s.reason,
			EjectionLeft: s.ejectionLeft(now),
			Ejections:    s.ejections,
			Suspicion:    p.detector.Suspicion(s.index),
		})
	}
	return state
}

// Activate makes this VM the owner of the pool. No request starts before TakeOver is called or the time until is reached.
func (p *Pool) Activate(until time.Time) {
	p.moved = false
	p.heldUntil = until
}

// TakeOver applies the server state of the former owner and starts waiting requests.
func (p *Pool) TakeOver(now time.Time, state State) []Action {
	for _, remote := range state.Servers {
		s := p.find(remote.Server)
		if s == nil {
			continue
		}
		s.ramp.RaiseTo(remote.Limit)
		s.ejections = remote.Ejections
		p.detector.SetSuspicion(s.index, max(p.detector.Suspicion(s.index), min(remote.Suspicion, maxHandoverSuspicion)))
		if remote.OutOfService && s.phase == active {
			p.takeOutOfService(now, s, remote.Reason, remote.EjectionLeft)
		}
	}
	p.heldUntil = time.Time{}
	return p.UpdateRemoteBusy(now, state)
}

// UpdateRemoteBusy updates the number of requests that the former owner still runs on each server. Their slots stay in use.
func (p *Pool) UpdateRemoteBusy(now time.Time, state State) []Action {
	for _, s := range p.servers {
		s.remoteBusy = 0
	}
	for _, remote := range state.Servers {
		if s := p.find(remote.Server); s != nil {
			s.remoteBusy = remote.Busy
		}
	}
	return p.startQueued(now)
}
