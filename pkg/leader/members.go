package leader

import (
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

// strongerVMs returns the number of VMs that could succeed this leader and have more than the given CPU capacity. VMs rank themselves by it, as
// their views of a large fleet may lack most of it.
func (l *Leader) strongerVMs(now time.Time, cpuPercent int) int {
	if l.capacities == nil || now.Sub(l.capacitiesAt) >= capacitiesInterval {
		l.capacities, l.capacitiesAt = l.capacities[:0], now
		for _, m := range l.members {
			if m.heartbeat.VM != l.self && m.heartbeat.Ready && !m.heartbeat.Leaving {
				l.capacities = append(l.capacities, m.heartbeat.CPUPercent)
			}
		}
		slices.Sort(l.capacities)
	}
	first, _ := slices.BinarySearch(l.capacities, cpuPercent+1)
	return len(l.capacities) - first
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
	restarted := false
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
		restarted = true
		m.drainedView = 0
		effects = append(effects, l.releaseAttempts(now, from)...)
		l.viewChanged = true
	case m.heartbeat.Ready != hb.Ready || m.heartbeat.Leaving != hb.Leaving:
		l.viewChanged = true
	}
	if hb.VM == "" {
		hb.VM, hb.Zone, hb.CallerAddress, hb.CPUPercent = m.heartbeat.VM, m.heartbeat.Zone, m.heartbeat.CallerAddress, m.heartbeat.CPUPercent
	}
	if hb.Term != l.term {
		// The versions of each term start at 1.
		hb.ViewVersion = 0
	}
	if hb.Term == l.term {
		m.drainedView = hb.DrainedView
	}
	m.heartbeat = hb
	m.heartbeatAt = now
	delete(l.lost, from)
	delete(l.silentSince, from)
	response := l.heartbeatResponse(true)
	l.ledger.Receive(now, hb.VM, hb, restarted)
	l.ledger.Respond(now, hb.VM, hb, &response)
	response.StrongerVMs = l.strongerVMs(now, hb.CPUPercent)
	effects = append(effects, Send{To: from, Message: message.Envelope{Call: call, Body: response}})
	if l.needsFullView(now, m) && l.takeResendTokens(now) {
		m.fullViewSentAt = now
		effects = append(effects, sendViewParts(from, l.sentView)...)
	}
	return effects
}

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

// mayBePartitioned reports whether so few VMs follow this leader that the others may have a newer one.
func (l *Leader) mayBePartitioned() bool {
	return len(l.members) <= 1 || float64(len(l.members)) < partitionSuspectRatio*float64(l.peakMembers)
}

// releaseAttempts releases the server slots and queue entries of a VM's requests.
func (l *Leader) releaseAttempts(now time.Time, peer string) []Effect {
	l.cancelAttempts(now, peer)
	var effects []Effect
	for service, s := range l.schedulers {
		effects = append(effects, l.applyDecisions(now, service, s.RemoveVM(now, peer))...)
	}
	return effects
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
