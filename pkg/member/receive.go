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
	case message.BeatAnswer:
		return m.receiveHeartbeatAnswer(now, from, b)
	case message.Beat:
		return m.receiveHeartbeat(now, b.Term, from, call)
	case message.Poll:
		vote := message.Vote{Term: m.term, InTouch: m.InTouch(now) && !m.leaderResigned && b.Term <= m.term, Leader: m.leader, Address: m.leaderAddress}
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
	return []Effect{m.heartbeatAnswer(call, from, false)}
}

func (m *Member) stepDown(now time.Time, term azuretiller.Term) []Effect {
	m.leading = false
	m.leaderAnsweredAt = time.Time{}
	m.state = accessingRecord
	return []Effect{StepDown{Newer: term}, ReadLeader{}, LogLine{Name: "deposed", Fields: log.Fields{"term": m.term, "newer": term, "at": now.UnixMilli()}}}
}

func (m *Member) receiveHeartbeatAnswer(now time.Time, from string, b message.BeatAnswer) []Effect {
	var effects []Effect
	if b.Term > m.term {
		if m.leading {
			effects = append(effects, StepDown{Newer: b.Term})
		}
		m.follow(now, b.Term, b.Leader, b.Address)
		effects = appendLog(effects, "following", log.Fields{"leader": b.Leader, "term": b.Term})
		effects = append(effects, m.sendHeartbeat(now)...)
		if !b.Leads {
			return effects
		}
	}
	if b.Term < m.term && b.Leads {
		// The sender is a deposed leader that was partitioned; tell it the newer leader.
		return append(effects, m.heartbeatAnswer(0, from, m.leading))
	}
	if b.Term < m.term || !b.Leads || from != m.leaderAddress {
		return effects
	}
	m.leaderAnsweredAt = now
	if b.Known != m.knownToLeader {
		m.knownToLeader = b.Known
		if !m.knownToLeader {
			effects = append(effects, m.sendHeartbeat(now)...)
		}
	}
	if m.state != accessingRecord && !b.Resigned {
		m.state = following
	}
	electionRequested := b.Resigned && !m.leaderResigned && !m.leading
	m.leaderResigned = b.Resigned
	if electionRequested {
		m.scheduleElection(now)
	}
	return effects
}

func (m *Member) receiveVote(now time.Time, from string, b message.Vote) []Effect {
	if b.Term > m.term && b.Address != "" && b.Address != m.self.Peer {
		m.follow(now, b.Term, b.Leader, b.Address)
		return m.sendHeartbeat(now)
	}
	if m.state == polling && b.Term == m.term {
		m.votes[from] = b.InTouch
	}
	return nil
}
