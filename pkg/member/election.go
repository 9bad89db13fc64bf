package member

import (
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/shareledger"
)

// initialDelay returns the delay of the first election after a start. It is shorter for VMs with more CPU capacity, so that they
// claim leadership first when all VMs start together. It is only the jitter if the CPU capacity is unknown.
func initialDelay(self azuretiller.VM) time.Duration {
	jitter := time.Duration(xxhash.Sum64String(string(self.ID))%initialJitterSteps) * initialJitterStep
	if self.CPUPercent <= 0 {
		return jitter
	}
	return jitter + min(singleCoreDelay*100/time.Duration(self.CPUPercent), maxCoreDelay)
}

// scheduleElection starts an election after a delay by rank, which lets candidates of lower rank claim first.
func (m *Member) scheduleElection(now time.Time) {
	m.state = waiting
	m.nextQueryAt = now.Add(queryInterval)
	rank := m.candidateRank()
	if rank < earlyCandidates {
		m.stateDeadline = now.Add(time.Duration(rank) * earlyCandidateStep)
		return
	}
	if m.leaderResigned {
		m.stateDeadline = now.Add(resignedLateCandidateDelay + time.Duration(rank-earlyCandidates)*lateCandidateStep)
		return
	}
	m.stateDeadline = now.Add(lateCandidateDelay + time.Duration(rank)*lateCandidateStep)
}

// candidateRank returns the rank of this VM among the candidates for the next term, from 0. VMs with more CPU capacity have lower
// ranks, by the view and by what the leader told this VM, and a VM that is leaving ranks last. The current leader and other VMs that are not
// ready are no candidates.
func (m *Member) candidateRank() int {
	tieBreak := func(id azuretiller.VMID) uint64 {
		d := xxhash.NewWithSeed(uint64(m.term))
		_, _ = d.WriteString(string(id))
		return d.Sum64()
	}
	ownTieBreak := tieBreak(m.self.ID)
	rank := 0
	for _, other := range m.view.Members {
		if other.VM == m.leader || other.VM == m.self.ID || !other.Ready {
			continue
		}
		if other.Power > m.self.CPUPercent || other.Power == m.self.CPUPercent && tieBreak(other.VM) < ownTieBreak {
			rank++
		}
	}
	rank = max(rank, m.strongerVMs)
	if m.leaving {
		rank += len(m.view.Members)
	}
	return rank
}

// startPoll asks all known VMs except the leader whether the leader answers their heartbeats. It reads the leader record without
// a poll if the leader resigned.
func (m *Member) startPoll(now time.Time) []Effect {
	if m.leaderResigned {
		m.state = accessingRecord
		return []Effect{ReadLeader{}}
	}
	m.state = polling
	m.stateDeadline = now.Add(pollTimeout)
	m.votes = map[string]message.Vote{}
	m.pollStartedAt = m.holder.Clock(now)
	var effects []Effect
	for _, peer := range m.otherPeers() {
		if peer != m.leaderAddress {
			effects = append(effects, m.pollPeer(peer))
		}
	}
	m.polled = len(effects)
	if len(effects) == 0 || m.term == 0 {
		// A VM that has just started, or knows no other VM, reads the leader record without waiting for votes. It polls the seeds
		// as well, since they can name the leader while the store is unavailable.
		m.state = accessingRecord
		effects = append(effects, ReadLeader{})
	}
	return effects
}

func (m *Member) pollPeer(peer string) Effect {
	return Send{To: peer, Message: message.Envelope{Body: message.VoteRequest{Term: m.term}}}
}

// queryPeers asks queryFanout other VMs who leads, while this VM waits for its turn to read the leader record.
//
// A new leader that knows only a part of the fleet cannot contact the rest. The queries spread its address to all VMs within a
// few rounds, without calls to the store.
func (m *Member) queryPeers(now time.Time) []Effect {
	m.nextQueryAt = now.Add(queryInterval)
	m.queryRounds++
	others := m.otherPeers()
	if len(others) == 0 {
		return nil
	}
	d := xxhash.NewWithSeed(uint64(m.queryRounds))
	_, _ = d.WriteString(string(m.self.ID))
	offset := int(d.Sum64() % uint64(len(others)))
	var effects []Effect
	for i := range min(queryFanout, len(others)) {
		effects = append(effects, m.pollPeer(others[(offset+i)%len(others)]))
	}
	return effects
}

// finishPoll counts the votes and that of this VM, which the leader does not answer. This VM reads the leader record, and may then
// claim leadership, unless the leader answers most of these VMs. A poll that nobody answers is repeated first.
func (m *Member) finishPoll(now time.Time) []Effect {
	if m.LeaderReachable(now) {
		m.state = following
		return nil
	}
	connected, disconnected := 0, 0
	leaderless := m.holder.Spendable(now)
	for _, vote := range m.votes {
		if vote.LeaderReachable {
			connected++
		} else {
			disconnected++
			leaderless += vote.Share
		}
	}
	if leaderless > azuretiller.WholeRate/2 {
		m.holder.Confirm(m.pollStartedAt)
	}
	fields := log.Fields{"term": m.term, "in_touch": connected, "out_of_touch": disconnected + 1}
	if m.repeatsPoll() {
		m.state = waiting
		m.stateDeadline = now.Add(unansweredPollDelay)
		return appendLog(nil, "poll unanswered", fields)
	}
	if connected > disconnected+1 {
		m.state = waiting
		m.stateDeadline = now.Add(isolatedPollInterval)
		return appendLog(nil, "isolated", fields)
	}
	m.state = accessingRecord
	return appendLog([]Effect{ReadLeader{}}, "leader doubted", fields)
}

