package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/placement"
	"github.com/azuretiller/azuretiller/pkg/record"
	"github.com/azuretiller/azuretiller/pkg/settlement"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
)

// Reduce applies one event to the state and returns what is to be done, in order.
func Reduce(s *State, event Event) []Effect {
	now := event.at()
	var effects []Effect
	switch e := event.(type) {
	case Tick:
		effects = s.tick(now)
	case EntriesRead:
		effects = s.entriesRead(e)
	case ReadFailed:
		effects = s.readFailed(e)
	case BeatReceived:
		effects = s.beat(e.Beat, now, time.Time{})
	case BeatAnswered:
		effects = s.beat(e.Beat, now, e.Sent)
	case Relayed:
		s.monitor.Heard(e.VM, e.Incarnation, now)
	case RecordsFetched:
		effects = s.recordsFetched(e)
	case Proposed:
		effects = s.propose(e.Record, now)
	case Appended:
		// Whatever the answer says, only reading tells what became of the record.
		s.nextRead = now
	case LeaveBegun:
		effects = s.leave(now)
	}
	return append(effects, s.publish()...)
}

func (s *State) tick(now time.Time) []Effect {
	var effects []Effect
	suspects := s.monitor.Tick(now)
	effects = append(effects, s.membershipChanged(now)...)
	if !now.Before(s.nextBeat) {
		s.nextBeat = now.Add(s.params.Heartbeat)
		effects = append(effects, s.sendBeats(now)...)
		effects = append(effects, s.askAround(suspects)...)
	}
	effects = append(effects, s.read(now)...)
	effects = append(effects, s.settle(now)...)
	effects = append(effects, s.keepRoster(now)...)
	return append(effects, s.mark(now)...)
}

// publish makes a snapshot when anything that traffic reads may have changed.
func (s *State) publish() []Effect {
	if !s.dirty {
		return nil
	}
	s.dirty = false
	p := s.place()
	version, settled := s.settlement.Version()
	return []Effect{Publish{Snapshot: &snapshot.Snapshot{
		Self:           s.self,
		Ready:          s.ready,
		Next:           s.journal.Next(),
		Revision:       s.journal.Revision(),
		Config:         s.journal.Config(),
		Topology:       p.topology,
		Members:        p.members,
		RosterRevision: s.journal.RosterRevision(),
		Live:           p.live,
		Down:           p.down,
		Pollers:        s.pollers,
		Leaving:        s.leaving,
		CompleteAt:     s.view.CompleteAt(),
		OutSince:       s.outSince(),
		Version:        version,
		Settled:        settled,
		SettledAt:      s.settlement.SettledAt(),
		Limit:          s.params.Limit,
	}}}
}

// outSince returns the latest time after which most of the roster failed to read the log.
func (s *State) outSince() time.Time {
	members := s.settlement.Members()
	return s.view.OutSince(members, settlement.Majority(len(members)))
}

// rosterChanged recomputes what follows from the members.
func (s *State) rosterChanged(now time.Time) {
	s.monitor.SetRoster(s.journal.Members(), now)
	s.choosePollers()
	s.displace()
}

// membershipChanged notes VMs that went down or came back.
func (s *State) membershipChanged(now time.Time) []Effect {
	var effects []Effect
	down := s.monitor.Down()
	for _, id := range down {
		if _, ok := s.downSince[id]; !ok {
			s.downSince[id] = now
			effects = append(effects, Notice{Name: "vm down", Fields: map[string]any{"vm": id}})
		}
	}
	for id := range s.downSince {
		if !slices.Contains(down, id) {
			delete(s.downSince, id)
			effects = append(effects, Notice{Name: "vm up", Fields: map[string]any{"vm": id}})
		}
	}
	if len(effects) > 0 {
		s.choosePollers()
		s.displace()
	}
	return effects
}

// choosePollers picks the VMs that read the log for each zone.
func (s *State) choosePollers() {
	byZone := map[azuretiller.Zone][]azuretiller.VM{}
	for _, vm := range s.journal.Members() {
		if !s.monitor.IsDown(vm.ID) {
			byZone[vm.Zone] = append(byZone[vm.Zone], vm)
		}
	}
	s.pollers = s.pollers[:0:0]
	for zone, vms := range byZone {
		ranked := placement.Rank("poller/"+string(zone), vms)
		for _, vm := range ranked[:min(s.params.PollersPerZone, len(ranked))] {
			s.pollers = append(s.pollers, vm.ID)
		}
	}
	slices.Sort(s.pollers)
}

func (s *State) isPoller() bool {
	return slices.Contains(s.pollers, s.self.ID)
}

// nextID returns an id for a record of this VM that no other record has.
func (s *State) nextID(kind string) string {
	s.sequence++
	return fmt.Sprintf("%s-%s-%d-%d", kind, s.self.ID, s.self.Incarnation, s.sequence)
}

func (s *State) newRecord(body record.Body) record.Record {
	return record.Record{
		ID:     s.nextID(body.Kind()),
		Author: s.self.ID,
		Base:   s.journal.Revision(),
		Body:   body,
	}
}
