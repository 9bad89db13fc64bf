package member

import (
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/shareholder"
)

// Member is the election and membership state of one VM.
type Member struct {
	self azuretiller.VM
	// seeds are the host:port of VMs that count as peers even if no view contained them.
	seeds   []string
	ready   bool
	leaving bool
	// configRevision is the revision of the newest configuration of this VM.
	configRevision uint64
	// drainedTerm and drainedView identify the newest view for which no attempt runs on a server that it withdraws.
	drainedTerm azuretiller.Term
	drainedView uint64

	term azuretiller.Term
	// formerEra is the era of the terms before eraSince.
	formerEra     azuretiller.Era
	eraSince      time.Time
	leader        azuretiller.VMID
	leaderAddress string
	leading       bool
	startedAt     time.Time
	// leaderAnsweredAt is when the leader last answered a heartbeat. Until answerDeadline, the leader of a new term does not count
	// as lost.
	leaderAnsweredAt time.Time
	// viewConfirmedAt is when a leader other than this VM last answered a heartbeat, or its view last arrived.
	viewConfirmedAt time.Time
	answerDeadline  time.Time
	heartbeatSentAt time.Time
	view            message.View
	// peers maps the host:port of each VM that a view contained to the time at which the view last contained it. It keeps VMs that
	// the newest view lacks, since the first views of a term contain few VMs.
	peers map[string]time.Time
	// pendingFull and pendingChange are a newer full view and a newer change that are still incomplete. They are separate, since changes
	// arrive between the parts of a full view.
	pendingFull, pendingChange pendingView

	state state
	// stateDeadline is when the state waiting or polling ends.
	stateDeadline time.Time
	// pollStartedAt is when the last poll started, by the clock of holder.
	pollStartedAt time.Duration
	// nextQueryAt is when queryPeers is due next in the state waiting, and queryRounds counts its rounds.
	nextQueryAt time.Time
	queryRounds int

	// polled is the number of VMs that the last poll asked, and unansweredPolls that of successive polls that none of at least minPolled answered.
	polled, unansweredPolls int
	// votes maps the host:port of each VM that answered the poll to its vote.
	votes map[string]message.Vote
	// claims holds the records for which this VM issued a Claim.
	claims map[azuretiller.Term]azuretiller.LeaderRecord
	// holder is the share of the teams' rates that this VM holds.
	holder *shareholder.Holder
	// era is the newest era in which this VM read the leader record. Claims of earlier eras may not be unique.
	era azuretiller.Era
	// knownToLeader means that the leader knows the properties of this VM that do not change while it runs. Heartbeats then omit
	// them.
	knownToLeader bool
	// strongerVMs is how many VMs that could lead have more CPU capacity than this one, by the last answer of a leader.
	strongerVMs int
	// renewedAt is when the last heartbeat that the leader answered was sent, by the clock of holder.
	renewedAt time.Duration
	// heartbeatSenders maps the host:port of each VM that sends heartbeats to this one, although it does not lead, to the time of
	// the last one.
	heartbeatSenders map[string]time.Time
	// storeAnswered means that the store answered a read, and that this VM waits for storeRecoveryDelay before it claims.
	storeAnswered bool
	// leaderResigned means that the leader asked for a successor.
	leaderResigned bool
}

// state is the state of the election on this VM.
type state int

const (
	// following means that the VM follows a leader, or leads.
	following state = iota
	// waiting means that the VM waits for its turn in an election, so that few VMs read the leader record.
	waiting
	// polling means that the VM collects votes.
	polling
	// accessingRecord means that a read or a write of the leader record is under way.
	accessingRecord
)

// New returns a member that knows no leader.
func New(now time.Time, self azuretiller.VM, seeds []string) *Member {
	m := &Member{
		self:             self,
		seeds:            seeds,
		startedAt:        now,
		peers:            map[string]time.Time{},
		claims:           map[azuretiller.Term]azuretiller.LeaderRecord{},
		holder:           shareholder.New(now),
		heartbeatSenders: map[string]time.Time{},
	}
	m.state = waiting
	m.stateDeadline = now.Add(initialDelay(self))
	return m
}

// Term returns the newest term that the VM knows.
func (m *Member) Term() azuretiller.Term { return m.term }

// SettledEra returns the era of the newest term, or the former one if this VM has not known terms of that era for eraSettleTime.
func (m *Member) SettledEra(now time.Time) azuretiller.Era {
	if now.Sub(m.eraSince) < eraSettleTime {
		return m.formerEra
	}
	return m.term.Era()
}

// Leader returns the id and host:port of the leader, empty when none is known.
func (m *Member) Leader() (azuretiller.VMID, string) { return m.leader, m.leaderAddress }

// View returns the newest view of the fleet.
func (m *Member) View() message.View { return m.view }

// ViewAge returns the time since the leader that sent the view was last heard from.
func (m *Member) ViewAge(now time.Time) time.Duration { return now.Sub(m.viewConfirmedAt) }