// repeatsPoll reports whether the poll is to be repeated, since nobody answered it: more likely this VM is slow or cut off than all others are
// down.
func (m *Member) repeatsPoll() bool {
	if len(m.votes) > 0 || m.polled < minPolled {
		m.unansweredPolls = 0
		return false
	}
	m.unansweredPolls++
	return m.unansweredPolls <= maxUnansweredPolls
}

// LeaderRead handles the result of ReadLeader: the leader record and the position of the next one, or an error. It follows a newer
// leader that the record names, claims the next term or waits.
func (m *Member) LeaderRead(now time.Time, r azuretiller.LeaderRecord, next azuretiller.Position, err error) []Effect {
	if m.state != accessingRecord {
		return nil
	}
	if err != nil {
		m.storeAnswered = false
		m.state = waiting
		m.stateDeadline = now.Add(storeRetryDelay + time.Duration(m.candidateRank())*lateCandidateStep)
		return nil
	}
	m.era = max(m.era, next.Era)
	ownRecord := r.VM == m.self.ID
	switch {
	case m.LeaderReachable(now) && !m.leaderResigned:
		m.state = following
		return nil
	case ownRecord && m.hasClaimed(r.Term) && r.Term > m.term && r.Term.Era() == next.Era:
		return m.becomeLeader(now, r)
	case r.Term > m.term && !ownRecord:
		m.follow(now, r.Term, r.VM, r.Address)
		return m.sendHeartbeat(now)
	}
	if m.leaving {
		m.state = waiting
		m.stateDeadline = now.Add(storeRetryDelay)
		return nil
	}
	if m.leaderResigned && !m.storeAnswered && m.candidateRank() >= earlyCandidates {
		m.storeAnswered = true
		m.state = waiting
		m.stateDeadline = now.Add(storeRecoveryDelay)
		return nil
	}
	m.storeAnswered = false
	claimed := m.record(max(r.Term, m.term).Next(next.Era))
	claimed.Rates = shareledger.Claimed(r, m.self.ID)
	m.claims[claimed.Term] = claimed
	return []Effect{Claim{At: next, Record: claimed}}
}

func (m *Member) hasClaimed(term azuretiller.Term) bool {
	_, ok := m.claims[term]
	return ok
}

// record returns the leader record of this VM for a term, without the shares of the rates.
func (m *Member) record(term azuretiller.Term) azuretiller.LeaderRecord {
	return azuretiller.LeaderRecord{Term: term, VM: m.self.ID, Address: m.self.PeerAddress}
}

// Claimed handles the result of a Claim.
func (m *Member) Claimed(now time.Time, term azuretiller.Term, err error) []Effect {
	if m.state != accessingRecord {
		return nil
	}
	switch {
	case term <= m.term:
		m.state = following
		return nil
	case err == nil:
		return m.becomeLeader(now, m.claims[term])
	case errors.Is(err, azuretiller.ErrClaimLost):
		return []Effect{ReadLeader{}}
	default:
		// The claim may have been written although the call failed. The next read of the record shows it.
		m.state = waiting
		m.stateDeadline = now.Add(storeRetryDelay / 2)
		return nil
	}
}

func (m *Member) becomeLeader(now time.Time, claimed azuretiller.LeaderRecord) []Effect {
	m.follow(now, claimed.Term, m.self.ID, m.self.PeerAddress)
	m.leading = true
	m.leaderAnsweredAt = now
	effects := []Effect{BecomeLeader{Term: claimed.Term, Rates: claimed.Rates}}
	for _, peer := range m.otherPeers() {
		effects = append(effects, m.heartbeatResponse(0, peer, true))
	}
	for from, at := range m.heartbeatSenders {
		if now.Sub(at) < newLeaderTimeout {
			effects = append(effects, m.heartbeatResponse(0, from, true))
		}
	}
	clear(m.heartbeatSenders)
	return append(effects, m.sendHeartbeat(now)...)
}

// ObserveLeaderRecord handles a leader record that was read while this VM leads, with the position of the next one; rates are the shares of
// the rates that its own record holds.
func (m *Member) ObserveLeaderRecord(now time.Time, r azuretiller.LeaderRecord, next azuretiller.Position, rates azuretiller.RateLedger) []Effect {
	ownRecord := r.VM == m.self.ID
	switch {
	case !m.leading:
		return nil
	case r.Term < m.term:
		// A restore lost the record of this term. Without it, VMs that start would follow an earlier leader or claim the next term.
		lost := m.record(m.term)
		lost.Rates = rates
		return []Effect{Claim{At: next, Record: lost}}
	case r.Term == m.term && !ownRecord:
		// A claim of the former era was written in this one, and its VM may lead as well. This VM claims a term that is unique.
		return m.stepDown(now, r.Term)
	case r.Term > m.term && !ownRecord:
		m.follow(now, r.Term, r.VM, r.Address)
		return append([]Effect{StepDown{Newer: r.Term}}, m.sendHeartbeat(now)...)
	}
	return nil
}
