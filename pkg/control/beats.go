package control

import (
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

const helpers = 3

// Beat returns what this VM tells others about itself.
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

func (s *State) sendBeats(now time.Time) []Effect {
	var effects []Effect
	beat := s.Beat(now)
	for _, id := range s.monitor.Subjects() {
		if vm, ok := s.journal.Member(id); ok {
			effects = append(effects, SendBeat{To: vm, Beat: beat})
		}
	}
	return effects
}

func (s *State) askAround(suspects []azuretiller.VMID) []Effect {
	var effects []Effect
	for _, id := range suspects {
		about, ok := s.journal.Member(id)
		if !ok {
			continue
		}
		via := slices.DeleteFunc(s.journal.Members(), func(vm azuretiller.VM) bool {
			return vm.ID == id || vm.ID == s.self.ID || s.monitor.IsDown(vm.ID)
		})
		s.random.Shuffle(len(via), func(i, j int) { via[i], via[j] = via[j], via[i] })
		effects = append(effects, AskAround{About: about, Via: via[:min(helpers, len(via))]})
	}
	return effects
}

// beat takes in what another VM said; sent is zero unless the beat answers one of this VM, in which case
// the other's ages are known to be no older than since then.
func (s *State) beat(b Beat, now, sent time.Time) []Effect {
	s.monitor.Heard(b.VM, b.Incarnation, now)
	s.monitor.Merge(b.Accusations, now)
	effects := s.membershipChanged(now)
	if b.Next > s.journal.Next() {
		return append(effects, s.fetch(b.VM, now)...)
	}
	effects = append(effects, s.takeSettlement(b, now)...)
	if !sent.IsZero() {
		s.takeOutages(b, sent)
		s.completeThrough(b.Next, b.Age, sent)
	}
	return effects
}

func (s *State) takeSettlement(b Beat, now time.Time) []Effect {
	before := s.settlement.Settled()
	known := b.Known
	if b.Roster != s.journal.RosterRevision() {
		known = nil
	}
	s.settlement.Merge(b.VM, b.Version, known, b.Settled, now)
	if before || !s.settlement.Settled() {
		return nil
	}
	s.dirty = true
	return s.confirm()
}

func (s *State) fetch(from azuretiller.VMID, now time.Time) []Effect {
	peer, ok := s.journal.Member(from)
	if !ok || s.fetching && now.Before(s.fetchBy) {
		return nil
	}
	s.fetching = true
	s.fetchBy = now.Add(fetchTimeout)
	return []Effect{Fetch{Peer: peer, From: s.journal.Next()}}
}

// takeOutages counts the ages from when this VM asked, so that no outage seems more recent than it was. It is called only
// when the sender has applied no more than this VM, so that no VM that knows of a newer change counts as cut off from it.
func (s *State) takeOutages(b Beat, sent time.Time) {
	if b.Roster != s.journal.RosterRevision() || len(b.Outages) == 0 {
		return
	}
	s.view.MergeAges(s.settlement.Members(), b.Outages, sent)
	s.dirty = true
}
