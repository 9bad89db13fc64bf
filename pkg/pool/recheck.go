package pool

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/detector"
)

const (
	// recheckLimit bounds the load that one failure causes.
	recheckLimit = 16
	// recheckReserve is how many rechecks may be saved up; it decides about two servers.
	recheckReserve = 30
	// cleared is the suspicion below which a server needs no further recheck.
	cleared = 0.13
	// recheckLongest is the slot time above which a request costs too much to be run for its evidence only.
	recheckLongest = 250 * time.Millisecond
)

// RecheckID numbers the rechecks of one pool.
type RecheckID uint64

// recheck is a read that was answered well and runs again on a server in doubt.
type recheck struct {
	server *server
	sound  soundRead
	// left is how many more runs there may be.
	left int
	// repeat means that the request ran on the server before.
	repeat bool
}

// soundRead is a read-only request that some server answered well, which proves that it can be answered.
type soundRead struct {
	ticket TicketID
	team   azuretiller.TeamID
	route  azuretiller.RouteID
}

// learnSound notes a request that can be run again on any server. The server that failed it before is rechecked with it
// and with the one noted before, because one request alone ejects no server.
func (p *Pool) learnSound(now time.Time, r *request, failed *server) []Action {
	if !r.ticket.ReadOnly || p.isHeavy(r.ticket.Route) || p.expected(r.ticket.Route) > recheckLongest {
		return nil
	}
	sound := soundRead{ticket: r.ticket.ID, team: r.ticket.Team, route: r.ticket.Route}
	var actions []Action
	if failed != nil {
		actions = p.recheckSound(now, failed)
	}
	p.sound = sound
	actions = append(actions, Keep{Ticket: sound.ticket})
	if failed == nil {
		return actions
	}
	return append(actions, p.startRecheck(now, failed, sound, true)...)
}

// recheckSound runs the newest sound request on a server that failed another one.
func (p *Pool) recheckSound(now time.Time, s *server) []Action {
	if p.sound.ticket == 0 {
		return nil
	}
	return p.startRecheck(now, s, p.sound, false)
}

func (p *Pool) startRecheck(now time.Time, s *server, sound soundRead, repeat bool) []Action {
	for _, c := range p.rechecks {
		if c.server == s && c.repeat == repeat {
			return nil
		}
	}
	p.lastRecheck++
	return p.runRecheck(now, p.lastRecheck, &recheck{server: s, sound: sound, left: recheckLimit, repeat: repeat})
}

// runRecheck takes a slot for a recheck if the server is still in doubt and the retry budget allows it.
func (p *Pool) runRecheck(now time.Time, id RecheckID, c *recheck) []Action {
	s := c.server
	if c.left == 0 || !p.inDoubt(s) || s.room(now) <= 0 || !p.spare.Spend() {
		return nil
	}
	p.check.That(s.taken() < p.rules.Slots, "server %s would recheck a request with %d slots taken", s.id, s.taken())
	c.left--
	s.busy++
	p.rechecks[id] = c
	return []Action{Recheck{ID: id, Ticket: c.sound.ticket, Server: s.id}}
}

// inDoubt reports whether there is evidence against a server in service that does not eject it yet.
func (p *Pool) inDoubt(s *server) bool {
	if p.moved || s.phase != active || p.detector.Suspicion(s.index) < cleared {
		return false
	}
	_, convicted := p.detector.Convicted(s.index)
	return !convicted
}

// Rechecked takes the result of a recheck and frees its slot; another run may follow under the same id.
func (p *Pool) Rechecked(now time.Time, id RecheckID, kind ResultKind) []Action {
	c, ok := p.rechecks[id]
	p.check.That(ok, "result for recheck %d that does not run", id)
	if !ok {
		return nil
	}
	delete(p.rechecks, id)
	c.server.busy--
	actions := p.judgeRecheck(now, c, kind)
	c.repeat = true
	if kind == Succeeded || kind == Failed {
		actions = append(actions, p.runRecheck(now, id, c)...)
	}
	return append(actions, p.pump(now)...)
}

func (p *Pool) judgeRecheck(now time.Time, c *recheck, kind ResultKind) []Action {
	s := c.server
	switch {
	case kind == Succeeded:
		p.detector.Observe(detector.Sample{Server: s.index, Team: c.sound.team, Route: c.sound.route, Repeat: true})
		return nil
	case kind.Blames():
		actions := p.concludeTrial(s, false, now)
		p.detector.Observe(detector.Sample{Server: s.index, Team: c.sound.team, Route: c.sound.route, Failed: true, Repeat: c.repeat})
		return append(actions, p.conclude(now)...)
	default:
		return p.noteNotRun(now, s, kind)
	}
}
