package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
)

// ShouldHandOver reports whether a ready VM has at least handoverCPURatio times the CPU capacity of this one and has
// been a member for more than handoverMinAge.
func (l *Leader) ShouldHandOver(now time.Time) bool {
	own, strongest := 0, 0
	for _, m := range l.members {
		if m.heartbeat.VM == l.self {
			own = m.heartbeat.CPUPercent
		}
		if m.heartbeat.Ready && !m.heartbeat.Leaving && now.Sub(m.joinedAt) > handoverMinAge {
			strongest = max(strongest, m.heartbeat.CPUPercent)
		}
	}
	return own > 0 && strongest >= handoverCPURatio*own
}

// Announce sends all members the term, the revision of the configuration and whether this leader resigned.
func (l *Leader) Announce() []Effect {
	response := l.heartbeatResponse(true)
	var effects []Effect
	for to := range l.members {
		effects = append(effects, Send{To: to, Message: message.Envelope{Body: response}})
	}
	return effects
}

// heartbeatResponse returns the response that names this leader; staticFieldsKnown tells the recipient whether it is a member.
func (l *Leader) heartbeatResponse(staticFieldsKnown bool) message.HeartbeatResponse {
	response := message.HeartbeatResponse{Term: l.term, IsLeader: true, Leader: l.self, LeaderAddress: l.address, LeaderResigned: l.resigned, StaticFieldsKnown: staticFieldsKnown}
	if l.config != nil {
		response.ConfigRevision = l.config.Revision
	}
	return response
}

func (l *Leader) receiveHeartbeat(now time.Time, from string, call uint64, hb message.Heartbeat) []Effect {
	var effects []Effect
	m := l.members[from]
	switch {
	case m == nil && hb.VM == "":
		// The heartbeat is abbreviated, as from a member. The answer requests a full one.
		return []Effect{Send{To: from, Message: message.Envelope{Call: call, Body: l.heartbeatResponse(false)}}}
	case m == nil:
		m = &member{joinedAt: now}
		l.members[from] = m
		l.viewChanged = true
		effects = append(effects, LogLine{"vm joined", log.Fields{"vm": hb.VM, "zone": hb.Zone, "term": l.term}})
	case m.heartbeat.Incarnation != hb.Incarnation:
		effects = append(effects, l.releaseAttempts(now, from)...)
		l.viewChanged = true
	case m.heartbeat.Ready != hb.Ready || m.heartbeat.Leaving != hb.Leaving:
		l.viewChanged = true
	}
	if hb.VM == "" {
		hb.VM, hb.Zone, hb.CallerAddress, hb.CPUPercent = m.heartbeat.VM, m.heartbeat.Zone, m.heartbeat.CallerAddress, m.heartbeat.CPUPercent
	}
	m.heartbeat = hb
	m.heartbeatAt = now
	delete(l.lost, from)
	effects = append(effects, Send{To: from, Message: message.Envelope{Call: call, Body: l.heartbeatResponse(true)}})
	if hb.ViewVersion != l.viewVersion && now.Sub(m.viewSentAt) > viewResendInterval && !l.viewChanged && l.viewVersion > 0 && l.takeResendTokens(now) {
		m.viewSentAt = now
		effects = append(effects, sendViewParts(from, l.sentView)...)
	}
	return effects
}

// takeResendTokens reports whether the full view may be resent to one more VM, and takes the tokens for it.
//
// When all VMs of a large fleet start together, they miss the first views. Resending the full view to all of them at once would
// saturate the leader's link for seconds, and the placement responses queued behind it would arrive too late.
func (l *Leader) takeResendTokens(now time.Time) bool {
	l.resendTokens = min(resendEntriesPerSecond, l.resendTokens+resendEntriesPerSecond*now.Sub(l.resendRefilledAt).Seconds())
	l.resendRefilledAt = now
	if l.resendTokens <= 0 {
		return false
	}
	l.resendTokens -= float64(l.sentView.Len())
	return true
}

// ConfirmTerm records that the leader record named this leader's term.
func (l *Leader) ConfirmTerm(now time.Time) { l.termConfirmedAt = now }

