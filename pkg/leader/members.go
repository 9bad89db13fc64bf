package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/desk"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// TooWeak reports whether a VM with much more processor time could lead, and has been there for some time.
func (l *Leader) TooWeak(now time.Time) bool {
	own, most := 0, 0
	for _, m := range l.members {
		if m.beat.VM == l.self {
			own = m.beat.Power
		}
		if m.beat.Ready && !m.beat.Leaving && now.Sub(m.since) > steadyFor {
			most = max(most, m.beat.Power)
		}
	}
	return own > 0 && most >= strongerBy*own
}

// Announce tells all VMs which configuration there is.
func (l *Leader) Announce() []Effect {
	known := l.hello(true)
	var effects []Effect
	for to := range l.members {
		effects = append(effects, Send{To: to, Message: message.Envelope{Body: known}})
	}
	return effects
}

// hello tells who leads; known says whether the VM that it goes to is a member.
func (l *Leader) hello(known bool) message.BeatAnswer {
	answer := message.BeatAnswer{Term: l.term, Leads: true, Leader: l.self, Address: l.address, Resigned: l.resigned, Known: known}
	if l.config != nil {
		answer.Settings = l.config.Revision
	}
	return answer
}

func (l *Leader) beat(now time.Time, from string, call uint64, b message.Beat) []Effect {
	var effects []Effect
	m := l.members[from]
	switch {
	case m == nil && b.VM == "":
		// The VM thinks that it is known: the answer asks for the whole heartbeat.
		return []Effect{Send{To: from, Message: message.Envelope{Call: call, Body: l.hello(false)}}}
	case m == nil:
		m = &member{since: now}
		l.members[from] = m
		l.changed = true
		effects = append(effects, Note{"vm joined", log.Fields{"vm": b.VM, "zone": b.Zone, "term": l.term}})
	case m.beat.Incarnation != b.Incarnation:
		effects = append(effects, l.forget(now, from)...)
		l.changed = true
	case m.beat.Ready != b.Ready || m.beat.Leaving != b.Leaving:
		l.changed = true
	}
	if b.VM == "" {
		b.VM, b.Zone, b.Callers, b.Power = m.beat.VM, m.beat.Zone, m.beat.Callers, m.beat.Power
	}
	m.beat = b
	m.heard = now
	delete(l.lost, from)
	effects = append(effects, Send{To: from, Message: message.Envelope{Call: call, Body: l.hello(true)}})
	if b.View != l.version && now.Sub(m.viewAt) > viewRepeat && !l.changed && l.version > 0 && l.repair(now) {
		m.viewAt = now
		effects = append(effects, sendParts(from, l.sent)...)
	}
	return effects
}

// repair reports whether the whole view may be sent to one more VM.
//
// The load it answers: all VMs of a large fleet start together and miss the first views. Sent to all at once, the whole view would
// fill the leader's link for seconds, and the decisions behind it would come too late.
func (l *Leader) repair(now time.Time) bool {
	l.repairs = min(repairRate, l.repairs+repairRate*now.Sub(l.repairsAt).Seconds())
	l.repairsAt = now
	if l.repairs <= 0 {
		return false
	}
	l.repairs -= float64(l.sent.Entries())
	return true
}

// Confirmed notes that the leader record names this leader's term.
func (l *Leader) Confirmed(now time.Time) { l.confirmed = now }

// watch counts the members, asks for the leader record when there are few, and calls those that were lost.
func (l *Leader) watch(now time.Time) []Effect {
	if len(l.members) >= l.peak || now.Sub(l.peakAt) > peakMemory {
		l.peak = len(l.members)
		l.peakAt = now
	}
	var effects []Effect
	gap := confirmAlways
	if l.few() {
		gap = confirmGap
	}
	if now.Sub(l.asked) >= gap {
		l.asked = now
		effects = append(effects, Confirm{})
	}
	if now.Sub(l.lostAt) < lostGap {
		return effects
	}
	l.lostAt = now
	for to, since := range l.lost {
		if now.Sub(since) > lostMemory {
			delete(l.lost, to)
			continue
		}
		effects = append(effects, Send{To: to, Message: message.Envelope{Body: l.hello(false)}})
	}
	return effects
}

// forget frees what a VM had running.
func (l *Leader) forget(now time.Time, from string) []Effect {
	var effects []Effect
	for service, d := range l.desks {
		effects = append(effects, l.carryOut(now, service, d.Forget(now, from))...)
	}
	return effects
}

// sendView sends what changed in the view to one VM of each zone, which passes it on; VMs that miss it get the whole view after
// a later heartbeat.
func (l *Leader) sendView(now time.Time) []Effect {
	l.version++
	view := l.view(now)
	change := l.sent.Change(view)
	if change.Entries() == 0 && l.version > 1 {
		l.version--
		return nil
	}
	l.viewSent = now
	l.sent = view
	if 2*change.Entries() < view.Entries() && l.version > 1 {
		view = change
	}
	view.Relay = true
	heads := map[azuretiller.Zone]string{}
	for from, m := range l.members {
		m.viewAt = now
		head, ok := heads[m.beat.Zone]
		if !ok || from < head {
			heads[m.beat.Zone] = from
		}
	}
	effects := []Effect{Note{"view", log.Fields{"term": l.term, "version": l.version, "members": len(l.sent.Members), "servers": len(l.sent.Servers), "entries": view.Entries()}}}
	for _, head := range heads {
		effects = append(effects, sendParts(head, view)...)
	}
	return effects
}

func sendParts(to string, v message.View) []Effect {
	var effects []Effect
	for _, part := range v.Split() {
		effects = append(effects, Send{To: to, Message: message.Envelope{Body: part}})
	}
	return effects
}

func (l *Leader) view(now time.Time) message.View {
	v := message.View{Term: l.term, Version: l.version, Servers: slices.Clone(l.servers)}
	for i, s := range v.Servers {
		if chance, ok := l.desk(s.Service).Success(now, s.ID); ok {
			v.Servers[i].Success = int(math.Round(chance*100/successStep)) * successStep
		}
	}
	for from, m := range l.members {
		v.Members = append(v.Members, message.Member{
			VM:      m.beat.VM,
			Zone:    m.beat.Zone,
			Callers: m.beat.Callers,
			Peer:    from,
			Ready:   m.beat.Ready && !m.beat.Leaving,
			Power:   m.beat.Power,
		})
	}
	slices.SortFunc(v.Members, func(a, b message.Member) int { return cmp.Compare(a.VM, b.VM) })
	return v
}

// Members returns the number of VMs that send heartbeats.
func (l *Leader) Members() int { return len(l.members) }

// Desks returns what the leader knows of each service, for dumps.
func (l *Leader) Desks(now time.Time) map[azuretiller.ServiceID]desk.State {
	states := map[azuretiller.ServiceID]desk.State{}
	for service, d := range l.desks {
		states[service] = d.State(now)
	}
	return states
}
