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
		vote := message.Vote{
			Term:            m.term,
			LeaderReachable: m.LeaderReachable(now) && !m.leaderResigned && b.Term <= m.term,
			Leader:          m.leader,
			LeaderAddress:   m.leaderAddress,
			Share:           m.holder.Spendable(now),
		}
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
	if claimed, ok := m.claims[term]; ok && term > m.term && term.Era() == m.era {
		// This VM's claim was written although its result was lost or late.
		return m.becomeLeader(now, claimed)
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

func (m *Member) receiveHeartbeatResponse(now time.Time, from string, response message.HeartbeatResponse) []Effect {
	var effects []Effect
	isNew := response.Term > m.term
	if isNew {
		if m.leading {
			effects = append(effects, StepDown{Newer: response.Term})
		}
		m.follow(now, response.Term, response.Leader, response.LeaderAddress)
		effects = appendLog(effects, "following", log.Fields{"leader": response.Leader, "term": response.Term})
		effects = append(effects, m.sendHeartbeat(now)...)
		if !response.IsLeader {
			return effects
		}
	}
	if response.Term < m.term && response.IsLeader {
		// The sender is a deposed leader that was partitioned; tell it the newer leader.
		return append(effects, m.heartbeatResponse(0, from, m.leading))
	}
	if response.Term < m.term || !response.IsLeader || from != m.leaderAddress {
		return effects
	}
	// The leader also sends messages on its own: when its term begins, to its members, and to VMs from which it receives nothing. The last ones
	// do not show that it hears this VM.
	heard := response.Stamp > 0 || response.StaticFieldsKnown || isNew
	if heard {
		m.leaderAnsweredAt, m.viewConfirmedAt = now, now
	}
	if response.Stamp > 0 {
		m.strongerVMs = response.StrongerVMs
		// A response to a former process of this VM may hold a later time.
		if response.SentAt <= m.holder.Clock(now) {
			m.renewedAt = max(m.renewedAt, response.SentAt)
		}
	}
	// The leader may spend the share of this VM only when it knows that this VM received a stamp.
	heartbeatDue := m.holder.Receive(now, response)
	if response.StaticFieldsKnown != m.knownToLeader {
		m.knownToLeader = response.StaticFieldsKnown
		heartbeatDue = heartbeatDue || !m.knownToLeader
	}
	if heartbeatDue {
		effects = append(effects, m.sendHeartbeat(now)...)
	}
	if heard && m.state != accessingRecord && !response.LeaderResigned {
		m.state = following
	}
	electionRequested := response.LeaderResigned && !m.leaderResigned && !m.leading
	m.leaderResigned = response.LeaderResigned
	if electionRequested {
		m.scheduleElection(now)
	}
	return effects
}

func (m *Member) receiveVote(now time.Time, from string, vote message.Vote) []Effect {
	if vote.Term > m.term && vote.LeaderAddress != "" && vote.LeaderAddress != m.self.PeerAddress {
		var effects []Effect
		if m.leading {
			effects = append(effects, StepDown{Newer: vote.Term})
		}
		m.follow(now, vote.Term, vote.Leader, vote.LeaderAddress)
		return append(effects, m.sendHeartbeat(now)...)
	}
	if m.state == polling && vote.Term == m.term {
		m.votes[from] = vote
	}
	return nil
}
