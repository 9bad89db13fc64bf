package member

import (
	"time"

	"github.com/apex/log"

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
	// peers maps the host:port of each VM that a view named to the time at which the newest such view came, since the first views
	// of a term name few VMs.
	peers map[string]time.Time
	// parts are those of a newer view that is not whole yet.
	parts        map[int]message.View
	partsTerm    azuretiller.Term
	partsVersion uint64

	step step
	// at is when the next step is due.
	at time.Time
	// inquireAt is when a VM that waits for its turn next asks some others who leads, and inquiries counts these questions.
	inquireAt time.Time
	inquiries int

	votes  map[string]bool
	claims map[azuretiller.Term]bool
	// known means that the leader knows what does not change about this VM.
	known bool
	// asking has the VMs that take this one for the leader, although it does not lead, with the time of their last heartbeat.
	asking map[string]time.Time
	// confirmed means that the store answered a read and this VM waited for those that come before it.
	confirmed bool
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
	m := &Member{self: self, seeds: seeds, started: now, peers: map[string]time.Time{}, claims: map[azuretiller.Term]bool{}, asking: map[string]time.Time{}}
	m.step = delaying
	m.at = now.Add(bootDelay(self))
	return m
}

// Term returns the newest term that the VM knows.
func (m *Member) Term() azuretiller.Term { return m.term }

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
		m.forgetPeers(now)
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
		} else if !now.Before(m.inquireAt) {
			effects = append(effects, m.inquire(now)...)
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
	return []Effect{Send{To: m.address, Message: message.Envelope{Body: b}}}
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
