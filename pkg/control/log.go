package control

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/leaseclock"
	"github.com/azuretiller/azuretiller/pkg/logstate"
	"github.com/azuretiller/azuretiller/pkg/record"
)

// read reads the log if this VM is a poller, is not in the roster yet, has proposals without a verdict, or has a view of the
// log that is older than FallbackAge.
func (s *State) read(now time.Time) []Effect {
	if s.reading || now.Before(s.nextRead) {
		return nil
	}
	_, member := s.logState.Member(s.self.ID)
	stale := leaseclock.Elapsed(now, s.freshness.CompleteAt()) >= s.params.FallbackAge
	if member && !s.isPoller() && !stale && len(s.pending) == 0 {
		return nil
	}
	s.reading = true
	return []Effect{Read{From: s.nextReadOffset(), MaxEntries: s.params.ReadSize}}
}

func (s *State) nextReadOffset() azuretiller.Offset {
	if len(s.scanBuffer) > 0 {
		return s.scanBuffer[len(s.scanBuffer)-1].Offset + 1
	}
	return s.logState.NextOffset()
}

func (s *State) entriesRead(e EntriesRead) []Effect {
	s.reading = false
	s.logUnreachable = false
	s.nextRead = e.At.Add(s.jitter(s.params.PollInterval))
	s.freshness.ClearFailure(s.self.ID)
	hasMore := len(e.Entries) >= s.params.ReadSize
	if hasMore {
		s.nextRead = e.At
	}
	var effects []Effect
	if len(s.scanBuffer) > 0 || s.hasGap(e) {
		effects = s.scanForCheckpoint(e, hasMore)
	} else {
		effects = s.applyAll(e.Entries, e.At)
	}
	if !hasMore && s.caughtUp(e) {
		s.freshness.MarkComplete(e.Started)
		s.ready = true
		s.dirty = true
	}
	return effects
}

// caughtUp reports whether all entries of an answer are applied. They are not if the log has dropped records and has no
// checkpoint that replaces them.
func (s *State) caughtUp(e EntriesRead) bool {
	if n := len(e.Entries); n > 0 {
		return s.logState.NextOffset() > e.Entries[n-1].Offset
	}
	return s.logState.NextOffset() >= e.Oldest
}

// hasGap reports whether the log has dropped records that this VM has not applied.
func (s *State) hasGap(e EntriesRead) bool {
	return e.Oldest > s.logState.NextOffset()
}

// scanForCheckpoint collects the entries that the log still has. At the end of the log, it restores the newest usable
// checkpoint and applies the entries after it.
func (s *State) scanForCheckpoint(e EntriesRead, hasMore bool) []Effect {
	s.scanBuffer = append(s.scanBuffer, e.Entries...)
	if hasMore || len(s.scanBuffer) == 0 {
		return nil
	}
	entries := s.scanBuffer
	s.scanBuffer = nil
	for i := len(entries) - 1; i >= 0; i-- {
		r, err := record.Decode(entries[i].Data)
		if err != nil {
			continue
		}
		c, ok := r.Body.(record.Checkpoint)
		if !ok || c.NextOffset < entries[0].Offset || c.NextOffset <= s.logState.NextOffset() {
			continue
		}
		effects := s.restore(c, e.At)
		return append(effects, s.applyAll(entries[c.NextOffset-entries[0].Offset:], e.At)...)
	}
	return []Effect{LogLine{Message: "no checkpoint in log", Fields: map[string]any{"oldest": entries[0].Offset}}}
}

func (s *State) restore(c record.Checkpoint, now time.Time) []Effect {
	restored, err := logstate.Restore(c)
	if err != nil {
		return []Effect{LogLine{Message: "bad checkpoint", Fields: map[string]any{"error": err.Error()}}}
	}
	s.logState = restored
	s.entryCache = nil
	s.rosterChanged(now)
	effects := []Effect{LogLine{Message: "checkpoint restored", Fields: map[string]any{"next": c.NextOffset}}}
	return append(effects, s.advanceQuorum(now)...)
}

