package control

import (
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/placement"
	"github.com/azuretiller/azuretiller/pkg/record"
)

type proposal = record.Record

func (s *State) propose(r record.Record, now time.Time) []Effect {
	if s.logFailing {
		return []Effect{Resolved{Verdict: record.Verdict{
			ID:     r.ID,
			Kind:   r.Body.Kind(),
			Reason: "the log cannot be reached; nothing was appended",
		}}}
	}
	s.pending[r.ID] = pending{record: r, settleAt: now.Add(s.params.Settle)}
	s.nextRead = now
	return []Effect{Append{Record: r}}
}

// settle withdraws proposals without a verdict: a record with the same id and no content is appended,
// and whichever of the two comes first in the log counts.
func (s *State) settle(now time.Time) []Effect {
	var effects []Effect
	for id, p := range s.pending {
		if now.Before(p.settleAt) {
			continue
		}
		p.settleAt = now.Add(s.params.Settle)
		p.withdrawn = true
		s.pending[id] = p
		if s.logFailing {
			continue
		}
		void := proposal{ID: id, Author: s.self.ID, Base: p.record.Base, Body: record.Edit{Comment: "withdrawn"}}
		effects = append(effects, Append{Record: void})
	}
	return effects
}

// keepRoster proposes that this VM joins, and that VMs that stay down are removed.
func (s *State) keepRoster(now time.Time) []Effect {
	if !s.ready || s.logFailing {
		return nil
	}
	effects := s.keepJoined(now)
	for _, id := range s.monitor.Down() {
		since, ok := s.downSince[id]
		if !ok || now.Sub(since) < s.params.Remove+s.turn("remove/"+string(id)) {
			continue
		}
		member, ok := s.journal.Member(id)
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

func (s *State) keepJoined(now time.Time) []Effect {
	member, ok := s.journal.Member(s.self.ID)
	if ok && member == s.self || now.Before(s.joinBy) {
		return nil
	}
	if ok && member.Incarnation > s.self.Incarnation || s.leaving && !ok {
		return nil
	}
	s.joinBy = now.Add(joinRetry)
	s.nextRead = now
	return []Effect{Append{Record: s.newRecord(record.Join{VM: s.self})}}
}

// turn returns how long this VM waits for VMs that come before it in doing a shared task.
func (s *State) turn(task string) time.Duration {
	ranked := placement.Rank(task, s.place().live)
	place := slices.IndexFunc(ranked, func(vm azuretiller.VM) bool { return vm.ID == s.self.ID })
	if place < 0 {
		place = len(ranked)
	}
	return time.Duration(place) * s.params.Stagger
}

// mark proposes a checkpoint when enough records were applied since the last one.
func (s *State) mark(now time.Time) []Effect {
	if !s.ready || s.logFailing || s.sinceMark < s.params.CheckpointRecords {
		return nil
	}
	if s.markBy.IsZero() {
		s.markBy = now.Add(s.turn("checkpoint"))
	}
	if now.Before(s.markBy) {
		return nil
	}
	s.markBy = now.Add(s.params.Stagger)
	return []Effect{Append{Record: s.newRecord(s.journal.Checkpoint())}}
}

// leave marks this VM as leaving in the roster.
func (s *State) leave(now time.Time) []Effect {
	s.leaving = true
	s.self.Leaving = true
	s.joinBy = now
	s.dirty = true
	return s.keepRoster(now)
}