// checkMembership updates the peak number of members, requests reads of the leader record and contacts lost VMs. It requests reads
// more often while the fleet may be partitioned.
func (l *Leader) checkMembership(now time.Time) []Effect {
	if len(l.members) >= l.peakMembers || now.Sub(l.peakAt) > peakWindow {
		l.peakMembers = len(l.members)
		l.peakAt = now
	}
	var effects []Effect
	interval := confirmInterval
	if l.mayBePartitioned() {
		interval = suspectConfirmInterval
	}
	if now.Sub(l.recordReadAt) >= interval {
		l.recordReadAt = now
		effects = append(effects, ReadLeader{})
	}
	if now.Sub(l.lostContactedAt) < lostContactInterval {
		return effects
	}
	l.lostContactedAt = now
	for to, lostSince := range l.lost {
		if now.Sub(lostSince) > lostContactPeriod {
			delete(l.lost, to)
			continue
		}
		effects = append(effects, Send{To: to, Message: message.Envelope{Body: l.heartbeatResponse(false)}})
	}
	return effects
}

// releaseAttempts releases the server slots and queue entries of a VM's requests.
func (l *Leader) releaseAttempts(now time.Time, peer string) []Effect {
	var effects []Effect
	for service, s := range l.schedulers {
		effects = append(effects, l.applyDecisions(now, service, s.RemoveVM(now, peer))...)
	}
	return effects
}

// sendView sends the changes of the view to one VM of each zone, which relays them within the zone. If they are not much smaller
// than the full view, it sends the full view instead. VMs that miss a view get the full one after a later heartbeat.
func (l *Leader) sendView(now time.Time) []Effect {
	l.viewVersion++
	view := l.view(now)
	change := l.sentView.Diff(view)
	if change.Len() == 0 && l.viewVersion > 1 {
		l.viewVersion--
		return nil
	}
	l.viewSentAt = now
	l.sentView = view
	if 2*change.Len() < view.Len() && l.viewVersion > 1 {
		view = change
	}
	view.Relay = true
	relays := map[azuretiller.Zone]string{}
	for peer, m := range l.members {
		m.viewSentAt = now
		relay, ok := relays[m.heartbeat.Zone]
		if !ok || peer < relay {
			relays[m.heartbeat.Zone] = peer
		}
	}
	effects := []Effect{LogLine{"view", log.Fields{"term": l.term, "version": l.viewVersion, "members": len(l.sentView.Members), "servers": len(l.sentView.Servers), "entries": view.Len()}}}
	for _, relay := range relays {
		effects = append(effects, sendViewParts(relay, view)...)
	}
	return effects
}

func sendViewParts(to string, v message.View) []Effect {
	var effects []Effect
	for _, part := range v.Split() {
		effects = append(effects, Send{To: to, Message: message.Envelope{Body: part}})
	}
	return effects
}

func (l *Leader) view(now time.Time) message.View {
	v := message.View{Term: l.term, Version: l.viewVersion, Servers: slices.Clone(l.servers)}
	for i, s := range v.Servers {
		if probability, ok := l.scheduler(s.Service).SuccessProbability(now, s.ID); ok {
			v.Servers[i].Success = int(math.Round(probability*100/successGranularity)) * successGranularity
		}
	}
	for peer, m := range l.members {
		v.Members = append(v.Members, message.Member{
			VM:      m.heartbeat.VM,
			Zone:    m.heartbeat.Zone,
			Callers: m.heartbeat.CallerAddress,
			Peer:    peer,
			Ready:   m.heartbeat.Ready && !m.heartbeat.Leaving,
			Power:   m.heartbeat.CPUPercent,
		})
	}
	slices.SortFunc(v.Members, func(a, b message.Member) int { return cmp.Compare(a.VM, b.VM) })
	return v
}

// MemberCount returns the number of VMs that send heartbeats.
func (l *Leader) MemberCount() int { return len(l.members) }

// ServiceStates returns the state of each service, for dumps.
func (l *Leader) ServiceStates(now time.Time) map[azuretiller.ServiceID]scheduler.State {
	states := map[azuretiller.ServiceID]scheduler.State{}
	for service, s := range l.schedulers {
		states[service] = s.State(now)
	}
	return states
}