// applyAll applies the entries that follow the applied ones and skips those that are already applied.
func (s *State) applyAll(entries []azuretiller.LogEntry, now time.Time) []Effect {
	var effects []Effect
	rosterRevision := s.logState.RosterRevision()
	for _, entry := range entries {
		if entry.Offset != s.logState.NextOffset() {
			continue
		}
		verdict, err := s.logState.Apply(entry)
		if err != nil {
			break
		}
		s.invalidateDerived()
		s.entryApplied(entry)
		effects = append(effects, s.verdictReached(verdict)...)
	}
	if s.logState.RosterRevision() != rosterRevision {
		s.rosterChanged(now)
	}
	return append(effects, s.advanceQuorum(now)...)
}

func (s *State) entryApplied(entry azuretiller.LogEntry) {
	s.recordsSinceCheckpoint++
	s.entryCache = append(s.entryCache, entry)
	if len(s.entryCache) > 2*entryCacheSize {
		s.entryCache = append(s.entryCache[:0:0], s.entryCache[len(s.entryCache)-entryCacheSize:]...)
	}
}

func (s *State) verdictReached(v record.Verdict) []Effect {
	if v.Kind == (record.Checkpoint{}).Kind() {
		s.recordsSinceCheckpoint = 0
		s.nextCheckpoint = time.Time{}
		return nil
	}
	effects := []Effect{LogLine{Message: "record applied", Fields: map[string]any{
		"id": v.ID, "kind": v.Kind, "offset": v.Offset, "accepted": v.Accepted, "reason": v.Reason,
	}}}
	if _, ok := s.pending[v.ID]; !ok {
		return effects
	}
	delete(s.pending, v.ID)
	if v.Accepted {
		s.unsettled = append(s.unsettled, v)
		return effects
	}
	return append(effects, ReportVerdict{Verdict: v})
}

// advanceQuorum passes the newest applied change to the quorum tracker.
func (s *State) advanceQuorum(now time.Time) []Effect {
	version := max(s.logState.Revision(), s.logState.RosterRevision())
	if applied, _ := s.quorum.Versions(); version <= applied {
		return s.reportSettled()
	}
	var ids []azuretiller.VMID
	for _, vm := range s.logState.Members() {
		ids = append(ids, vm.ID)
	}
	s.quorum.Advance(version, ids, now)
	return s.reportSettled()
}

// reportSettled reports the verdicts on accepted edits once a majority of the VMs has applied them. Until then, the VMs without
// the edit could be a majority that cannot read the log, and would go on acting on the old settings.
func (s *State) reportSettled() []Effect {
	if !s.quorum.Settled() {
		return nil
	}
	var effects []Effect
	for _, v := range s.unsettled {
		effects = append(effects, ReportVerdict{Verdict: v})
	}
	s.unsettled = nil
	return effects
}

func (s *State) readFailed(e ReadFailed) []Effect {
	s.reading = false
	s.freshness.RecordFailure(s.self.ID, e.Started)
	s.nextRead = e.At.Add(s.jitter(4 * s.params.PollInterval))
	s.dirty = true
	if s.logUnreachable {
		return nil
	}
	s.logUnreachable = true
	return []Effect{LogLine{Message: "log unreachable", Fields: map[string]any{"next": s.logState.NextOffset()}}}
}

// jitter returns a random duration between 50 % and 150 % of base, so that the VMs do not read the log at the same time.
func (s *State) jitter(base time.Duration) time.Duration {
	return base/2 + time.Duration(s.random.Int64N(int64(base)))
}

func (s *State) recordsFetched(e RecordsFetched) []Effect {
	s.fetching = false
	var effects []Effect
	if e.Checkpoint != nil && e.Checkpoint.NextOffset > s.logState.NextOffset() {
		effects = s.restore(*e.Checkpoint, e.At)
	}
	effects = append(effects, s.applyAll(e.Entries, e.At)...)
	s.adoptPeerView(e.NextOffset, e.ViewAge, e.Sent)
	return effects
}

// adoptPeerView takes over the age of a peer's view of the log if this VM has applied all records that the peer has applied.
func (s *State) adoptPeerView(next azuretiller.Offset, age time.Duration, sent time.Time) {
	if age < 0 || next > s.logState.NextOffset() {
		return
	}
	s.ready = true
	s.freshness.MarkComplete(sent.Add(-age))
	s.dirty = true
}
