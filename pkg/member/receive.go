package member

import (
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// Receive takes a message that concerns the lead.
func (m *Member) Receive(now time.Time, from string, call uint64, body any) []Effect {
	switch b := body.(type) {
	case message.BeatAnswer:
		return m.answer(now, from, b)
	case message.Beat:
		return m.newer(now, b.Term, from, call)
	case message.Poll:
		vote := message.Vote{Term: m.term, InTouch: m.InTouch(now) && !m.resigned && b.Term <= m.term, Leader: m.leader, Address: m.address}
		return []Effect{Send{To: from, Message: message.Envelope{Call: call, Body: vote}}}
	case message.Vote:
		return m.vote(now, from, b)
	case message.View:
		return m.newView(now, b)
	}
	return nil
}

// newer answers a heartbeat that this VM gets although it does not lead.
func (m *Member) newer(now time.Time, term azuretiller.Term, from string, call uint64) []Effect {
	if term > m.term && m.leading {
		// Somebody follows a newer leader, whose address the record has.
		return m.deposed(now, term)
	}
	if term > m.term && m.claims[term] {
		// The claim was carried out after its answer was given up.
		return m.lead(now, term)
	}
	if m.leading {
		return nil
	}
	m.asking[from] = now
	if m.term == 0 {
		return nil
	}
	return []Effect{m.hello(call, from, false)}
}

func (m *Member) deposed(now time.Time, term azuretiller.Term) []Effect {
	m.leading = false
	m.heard = time.Time{}
	m.step = reading
	return []Effect{StepDown{Newer: term}, ReadLeader{}, Note{Name: "deposed", Fields: log.Fields{"term": m.term, "newer": term, "at": now.UnixMilli()}}}
}

func (m *Member) answer(now time.Time, from string, b message.BeatAnswer) []Effect {
	var effects []Effect
	if b.Term > m.term {
		if m.leading {
			effects = append(effects, StepDown{Newer: b.Term})
		}
		m.follow(now, b.Term, b.Leader, b.Address)
		effects = note(effects, "following", log.Fields{"leader": b.Leader, "term": b.Term})
		effects = append(effects, m.beat(now)...)
		if !b.Leads {
			return effects
		}
	}
	if b.Term < m.term && b.Leads {
		// A leader that was cut off learns of its successor.
		return append(effects, m.hello(0, from, m.leading))
	}
	if b.Term < m.term || !b.Leads || from != m.address {
		return effects
	}
	m.heard = now
	if b.Known != m.known {
		m.known = b.Known
		if !m.known {
			effects = append(effects, m.beat(now)...)
		}
	}
	if m.step != reading && !b.Resigned {
		m.step = following
	}
	asked := b.Resigned && !m.resigned && !m.leading
	m.resigned = b.Resigned
	if asked {
		m.delay(now)
	}
	return effects
}

func (m *Member) vote(now time.Time, from string, b message.Vote) []Effect {
	if b.Term > m.term && b.Address != "" && b.Address != m.self.Peer {
		m.follow(now, b.Term, b.Leader, b.Address)
		return m.beat(now)
	}
	if m.step == polling && b.Term == m.term {
		m.votes[from] = b.InTouch
	}
	return nil
}
