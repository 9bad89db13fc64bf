package control

import (
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/record"
	"github.com/azuretiller/azuretiller/pkg/rendezvous"
)

// proposal is a record that this VM has appended or is about to append to the log.
type proposal = record.Record

func (s *State) propose(r record.Record, now time.Time) []Effect {
	if s.logUnreachable {
		return []Effect{ReportVerdict{Verdict: record.Verdict{
			ID:     r.ID,
			Kind:   r.Body.Kind(),
			Reason: "the log cannot be reached; nothing was appended",
		}}}
	}
	s.pending[r.ID] = pendingProposal{record: r, withdrawAt: now.Add(s.params.WithdrawAfter)}
	s.nextRead = now
	return []Effect{Append{Record: r}}
}

// withdrawOverdue withdraws proposals that have had no verdict for WithdrawAfter. It appends an edit with the same id and no
// changes; of the two records, only the first one in the log is applied.
func (s *State) withdrawOverdue(now time.Time) []Effect {
	var effects []Effect
	for id, p := range s.pending {
		if now.Before(p.withdrawAt) {
			continue
		}
		p.withdrawAt = now.Add(s.params.WithdrawAfter)
		p.withdrawn = true
		s.pending[id] = p
		if s.logUnreachable {
			continue
		}
		withdrawal := proposal{ID: id, Author: s.self.ID, Base: p.record.Base, Body: record.Edit{Comment: "withdrawn"}}
		effects = append(effects, Append{Record: withdrawal})
	}
	return effects
}

// maintainRoster proposes to add this VM to the roster, and to remove VMs that have been down for RemoveAfter.
func (s *State) maintainRoster(now time.Time) []Effect {
	if !s.ready || s.logUnreachable {
		return nil
	}
	effects := s.proposeJoin(now)
	for _, id := range s.monitor.Down() {
		since, ok := s.downSince[id]
		if !ok || now.Sub(since) < s.params.RemoveAfter+s.staggerDelay("remove/"+string(id)) {
			continue
		}
		member, ok := s.logState.Member(id)
		if !ok {
			continue
		}
		s.downSince[id] = now
		effects = append(effects, Append{Record: s.newRecord(record.Removal{
			VM:          id,
			Incarnation: member.Incarnation,
			Reason:      "down",
		})})
	}
	return effects
}

// proposeJoin proposes a roster entry for this VM if the roster has none or an outdated one. It neither replaces the entry of a
// later incarnation nor adds a VM that is leaving.
func (s *State) proposeJoin(now time.Time) []Effect {
	member, ok := s.logState.Member(s.self.ID)
	if ok && member == s.self || now.Before(s.nextJoin) {
		return nil
	}
	if ok && member.Incarnation > s.self.Incarnation || s.leaving && !ok {
		return nil
	}
	s.nextJoin = now.Add(joinRetryInterval)
	s.nextRead = now
	return []Effect{Append{Record: s.newRecord(record.Join{VM: s.self})}}
}

// staggerDelay returns how long this VM waits before it performs a task that any VM may perform: Stagger for each live VM that
// ranks before it for this task.
func (s *State) staggerDelay(task string) time.Duration {
	ranked := rendezvous.Rank(task, s.derive().live)
	rank := slices.IndexFunc(ranked, func(vm azuretiller.VM) bool { return vm.ID == s.self.ID })
	if rank < 0 {
		rank = len(ranked)
	}
	return time.Duration(rank) * s.params.Stagger
}

// proposeCheckpoint proposes a checkpoint if at least CheckpointRecords records were applied since the last one.
func (s *State) proposeCheckpoint(now time.Time) []Effect {
	if !s.ready || s.logUnreachable || s.recordsSinceCheckpoint < s.params.CheckpointRecords {
		return nil
	}
	if s.nextCheckpoint.IsZero() {
		s.nextCheckpoint = now.Add(s.staggerDelay("checkpoint"))
	}
	if now.Before(s.nextCheckpoint) {
		return nil
	}
	s.nextCheckpoint = now.Add(s.params.Stagger)
	return []Effect{Append{Record: s.newRecord(s.logState.Checkpoint())}}
}

// leave proposes to mark this VM as leaving in the roster.
func (s *State) leave(now time.Time) []Effect {
	s.leaving = true
	s.self.Leaving = true
	s.nextJoin = now
	s.dirty = true
	return s.maintainRoster(now)
}
