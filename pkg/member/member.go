package member

import (
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// Member is what one VM knows of the lead.
type Member struct {
	self    azuretiller.VM
	seeds   []string
	ready   bool
	leaving bool
	// settings is the revision of the newest configuration of this VM.
	settings uint64

	term    azuretiller.Term
	leader  azuretiller.VMID
	address string
	leading bool
	// started is when the VM started.
	started time.Time
	// heard is when the leader of the term answered last, and expected when it should have at the latest.
	heard    time.Time
	expected time.Time
	beatAt   time.Time
	view     message.View
	// parts are those of a newer view that is not whole yet.
	parts        map[int]message.View
	partsTerm    azuretiller.Term
	partsVersion uint64

	step step
	// at is when the next step is due.
	at     time.Time
	votes  map[string]bool
	claims map[azuretiller.Term]bool
	// known means that the leader knows what does not change about this VM.
	known bool
	// asking has the VMs that take this one for the leader, although it does not lead, with the time of their last heartbeat.
	asking map[string]time.Time
	// resigned means that the leader asked for a successor.
	resigned bool
}

// step says what this VM is doing about the lead.
type step int

const (
	// following a leader that answers.
	following step = iota
	// delaying before the leader record is read, so that few VMs do so.
	delaying
	// polling other VMs.
	polling
	// reading the leader record, or writing it.
	reading
)

// New returns a member that knows no leader.
func New(now time.Time, self azuretiller.VM, seeds []string) *Member {
	m := &Member{self: self, seeds: seeds, started: now, claims: map[azuretiller.Term]bool{}, asking: map[string]time.Time{}}
	m.step = delaying
	m.at = now.Add(bootDelay(self))
	return m
}

// bootDelay lets VMs with much processor time claim the lead first when all start together.
func bootDelay(self azuretiller.VM) time.Duration {
	jitter := time.Duration(xxhash.Sum64String(string(self.ID))%bootSlots) * bootStep
	if self.Power <= 0 {
		return jitter
	}
	return jitter + min(bootWork*100/time.Duration(self.Power), longestBoot)
}

// Term returns the newest term that the VM knows.
func (m *Member) Term() azuretiller.Term { return m.term }

// Leading reports whether this VM leads.
func (m *Member) Leading() bool { return m.leading }

// Leader returns the id and host:port of the leader, empty when none is known.
func (m *Member) Leader() (azuretiller.VMID, string) { return m.leader, m.address }

// View returns the newest view of the fleet.
func (m *Member) View() message.View { return m.view }

// InTouch reports whether the leader answered lately.
func (m *Member) InTouch(now time.Time) bool {
	return m.leading || m.term > 0 && !m.heard.IsZero() && now.Sub(m.heard) < lostAfter
}

// OutFor returns how long the VM has been out of touch, at most since it started.
func (m *Member) OutFor(now time.Time) time.Duration {
	if m.InTouch(now) {
		return 0
	}
	if m.heard.Before(m.started) {
		return now.Sub(m.started)
	}
	return now.Sub(m.heard)
}

// SetReady notes whether this VM serves callers, and the newest configuration it has.
func (m *Member) SetReady(ready bool, settings uint64) {
	m.ready = ready
	m.settings = settings
}

// Leave tells the leader at once that this VM is leaving.
func (m *Member) Leave(now time.Time) []Effect {
	m.leaving = true
	return m.beat(now)
}

// Tick advances time.
func (m *Member) Tick(now time.Time) []Effect {
	var effects []Effect
	if now.Sub(m.beatAt) >= beatGap {
		effects = m.beat(now)
	}
	switch m.step {
	case following:
		if !m.InTouch(now) && now.After(m.expected) {
			m.delay(now)
			effects = note(effects, "leader lost", log.Fields{"leader": m.leader, "term": m.term, "silent": now.Sub(m.heard)})
		}
	case delaying:
		if m.InTouch(now) && !m.resigned {
			m.step = following
		} else if !now.Before(m.at) {
			effects = append(effects, m.poll(now)...)
		}
	case polling:
		if !now.Before(m.at) {
			effects = append(effects, m.count(now)...)
		}
	case reading:
	}
	return effects
}

func (m *Member) beat(now time.Time) []Effect {
	m.beatAt = now
	if m.address == "" {
		return nil
	}
	b := message.Beat{
		Incarnation: m.self.Incarnation,
		Ready:       m.ready,
		Leaving:     m.leaving,
		Term:        m.term,
		View:        m.viewVersion(),
		Settings:    m.settings,
	}
	if !m.known {
		b.VM, b.Zone, b.Callers, b.Power = m.self.ID, m.self.Zone, m.self.Caller, m.self.Power
	}
	return []Effect{Send{To: m.address, Body: message.Envelope{Body: b}}}
}

func (m *Member) viewVersion() uint64 {
	if m.view.Term != m.term {
		return 0
	}
	return m.view.Version
}

// delay waits for the candidates that come before this VM.
func (m *Member) delay(now time.Time) {
	m.step = delaying
	rank := m.rank()
	if rank < candidates {
		m.at = now.Add(time.Duration(rank) * firstStep)
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
	peers := slices.Clone(m.seeds)
	for _, other := range m.view.Members {
		peers = append(peers, other.Peer)
	}
	slices.Sort(peers)
	var effects []Effect
	for _, peer := range slices.Compact(peers) {
		if peer != m.self.Peer && peer != m.address {
			effects = append(effects, Send{To: peer, Body: message.Envelope{Body: message.Poll{Term: m.term}}})
		}
	}
	if len(effects) == 0 || m.term == 0 {
		// A VM that just started reads the record anyway; seeds help when the store is away.
		m.step = reading
		effects = append(effects, ReadLeader{})
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
	for _, other := range m.view.Members {
		if other.Peer != m.self.Peer {
			effects = append(effects, m.hello(0, other.Peer, true))
		}
	}
	for _, seed := range m.seeds {
		effects = append(effects, m.hello(0, seed, true))
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

// Peers returns the host:port of the VMs in the newest view.
func (m *Member) Peers() []string {
	var peers []string
	for _, other := range m.view.Members {
		peers = append(peers, other.Peer)
	}
	return peers
}

// follow takes a VM for the leader; it has helloTime to answer.
func (m *Member) follow(now time.Time, term azuretiller.Term, leader azuretiller.VMID, address string) {
	m.term = term
	m.leader = leader
	m.address = address
	m.leading = false
	m.resigned = false
	m.known = false
	m.step = following
	m.expected = now.Add(helloTime)
}

// Receive takes a message that concerns the lead.
func (m *Member) Receive(now time.Time, from string, call uint64, body any) []Effect {
	switch b := body.(type) {
	case message.BeatAnswer:
		return m.answer(now, from, b)
	case message.Beat:
		return m.newer(now, b.Term, from, call)
	case message.Poll:
		vote := message.Vote{Term: m.term, InTouch: m.InTouch(now) && !m.resigned && b.Term <= m.term, Leader: m.leader, Address: m.address}
		return []Effect{Send{To: from, Body: message.Envelope{Call: call, Body: vote}}}
	case message.Vote:
		return m.vote(now, from, b)
	case message.View:
		return m.newView(b)
	}
	return nil
}

// newView takes a newer view and passes it on if it should.
func (m *Member) newView(v message.View) []Effect {
	if v.Term < m.view.Term || v.Term == m.view.Term && v.Version <= m.view.Version {
		return nil
	}
	if m.parts == nil || m.partsTerm != v.Term || m.partsVersion != v.Version {
		m.parts, m.partsTerm, m.partsVersion = map[int]message.View{}, v.Term, v.Version
	}
	m.parts[v.Part] = v
	whole, ok := message.Join(m.parts)
	if !ok {
		return nil
	}
	m.parts = nil
	var effects []Effect
	if whole.Relay {
		effects = m.relay(whole)
	}
	switch {
	case whole.Base == 0:
		m.view = message.View{}.Apply(whole)
	case whole.Term == m.view.Term && whole.Base == m.view.Version:
		m.view = m.view.Apply(whole)
	}
	return effects
}

// relay passes a view on to the VMs of the same zone, those that it names and those that were there before.
func (m *Member) relay(v message.View) []Effect {
	v.Relay = false
	parts := v.Split()
	known := m.view
	if v.Base == 0 {
		known = v
	}
	var effects []Effect
	for _, other := range known.Members {
		if other.Zone != m.self.Zone || other.Peer == m.self.Peer {
			continue
		}
		for _, part := range parts {
			effects = append(effects, Send{To: other.Peer, Body: message.Envelope{Body: part}})
		}
	}
	return effects
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
		if !b.Leads {
			return append(effects, m.beat(now)...)
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
	if b.Resigned && !m.resigned && !m.leading {
		m.delay(now)
	}
	m.resigned = b.Resigned
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

// Head returns the host:port of the VM of this zone that others of the zone ask first, empty when it is this one.
func (m *Member) Head() string {
	head := m.self.Peer
	for _, other := range m.view.Members {
		if other.Zone == m.self.Zone {
			head = min(head, other.Peer)
		}
	}
	if head == m.self.Peer {
		return ""
	}
	return head
}
