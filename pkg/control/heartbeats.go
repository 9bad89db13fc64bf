package control

import (
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

// maxIndirectProbes is the maximum number of VMs that are asked to ping a suspect.
const maxIndirectProbes = 3

// Heartbeat returns the content of a heartbeat of this VM.
func (s *State) Heartbeat(now time.Time) Heartbeat {
	version, settled := s.quorum.Versions()
	return Heartbeat{
		VM:             s.self.ID,
		Incarnation:    s.self.Incarnation,
		NextOffset:     s.logState.NextOffset(),
		ViewAge:        s.ViewAge(now),
		Accusations:    s.monitor.Accusations(now),
		RosterRevision: s.logState.RosterRevision(),
		Version:        version,
		Settled:        settled,
		AppliedBy:      s.quorum.AppliedBy(),
		LogFailureAges: s.freshness.FailureAges(s.quorum.Members(), now, s.params.MaxViewAge),
	}
}

func (s *State) sendHeartbeats(now time.Time) []Effect {
	var effects []Effect
	heartbeat := s.Heartbeat(now)
	for _, id := range s.monitor.Subjects() {
		if vm, ok := s.logState.Member(id); ok {
			effects = append(effects, SendHeartbeat{To: vm, Heartbeat: heartbeat})
		}
	}
	return effects
}

func (s *State) probeIndirectly(suspects []azuretiller.VMID) []Effect {
	var effects []Effect
	for _, id := range suspects {
		target, ok := s.logState.Member(id)
		if !ok {
			continue
		}
		via := slices.DeleteFunc(s.logState.Members(), func(vm azuretiller.VM) bool {
			return vm.ID == id || vm.ID == s.self.ID || s.monitor.IsDown(vm.ID)
		})
		s.random.Shuffle(len(via), func(i, j int) { via[i], via[j] = via[j], via[i] })
		effects = append(effects, ProbeIndirectly{Target: target, Via: via[:min(maxIndirectProbes, len(via))]})
	}
	return effects
}

// handleHeartbeat applies a heartbeat of another VM, or the answer to a heartbeat of this VM. For an answer, sent is the
// time at which this VM sent the heartbeat, and the ages in the answer are counted from then. Otherwise, sent is zero.
func (s *State) handleHeartbeat(hb Heartbeat, now, sent time.Time) []Effect {
	s.monitor.RecordAlive(hb.VM, hb.Incarnation, now)
	s.monitor.Merge(hb.Accusations, now)
	effects := s.recordDownChanges(now)
	if hb.NextOffset > s.logState.NextOffset() {
		return append(effects, s.fetch(hb.VM, now)...)
	}
	effects = append(effects, s.mergeQuorum(hb, now)...)
	if !sent.IsZero() {
		s.mergeLogFailures(hb, sent)
		s.adoptPeerView(hb.NextOffset, hb.ViewAge, sent)
	}
	return effects
}

func (s *State) mergeQuorum(hb Heartbeat, now time.Time) []Effect {
	wasSettled := s.quorum.Settled()
	appliedBy := hb.AppliedBy
	if hb.RosterRevision != s.logState.RosterRevision() {
		appliedBy = nil
	}
	s.quorum.Merge(hb.VM, hb.Version, appliedBy, hb.Settled, now)
	if wasSettled || !s.quorum.Settled() {
		return nil
	}
	s.dirty = true
	return s.reportSettled()
}

func (s *State) fetch(peerID azuretiller.VMID, now time.Time) []Effect {
	peer, ok := s.logState.Member(peerID)
	if !ok || s.fetching && now.Before(s.fetchDeadline) {
		return nil
	}
	s.fetching = true
	s.fetchDeadline = now.Add(fetchTimeout)
	return []Effect{Fetch{Peer: peer, From: s.logState.NextOffset()}}
}

// mergeLogFailures merges the ages of the VMs' last failures to read the log. The ages are counted from the time at which
// this VM sent its heartbeat, so that no failure seems more recent than it was. It is called only if the sender has applied no
// more records than this VM. Otherwise, a VM that has already applied a newer change could be counted among the VMs that cannot
// have read it.
func (s *State) mergeLogFailures(hb Heartbeat, sent time.Time) {
	if hb.RosterRevision != s.logState.RosterRevision() || len(hb.LogFailureAges) == 0 {
		return
	}
	s.freshness.MergeFailureAges(s.quorum.Members(), hb.LogFailureAges, sent)
	s.dirty = true
}
