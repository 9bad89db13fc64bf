package control

import (
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

// indirectProbes is the maximum number of VMs that are asked to ping a suspect.
const indirectProbes = 3

// Beat returns the content of a heartbeat of this VM.
func (s *State) Beat(now time.Time) Beat {
	version, settled := s.settlement.Version()
	return Beat{
		VM:          s.self.ID,
		Incarnation: s.self.Incarnation,
		Next:        s.journal.Next(),
		Age:         s.Age(now),
		Accusations: s.monitor.Accusations(now),
		Roster:      s.journal.RosterRevision(),
		Version:     version,
		Settled:     settled,
		Known:       s.settlement.Known(),
		Outages:     s.view.Ages(s.settlement.Members(), now, s.params.Limit),
	}
}

func (s *State) sendHeartbeats(now time.Time) []Effect {
	var effects []Effect
	beat := s.Beat(now)
	for _, id := range s.monitor.Subjects() {
		if vm, ok := s.journal.Member(id); ok {
			effects = append(effects, SendBeat{To: vm, Beat: beat})
		}
	}
	return effects
}

func (s *State) probeIndirectly(suspects []azuretiller.VMID) []Effect {
	var effects []Effect
	for _, id := range suspects {
		target, ok := s.journal.Member(id)
		if !ok {
			continue
		}
		via := slices.DeleteFunc(s.journal.Members(), func(vm azuretiller.VM) bool {
			return vm.ID == id || vm.ID == s.self.ID || s.monitor.IsDown(vm.ID)
		})
		s.random.Shuffle(len(via), func(i, j int) { via[i], via[j] = via[j], via[i] })
		effects = append(effects, AskAround{About: target, Via: via[:min(indirectProbes, len(via))]})
	}
	return effects
}

// handleHeartbeat applies a heartbeat of another VM, or the answer to a heartbeat of this VM. For an answer, sent is the
// time at which this VM sent the heartbeat, and the ages in the answer are counted from then. Otherwise, sent is zero.
func (s *State) handleHeartbeat(b Beat, now, sent time.Time) []Effect {
	s.monitor.Heard(b.VM, b.Incarnation, now)
	s.monitor.Merge(b.Accusations, now)
	effects := s.membershipChanged(now)
	if b.Next > s.journal.Next() {
		return append(effects, s.fetch(b.VM, now)...)
	}
	effects = append(effects, s.mergeSettlement(b, now)...)
	if !sent.IsZero() {
		s.mergeLogFailures(b, sent)
		s.adoptPeerView(b.Next, b.Age, sent)
	}
	return effects
}

func (s *State) mergeSettlement(b Beat, now time.Time) []Effect {
	wasSettled := s.settlement.Settled()
	appliedBy := b.Known
	if b.Roster != s.journal.RosterRevision() {
		appliedBy = nil
	}
	s.settlement.Merge(b.VM, b.Version, appliedBy, b.Settled, now)
	if wasSettled || !s.settlement.Settled() {
		return nil
	}
	s.dirty = true
	return s.reportSettled()
}

func (s *State) fetch(peerID azuretiller.VMID, now time.Time) []Effect {
	peer, ok := s.journal.Member(peerID)
	if !ok || s.fetching && now.Before(s.fetchDeadline) {
		return nil
	}
	s.fetching = true
	s.fetchDeadline = now.Add(fetchTimeout)
	return []Effect{Fetch{Peer: peer, From: s.journal.Next()}}
}

// mergeLogFailures merges the ages of the VMs' last failures to read the log. The ages are counted from the time at which
// this VM sent its heartbeat, so that no failure seems more recent than it was. It is called only if the sender has applied no
// more records than this VM. Otherwise, a VM that has already applied a newer change could be counted among the VMs that cannot
// have read it.
func (s *State) mergeLogFailures(b Beat, sent time.Time) {
	if b.Roster != s.journal.RosterRevision() || len(b.Outages) == 0 {
		return
	}
	s.view.MergeAges(s.settlement.Members(), b.Outages, sent)
	s.dirty = true
}
