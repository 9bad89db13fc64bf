package control

import (
	"fmt"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/quorum"
	"github.com/azuretiller/azuretiller/pkg/record"
	"github.com/azuretiller/azuretiller/pkg/rendezvous"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
)

// Reduce applies one event to the state and returns the effects to carry out, in order.
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
	case HeartbeatReceived:
		effects = s.handleHeartbeat(e.Heartbeat, now, time.Time{})
	case HeartbeatAnswered:
		effects = s.handleHeartbeat(e.Heartbeat, now, e.Sent)
	case IndirectProbeAnswered:
		s.monitor.RecordAlive(e.VM, e.Incarnation, now)
	case RecordsFetched:
		effects = s.recordsFetched(e)
	case Proposed:
		effects = s.propose(e.Record, now)
	case Appended:
		// The answer is not used: a failed append may still have taken effect, and a record in the log may be rejected.
		// Only a read of the log shows the result.
		s.nextRead = now
	case LeaveBegun:
		effects = s.leave(now)
	}
	return append(effects, s.publish()...)
}

func (s *State) tick(now time.Time) []Effect {
	var effects []Effect
	suspects := s.monitor.Tick(now)
	effects = append(effects, s.recordDownChanges(now)...)
	if !now.Before(s.nextHeartbeat) {
		s.nextHeartbeat = now.Add(s.params.HeartbeatInterval)
		effects = append(effects, s.sendHeartbeats(now)...)
		effects = append(effects, s.probeIndirectly(suspects)...)
	}
	effects = append(effects, s.read(now)...)
	effects = append(effects, s.withdrawOverdue(now)...)
	effects = append(effects, s.maintainRoster(now)...)
	return append(effects, s.proposeCheckpoint(now)...)
}

// publish returns a snapshot if any of its contents may have changed.
func (s *State) publish() []Effect {
	if !s.dirty {
		return nil
	}
	s.dirty = false
	d := s.derive()
	version, settled := s.quorum.Versions()
	return []Effect{Publish{Snapshot: &snapshot.Snapshot{
		Self:             s.self,
		Ready:            s.ready,
		NextOffset:       s.logState.NextOffset(),
		Revision:         s.logState.Revision(),
		Config:           s.logState.Config(),
		Topology:         d.topology,
		Members:          d.members,
		RosterRevision:   s.logState.RosterRevision(),
		Live:             d.live,
		Down:             d.down,
		Pollers:          s.pollers,
		Leaving:          s.leaving,
		CompleteAt:       s.freshness.CompleteAt(),
		MajorityOutageAt: s.majorityOutageAt(),
		Version:          version,
		Settled:          settled,
		SettledAt:        s.quorum.SettledAt(),
		MaxViewAge:       s.params.MaxViewAge,
	}}}
}

// majorityOutageAt returns the latest time such that most VMs of the roster failed to read the log at or after it, or the
// zero time if there is none.
func (s *State) majorityOutageAt() time.Time {
	members := s.quorum.Members()
	return s.freshness.OutageAt(members, quorum.Majority(len(members)))
}

// rosterChanged updates the failure detector, the pollers and the derived state after a change of the roster.
func (s *State) rosterChanged(now time.Time) {
	s.monitor.SetRoster(s.logState.Members(), now)
	s.choosePollers()
	s.invalidateDerived()
}

// recordDownChanges records and logs which VMs went down or came back up.
func (s *State) recordDownChanges(now time.Time) []Effect {
	var effects []Effect
	down := s.monitor.Down()
	for _, id := range down {
		if _, ok := s.downSince[id]; !ok {
			s.downSince[id] = now
			effects = append(effects, LogLine{Message: "vm down", Fields: map[string]any{"vm": id}})
		}
	}
	for id := range s.downSince {
		if !slices.Contains(down, id) {
			delete(s.downSince, id)
			effects = append(effects, LogLine{Message: "vm up", Fields: map[string]any{"vm": id}})
		}
	}
	if len(effects) > 0 {
		s.choosePollers()
		s.invalidateDerived()
	}
	return effects
}

// choosePollers selects the VMs that read the log for each zone.
func (s *State) choosePollers() {
	byZone := map[azuretiller.Zone][]azuretiller.VM{}
	for _, vm := range s.logState.Members() {
		if !s.monitor.IsDown(vm.ID) {
			byZone[vm.Zone] = append(byZone[vm.Zone], vm)
		}
	}
	s.pollers = s.pollers[:0:0]
	for zone, vms := range byZone {
		ranked := rendezvous.Rank("poller/"+string(zone), vms)
		for _, vm := range ranked[:min(s.params.PollersPerZone, len(ranked))] {
			s.pollers = append(s.pollers, vm.ID)
		}
	}
	slices.Sort(s.pollers)
}

func (s *State) isPoller() bool {
	return slices.Contains(s.pollers, s.self.ID)
}

// nextID returns a unique id for a record of this VM.
func (s *State) nextID(kind string) string {
	s.idSequence++
	return fmt.Sprintf("%s-%s-%d-%d", kind, s.self.ID, s.self.Incarnation, s.idSequence)
}

func (s *State) newRecord(body record.Body) record.Record {
	return record.Record{
		ID:     s.nextID(body.Kind()),
		Author: s.self.ID,
		Base:   s.logState.Revision(),
		Body:   body,
	}
}
