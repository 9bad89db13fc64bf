package member

import (
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// Receive handles a message about leader election, heartbeats or the view.
func (m *Member) Receive(now time.Time, from string, call uint64, body any) []Effect {
	switch b := body.(type) {
	case message.HeartbeatResponse:
		return m.receiveHeartbeatResponse(now, from, b)
	case message.Heartbeat:
		return m.receiveHeartbeat(now, b.Term, from, call)
	case message.VoteRequest:
		vote := message.Vote{Term: m.term, LeaderReachable: m.LeaderReachable(now) && !m.leaderResigned && b.Term <= m.term, Leader: m.leader, Address: m.leaderAddress}
		return []Effect{Send{To: from, Message: message.Envelope{Call: call, Body: vote}}}
	case message.Vote:
		return m.receiveVote(now, from, b)
	case message.View:
		return m.receiveView(now, b)
	}
	return nil
}

// receiveHeartbeat handles a heartbeat that this VM cannot process as leader: it does not lead, or the sender has a newer term.
func (m *Member) receiveHeartbeat(now time.Time, term azuretiller.Term, from string, call uint64) []Effect {
	if term > m.term && m.leading {
		// The sender follows a newer leader, whose address is in the leader record.
		return m.stepDown(now, term)
	}
	if term > m.term && m.claimedTerms[term] {
		// This VM's claim was written although its result was lost or late.
		return m.becomeLeader(now, term)
	}
	if m.leading {
		return nil
	}
	m.heartbeatSenders[from] = now
	if m.term == 0 {
		return nil
	}
	return []Effect{m.heartbeatResponse(call, from, false)}
}

func (m *Member) stepDown(now time.Time, term azuretiller.Term) []Effect {
	m.leading = false
	m.leaderAnsweredAt = time.Time{}
	m.state = accessingRecord
	return []Effect{StepDown{Newer: term}, ReadLeader{}, LogLine{Name: "deposed", Fields: log.Fields{"term": m.term, "newer": term, "at": now.UnixMilli()}}}
}

func (m *Member) receiveHeartbeatResponse(now time.Time, from string, hb message.HeartbeatResponse) []Effect {
	var effects []Effect
	if hb.Term > m.term {
		if m.leading {
			effects = append(effects, StepDown{Newer: hb.Term})
		}
		m.follow(now, hb.Term, hb.Leader, hb.Address)
		effects = appendLog(effects, "following", log.Fields{"leader": hb.Leader, "term": hb.Term})
		effects = append(effects, m.sendHeartbeat(now)...)
		if !hb.IsLeader {
			return effects
		}
	}
	if hb.Term < m.term && hb.IsLeader {
		// The sender is a deposed leader that was partitioned; tell it the newer leader.
		return append(effects, m.heartbeatResponse(0, from, m.leading))
	}
	if hb.Term < m.term || !hb.IsLeader || from != m.leaderAddress {
		return effects
	}
	m.leaderAnsweredAt = now
	if hb.StaticFieldsKnown != m.knownToLeader {
		m.knownToLeader = hb.StaticFieldsKnown
		if !m.knownToLeader {
			effects = append(effects, m.sendHeartbeat(now)...)
		}
	}
	if m.state != accessingRecord && !hb.LeaderResigned {
		m.state = following
	}
	electionRequested := hb.LeaderResigned && !m.leaderResigned && !m.leading
	m.leaderResigned = hb.LeaderResigned
	if electionRequested {
		m.scheduleElection(now)
	}
	return effects
}

func (m *Member) receiveVote(now time.Time, from string, b message.Vote) []Effect {
	if b.Term > m.term && b.Address != "" && b.Address != m.self.PeerAddress {
		m.follow(now, b.Term, b.Leader, b.Address)
		return m.sendHeartbeat(now)
	}
	if m.state == polling && b.Term == m.term {
		m.votes[from] = b.LeaderReachable
	}
	return nil
}
