package member

import (
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// bootDelay lets VMs with much processor time claim the lead first when all start together.
func bootDelay(self azuretiller.VM) time.Duration {
	jitter := time.Duration(xxhash.Sum64String(string(self.ID))%bootSlots) * bootStep
	if self.Power <= 0 {
		return jitter
	}
	return jitter + min(bootWork*100/time.Duration(self.Power), longestBoot)
}

// delay waits for the candidates that come before this VM.
func (m *Member) delay(now time.Time) {
	m.step = delaying
	m.inquireAt = now.Add(inquireGap)
	rank := m.rank()
	if rank < candidates {
		m.at = now.Add(time.Duration(rank) * firstStep)
		return
	}
	if m.resigned {
		m.at = now.Add(resignedStart + time.Duration(rank-candidates)*laterStep)
		return
	}
	m.at = now.Add(laterStart + time.Duration(rank)*laterStep)
}

// rank is the place of this VM in the order of candidates for the next term, those with most processor time first; the leader
// is not among them.
func (m *Member) rank() int {
	order := func(id azuretiller.VMID) uint64 {
		d := xxhash.NewWithSeed(uint64(m.term))
		_, _ = d.WriteString(string(id))
		return d.Sum64()
	}
	own := order(m.self.ID)
	rank := 0
	for _, other := range m.view.Members {
		if other.VM == m.leader || other.VM == m.self.ID || !other.Ready {
			continue
		}
		if other.Power > m.self.Power || other.Power == m.self.Power && order(other.VM) < own {
			rank++
		}
	}
	if m.leaving {
		rank += len(m.view.Members)
	}
	return rank
}

// poll asks all known VMs whether they are in touch with the leader.
func (m *Member) poll(now time.Time) []Effect {
	if m.resigned {
		m.step = reading
		return []Effect{ReadLeader{}}
	}
	m.step = polling
	m.at = now.Add(pollTime)
	m.votes = map[string]bool{}
	var effects []Effect
	for _, peer := range m.others() {
		if peer != m.address {
			effects = append(effects, m.ask(peer))
		}
	}
	if len(effects) == 0 || m.term == 0 {
		// A VM that just started reads the record anyway; seeds help when the store is away.
		m.step = reading
		effects = append(effects, ReadLeader{})
	}
	return effects
}

func (m *Member) ask(peer string) Effect {
	return Send{To: peer, Message: message.Envelope{Body: message.Poll{Term: m.term}}}
}

// inquire asks a few other VMs who leads while this one waits for its turn to read the leader record.
//
// The load it answers: a new leader that knows only a part of the fleet cannot call the others. The news spreads from VM to VM
// within a few rounds, without calls to the store.
func (m *Member) inquire(now time.Time) []Effect {
	m.inquireAt = now.Add(inquireGap)
	m.inquiries++
	others := m.others()
	if len(others) == 0 {
		return nil
	}
	d := xxhash.NewWithSeed(uint64(m.inquiries))
	_, _ = d.WriteString(string(m.self.ID))
	first := int(d.Sum64() % uint64(len(others)))
	var effects []Effect
	for i := range min(inquired, len(others)) {
		effects = append(effects, m.ask(others[(first+i)%len(others)]))
	}
	return effects
}

// count ends a poll. The lead is claimed unless most of the VMs that answered are in touch with the leader.
func (m *Member) count(now time.Time) []Effect {
	if m.InTouch(now) {
		m.step = following
		return nil
	}
	inTouch := 0
	for _, yes := range m.votes {
		if yes {
			inTouch++
		}
	}
	others := len(m.votes) - inTouch
	fields := log.Fields{"term": m.term, "in_touch": inTouch, "out_of_touch": others + 1}
	if inTouch > others+1 {
		m.step = delaying
		m.at = now.Add(isolatedRetry)
		return note(nil, "isolated", fields)
	}
	m.step = reading
	return note([]Effect{ReadLeader{}}, "leader doubted", fields)
}

// LeaderRead takes the leader record and where the next one would stand.
func (m *Member) LeaderRead(now time.Time, r azuretiller.LeaderRecord, next azuretiller.Offset, err error) []Effect {
	if m.step != reading {
		return nil
	}
	if err != nil {
		m.confirmed = false
		m.step = delaying
		m.at = now.Add(readRetry + time.Duration(m.rank())*laterStep)
		return nil
	}
	own := r.VM == m.self.ID
	switch {
	case m.InTouch(now) && !m.resigned:
		m.step = following
		return nil
	case own && m.claims[r.Term] && r.Term > m.term:
		return m.lead(now, r.Term)
	case r.Term > m.term && !own:
		m.follow(now, r.Term, r.VM, r.Address)
		return m.beat(now)
	}
	if m.leaving {
		m.step = delaying
		m.at = now.Add(readRetry)
		return nil
	}
	if m.resigned && !m.confirmed && m.rank() >= candidates {
		m.confirmed = true
		m.step = delaying
		m.at = now.Add(confirmTime)
		return nil
	}
	m.confirmed = false
	term := max(r.Term, m.term) + 1
	m.claims[term] = true
	return []Effect{Claim{At: next, Record: azuretiller.LeaderRecord{Term: term, VM: m.self.ID, Address: m.self.Peer}}}
}

// Claimed takes the answer to a claim.
func (m *Member) Claimed(now time.Time, term azuretiller.Term, err error) []Effect {
	if m.step != reading {
		return nil
	}
	switch {
	case term <= m.term:
		m.step = following
		return nil
	case err == nil:
		return m.lead(now, term)
	case errors.Is(err, azuretiller.ErrClaimLost):
		return []Effect{ReadLeader{}}
	default:
		// The claim may have been carried out: the record tells.
		m.step = delaying
		m.at = now.Add(readRetry / 2)
		return nil
	}
}

func (m *Member) lead(now time.Time, term azuretiller.Term) []Effect {
	m.follow(now, term, m.self.ID, m.self.Peer)
	m.leading = true
	m.heard = now
	effects := []Effect{Lead{Term: term}}
	for _, peer := range m.others() {
		effects = append(effects, m.hello(0, peer, true))
	}
	for from, at := range m.asking {
		if now.Sub(at) < helloTime {
			effects = append(effects, m.hello(0, from, true))
		}
	}
	clear(m.asking)
	return append(effects, m.beat(now)...)
}

// Recorded takes a leader record that was read while this VM leads.
func (m *Member) Recorded(now time.Time, r azuretiller.LeaderRecord) []Effect {
	if !m.leading || r.Term <= m.term || r.VM == m.self.ID {
		return nil
	}
	m.follow(now, r.Term, r.VM, r.Address)
	return append([]Effect{StepDown{Newer: r.Term}}, m.beat(now)...)
}
