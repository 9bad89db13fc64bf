package pool

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/detector"
)

const (
	// maxRecheckRuns is the largest number of runs of one recheck. It limits the load that one failure causes.
	maxRecheckRuns = 16
	// recheckReserve is how many rechecks may be saved up. It suffices to eject or clear two servers.
	recheckReserve = 30
	// clearedThreshold is the suspicion below which a server needs no further recheck.
	clearedThreshold = 0.13
	// maxRecheckSlotTime is the slot time above which a request is too expensive for rechecks.
	maxRecheckSlotTime = 250 * time.Millisecond
)

// RecheckID numbers the rechecks of one pool.
type RecheckID uint64

// recheck runs a known-good read again on a suspected server.
type recheck struct {
	server *server
	read   knownGoodRead
	// runsLeft is how many more runs there may be.
	runsLeft int
	// ranBefore means that the read ran on the server before.
	ranBefore bool
}

// knownGoodRead is a read-only request that a server has answered successfully, which proves that the request is valid.
type knownGoodRead struct {
	ticket TicketID
	team   azuretiller.TeamID
	route  azuretiller.RouteID
}

// recordKnownGood records a read that can be run again on any server. If failedServer failed the read before, it is
// rechecked with this read and with the one recorded before it, because one request alone ejects no server.
func (p *Pool) recordKnownGood(now time.Time, r *requestState, failedServer *server) []Action {
	if !r.ticket.ReadOnly || p.isHeavy(r.ticket.Route) || p.expectedSlotTime(r.ticket.Route) > maxRecheckSlotTime {
		return nil
	}
	read := knownGoodRead{ticket: r.ticket.ID, team: r.ticket.Team, route: r.ticket.Route}
	var actions []Action
	if failedServer != nil {
		actions = p.recheckWithKnownGood(now, failedServer)
	}
	p.knownGood = read
	actions = append(actions, Retain{Ticket: read.ticket})
	if failedServer == nil {
		return actions
	}
	return append(actions, p.startRecheck(now, failedServer, read, true)...)
}

// recheckWithKnownGood runs the newest known-good read on a server that failed another request.
func (p *Pool) recheckWithKnownGood(now time.Time, s *server) []Action {
	if p.knownGood.ticket == 0 {
		return nil
	}
	return p.startRecheck(now, s, p.knownGood, false)
}

func (p *Pool) startRecheck(now time.Time, s *server, read knownGoodRead, ranBefore bool) []Action {
	for _, c := range p.rechecks {
		if c.server == s && c.ranBefore == ranBefore {
			return nil
		}
	}
	p.lastRecheck++
	return p.runRecheck(now, p.lastRecheck, &recheck{server: s, read: read, runsLeft: maxRecheckRuns, ranBefore: ranBefore})
}

// runRecheck takes a slot for a recheck if the server is still suspected, has a free slot and the budget allows it.
func (p *Pool) runRecheck(now time.Time, id RecheckID, c *recheck) []Action {
	s := c.server
	if c.runsLeft == 0 || !p.needsRecheck(s) || s.freeSlots(now) <= 0 || !p.recheckBudget.Withdraw() {
		return nil
	}
	p.check.Assert(s.usedSlots() < p.service.Slots, "recheck on server %s with all %d slots in use", s.id, s.usedSlots())
	c.runsLeft--
	s.busy++
	p.rechecks[id] = c
	return []Action{Recheck{ID: id, Ticket: c.read.ticket, Server: s.id}}
}

// needsRecheck reports whether a server in service is suspected without enough evidence to eject it.
func (p *Pool) needsRecheck(s *server) bool {
	if p.moved || s.phase != active || p.detector.Suspicion(s.index) < clearedThreshold {
		return false
	}
	_, eject := p.detector.ShouldEject(s.index)
	return !eject
}

// FinishRecheck records the result of one run of a recheck and frees its slot. It may start another run with the same id.
func (p *Pool) FinishRecheck(now time.Time, id RecheckID, kind ResultKind) []Action {
	c, ok := p.rechecks[id]
	p.check.Assert(ok, "result for recheck %d, which is not running", id)
	if !ok {
		return nil
	}
	delete(p.rechecks, id)
	c.server.busy--
	actions := p.observeRecheck(now, c, kind)
	c.ranBefore = true
	if kind == Succeeded || kind == Failed {
		actions = append(actions, p.runRecheck(now, id, c)...)
	}
	return append(actions, p.startQueued(now)...)
}

func (p *Pool) observeRecheck(now time.Time, c *recheck, kind ResultKind) []Action {
	s := c.server
	switch {
	case kind == Succeeded:
		p.detector.Observe(detector.Sample{Server: s.index, Team: c.read.team, Route: c.read.route, RanBefore: true})
		return nil
	case kind.IsServerFault():
		actions := p.recordTrialResult(s, false, now)
		p.detector.Observe(detector.Sample{Server: s.index, Team: c.read.team, Route: c.read.route, Failed: true, RanBefore: c.ranBefore})
		return append(actions, p.ejectOutliers(now)...)
	default:
		return p.observeNotExecuted(now, s, kind)
	}
}
