package control

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/journal"
	"github.com/azuretiller/azuretiller/pkg/record"
	"github.com/azuretiller/azuretiller/pkg/strict"
)

// read asks the log for records when this VM is a poller, is not in the roster yet, or its view is getting old.
func (s *State) read(now time.Time) []Effect {
	if s.reading || now.Before(s.nextRead) {
		return nil
	}
	_, member := s.journal.Member(s.self.ID)
	stale := strict.Elapsed(now, s.view.CompleteAt()) >= s.params.Fallback
	if member && !s.isPoller() && !stale && len(s.pending) == 0 {
		return nil
	}
	s.reading = true
	return []Effect{Read{From: s.readFrom(), Most: s.params.ReadSize}}
}

func (s *State) readFrom() azuretiller.Offset {
	if len(s.scan) > 0 {
		return s.scan[len(s.scan)-1].Offset + 1
	}
	return s.journal.Next()
}

func (s *State) entriesRead(e EntriesRead) []Effect {
	s.reading = false
	s.logFailing = false
	s.nextRead = e.At.Add(s.pause(s.params.Poll))
	s.view.Recovered(s.self.ID)
	more := len(e.Entries) >= s.params.ReadSize
	if more {
		s.nextRead = e.At
	}
	var effects []Effect
	if len(s.scan) > 0 || s.behind(e) {
		effects = s.scanned(e, more)
	} else {
		effects = s.applyAll(e.Entries, e.At)
	}
	if !more && s.caughtUp(e) {
		s.view.Complete(e.Started)
		s.ready = true
		s.dirty = true
	}
	return effects
}

// caughtUp reports whether everything in an answer is applied; it is not when the log has dropped records and
// kept no checkpoint that makes up for them.
func (s *State) caughtUp(e EntriesRead) bool {
	if n := len(e.Entries); n > 0 {
		return s.journal.Next() > e.Entries[n-1].Offset
	}
	return s.journal.Next() >= e.Oldest
}

// behind reports whether the log has dropped records that this VM has not applied.
func (s *State) behind(e EntriesRead) bool {
	return e.Oldest > s.journal.Next()
}

// scanned collects what the log still has, and at its end restores the newest checkpoint.
func (s *State) scanned(e EntriesRead, more bool) []Effect {
	s.scan = append(s.scan, e.Entries...)
	if more || len(s.scan) == 0 {
		return nil
	}
	entries := s.scan
	s.scan = nil
	for i := len(entries) - 1; i >= 0; i-- {
		r, err := record.Decode(entries[i].Data)
		if err != nil {
			continue
		}
		c, ok := r.Body.(record.Checkpoint)
		if !ok || c.Next < entries[0].Offset || c.Next <= s.journal.Next() {
			continue
		}
		effects := s.restore(c, e.At)
		return append(effects, s.applyAll(entries[c.Next-entries[0].Offset:], e.At)...)
	}
	return []Effect{Notice{Name: "no checkpoint in log", Fields: map[string]any{"oldest": entries[0].Offset}}}
}

func (s *State) restore(c record.Checkpoint, now time.Time) []Effect {
	restored, err := journal.Restore(c)
	if err != nil {
		return []Effect{Notice{Name: "bad checkpoint", Fields: map[string]any{"error": err.Error()}}}
	}
	s.journal = restored
	s.recent = nil
	s.rosterChanged(now)
	effects := []Effect{Notice{Name: "checkpoint restored", Fields: map[string]any{"next": c.Next}}}
	return append(effects, s.advance(now)...)
}

// applyAll takes the entries that follow the applied ones and leaves out those that are already applied.
func (s *State) applyAll(entries []azuretiller.Entry, now time.Time) []Effect {
	var effects []Effect
	roster := s.journal.RosterRevision()
	for _, entry := range entries {
		if entry.Offset != s.journal.Next() {
			continue
		}
		verdict, err := s.journal.Apply(entry)
		if err != nil {
			break
		}
		s.displace()
		s.remember(entry)
		effects = append(effects, s.judged(verdict)...)
	}
	if s.journal.RosterRevision() != roster {
		s.rosterChanged(now)
	}
	return append(effects, s.advance(now)...)
}

func (s *State) remember(entry azuretiller.Entry) {
	s.sinceMark++
	s.recent = append(s.recent, entry)
	if len(s.recent) > 2*recentEntries {
		s.recent = append(s.recent[:0:0], s.recent[len(s.recent)-recentEntries:]...)
	}
}

func (s *State) judged(v record.Verdict) []Effect {
	if v.Kind == (record.Checkpoint{}).Kind() {
		s.sinceMark = 0
		s.markBy = time.Time{}
		return nil
	}
	effects := []Effect{Notice{Name: "record applied", Fields: map[string]any{
		"id": v.ID, "kind": v.Kind, "offset": v.Offset, "accepted": v.Accepted, "reason": v.Reason,
	}}}
	if _, ok := s.pending[v.ID]; !ok {
		return effects
	}
	delete(s.pending, v.ID)
	if v.Accepted {
		s.unconfirmed = append(s.unconfirmed, v)
		return effects
	}
	return append(effects, Resolved{Verdict: v})
}

// advance notes the newest change after records were applied.
func (s *State) advance(now time.Time) []Effect {
	version := max(s.journal.Revision(), s.journal.RosterRevision())
	if applied, _ := s.settlement.Version(); version <= applied {
		return s.confirm()
	}
	var ids []azuretiller.VMID
	for _, vm := range s.journal.Members() {
		ids = append(ids, vm.ID)
	}
	s.settlement.Advance(version, ids, now)
	return s.confirm()
}

// confirm tells operators that their edits are accepted once most VMs have applied them, since until then
// those VMs could still hold the log to be out for all.
func (s *State) confirm() []Effect {
	if !s.settlement.Settled() {
		return nil
	}
	var effects []Effect
	for _, v := range s.unconfirmed {
		effects = append(effects, Resolved{Verdict: v})
	}
	s.unconfirmed = nil
	return effects
}

func (s *State) readFailed(e ReadFailed) []Effect {
	s.reading = false
	s.view.Failed(s.self.ID, e.Started)
	s.nextRead = e.At.Add(s.pause(4 * s.params.Poll))
	s.dirty = true
	if s.logFailing {
		return nil
	}
	s.logFailing = true
	return []Effect{Notice{Name: "log unreachable", Fields: map[string]any{"next": s.journal.Next()}}}
}

// pause spreads the reads of the VMs over time.
func (s *State) pause(base time.Duration) time.Duration {
	return base/2 + time.Duration(s.random.Int64N(int64(base)))
}

func (s *State) recordsFetched(e RecordsFetched) []Effect {
	s.fetching = false
	var effects []Effect
	if e.Checkpoint != nil && e.Checkpoint.Next > s.journal.Next() {
		effects = s.restore(*e.Checkpoint, e.At)
	}
	effects = append(effects, s.applyAll(e.Entries, e.At)...)
	s.completeThrough(e.Next, e.Age, e.Sent)
	return effects
}

// completeThrough counts a peer's view as this VM's own once this VM has applied as much.
func (s *State) completeThrough(next azuretiller.Offset, age time.Duration, sent time.Time) {
	if age < 0 || next > s.journal.Next() {
		return
	}
	s.ready = true
	s.view.Complete(sent.Add(-age))
	s.dirty = true
}
