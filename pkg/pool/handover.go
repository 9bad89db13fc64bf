package pool

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

const (
	// movedRetry is when a request that was refused because the pool moved may be sent again.
	movedRetry = 100 * time.Millisecond
	// keptSuspicion keeps evidence that was handed over just short of a verdict.
	keptSuspicion = 0.99
)

// HandOver ends the pool's work here: what waits is refused, what runs is finished. It returns what is known of the servers.
func (p *Pool) HandOver(now time.Time) (Knowledge, []Action) {
	p.moved = true
	var actions []Action
	for _, r := range p.queue.Remove(func(*request) bool { return true }) {
		delete(p.requests, r.ticket.ID)
		actions = append(actions, p.endWait(r, azuretiller.CodePoolMoved)...)
	}
	return p.knowledge(now), actions
}

func (p *Pool) knowledge(now time.Time) Knowledge {
	var k Knowledge
	for _, s := range p.servers {
		k.Servers = append(k.Servers, ServerKnowledge{
			Server:    s.id,
			Limit:     s.ramp.Size(),
			Busy:      s.taken(),
			Out:       s.phase != active,
			Reason:    s.reason,
			OutFor:    s.outFor(now),
			Ejections: s.ejections,
			Suspicion: p.detector.Suspicion(s.index),
		})
	}
	return k
}

// Await begins the pool's work here; nothing is started before the former home has answered or a time has come.
func (p *Pool) Await(until time.Time) {
	p.moved = false
	p.heldUntil = until
}

// TakeOver goes on from what the former home knew.
func (p *Pool) TakeOver(now time.Time, k Knowledge) []Action {
	for _, known := range k.Servers {
		s := p.find(known.Server)
		if s == nil {
			continue
		}
		s.ramp.Resume(known.Limit)
		s.ejections = known.Ejections
		p.detector.Prime(s.index, max(p.detector.Suspicion(s.index), min(known.Suspicion, keptSuspicion)))
		if known.Out && s.phase == active {
			p.takeOut(now, s, known.Reason, known.OutFor)
		}
	}
	p.heldUntil = time.Time{}
	return p.Release(now, k)
}

// Release takes the former home's newest word on the requests that it still runs; their slots stay taken.
func (p *Pool) Release(now time.Time, k Knowledge) []Action {
	for _, s := range p.servers {
		s.elsewhere = 0
	}
	for _, known := range k.Servers {
		if s := p.find(known.Server); s != nil {
			s.elsewhere = known.Busy
		}
	}
	return p.pump(now)
}