// LeaderReachable reports whether this VM leads, or the leader answered a heartbeat within leaderTimeout.
func (m *Member) LeaderReachable(now time.Time) bool {
	return m.leading || m.term > 0 && !m.leaderAnsweredAt.IsZero() && now.Sub(m.leaderAnsweredAt) < leaderTimeout
}

// LeaderUnreachableFor returns the time since the leader last answered, or since the start of the VM if none did. It is 0
// while LeaderReachable holds.
func (m *Member) LeaderUnreachableFor(now time.Time) time.Duration {
	if m.LeaderReachable(now) {
		return 0
	}
	if m.leaderAnsweredAt.Before(m.startedAt) {
		return now.Sub(m.startedAt)
	}
	return now.Sub(m.leaderAnsweredAt)
}

// ViewLeaseAge returns the time since this VM sent the last heartbeat that a leader answered. Unlike the time since the answer, the leader
// cannot take it for longer than it is, however late the answer was handled.
func (m *Member) ViewLeaseAge(now time.Time) time.Duration {
	return m.holder.Clock(now) - m.renewedAt
}

// HeldShare returns the share of the teams' rates that this VM holds, and the sum of the shares of the VMs before it.
func (m *Member) HeldShare(now time.Time) (share, offset azuretiller.RateShare) {
	return m.holder.Held(now), m.holder.Offset()
}

// SpendableShare returns the share of the teams' rates that this VM may spend itself, since no leader does.
func (m *Member) SpendableShare(now time.Time) azuretiller.RateShare { return m.holder.Spendable(now) }

// SetReady sets whether this VM serves callers and the revision of its configuration. Heartbeats carry both.
func (m *Member) SetReady(ready bool, configRevision uint64) {
	m.ready = ready
	m.configRevision = configRevision
}

// SetDrained records that no attempt of this VM runs on a server that a version of the view withdraws.
func (m *Member) SetDrained(term azuretiller.Term, version uint64) {
	m.drainedTerm, m.drainedView = term, version
}

// Leave marks this VM as leaving and tells the leader without waiting for the next heartbeat.
func (m *Member) Leave(now time.Time) []Effect {
	m.leaving = true
	m.holder.Leave()
	return m.sendHeartbeat(now)
}

// Tick advances time: it sends heartbeats, expires peers, detects the loss of the leader and advances elections.
func (m *Member) Tick(now time.Time) []Effect {
	var effects []Effect
	if now.Sub(m.heartbeatSentAt) >= heartbeatInterval {
		effects = m.sendHeartbeat(now)
		m.expirePeers(now)
	}
	switch m.state {
	case following:
		if !m.LeaderReachable(now) && now.After(m.answerDeadline) {
			m.scheduleElection(now)
			effects = appendLog(effects, "leader lost", log.Fields{"leader": m.leader, "term": m.term, "silent": now.Sub(m.leaderAnsweredAt)})
		}
	case waiting:
		if m.LeaderReachable(now) && !m.leaderResigned {
			m.state = following
		} else if !now.Before(m.stateDeadline) {
			effects = append(effects, m.startPoll(now)...)
		} else if !now.Before(m.nextQueryAt) {
			effects = append(effects, m.queryPeers(now)...)
		}
	case polling:
		if !now.Before(m.stateDeadline) {
			effects = append(effects, m.finishPoll(now)...)
		}
	case accessingRecord:
	}
	return effects
}

func (m *Member) sendHeartbeat(now time.Time) []Effect {
	m.heartbeatSentAt = now
	if m.leaderAddress == "" {
		return nil
	}
	hb := message.Heartbeat{
		Incarnation:    m.self.Incarnation,
		Ready:          m.ready,
		Leaving:        m.leaving,
		Term:           m.term,
		ViewVersion:    m.viewVersion(),
		ConfigRevision: m.configRevision,
	}
	if m.drainedTerm == m.term {
		hb.DrainedView = m.drainedView
	}
	m.holder.Fill(now, &hb)
	if !m.knownToLeader {
		hb.VM, hb.Zone, hb.CallerAddress, hb.CPUPercent = m.self.ID, m.self.Zone, m.self.CallerAddress, m.self.CPUPercent
	}
	return []Effect{Send{To: m.leaderAddress, Message: message.Envelope{Body: hb}}}
}

// follow sets the leader of a new term, which does not count as lost before newLeaderTimeout ends.
func (m *Member) follow(now time.Time, term azuretiller.Term, leader azuretiller.VMID, address string) {
	// A VM that has just started knows no former era.
	if m.term > 0 && term.Era() > m.term.Era() {
		m.formerEra, m.eraSince = m.SettledEra(now), now
	}
	m.holder.Follow(term)
	m.term = term
	m.leader = leader
	m.leaderAddress = address
	m.leading = false
	m.leaderResigned = false
	m.knownToLeader = false
	m.state = following
	m.answerDeadline = now.Add(newLeaderTimeout)
}
