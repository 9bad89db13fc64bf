package control

import (
	"math/rand/v2"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/freshness"
	"github.com/azuretiller/azuretiller/pkg/journal"
	"github.com/azuretiller/azuretiller/pkg/membership"
	"github.com/azuretiller/azuretiller/pkg/record"
	"github.com/azuretiller/azuretiller/pkg/settlement"
)

// State is the control state of one VM.
type State struct {
	self    azuretiller.VM
	params  Params
	random  *rand.Rand
	journal *journal.Journal
	// recent holds the last applied entries, for peers that are behind.
	recent  []azuretiller.Entry
	scan    []azuretiller.Entry
	view    *freshness.View
	monitor *membership.Monitor
	// settlement follows who has applied the newest change.
	settlement *settlement.Tracker
	// unconfirmed holds verdicts on accepted proposals of this VM until they are settled.
	unconfirmed []record.Verdict
	leaving     bool
	ready       bool

	reading    bool
	nextRead   time.Time
	nextSeed   time.Time
	logFailing bool
	nextBeat   time.Time
	fetching   bool
	fetchBy    time.Time
	pollers    []azuretiller.VMID
	downSince  map[azuretiller.VMID]time.Time
	pending    map[string]pending
	sequence   uint64
	joinBy     time.Time
	sinceMark  int
	markBy     time.Time
	dirty      bool
	placed     *placed
}

// pending is a proposal of this VM that has no verdict yet.
type pending struct {
	record    proposal
	settleAt  time.Time
	withdrawn bool
}

const (
	recentEntries = 1024
	joinRetry     = 3 * time.Second
	fetchTimeout  = 2 * time.Second
)

// New returns the state of a VM that has read nothing; the seed drives its random choices.
func New(self azuretiller.VM, params Params, seed uint64) *State {
	return &State{
		self:       self,
		params:     params,
		random:     rand.New(rand.NewPCG(seed, uint64(self.Incarnation))),
		journal:    journal.New(),
		view:       freshness.New(),
		monitor:    membership.New(self.ID, params.Membership),
		settlement: settlement.New(self.ID),
		downSince:  map[azuretiller.VMID]time.Time{},
		pending:    map[string]pending{},
	}
}

// Journal returns the state of the log as applied; only the control goroutine may use it.
func (s *State) Journal() *journal.Journal { return s.journal }

// EntriesFrom returns the applied entries from an offset on, and false when they are no longer held.
func (s *State) EntriesFrom(from azuretiller.Offset) ([]azuretiller.Entry, bool) {
	if from >= s.journal.Next() {
		return nil, true
	}
	if len(s.recent) == 0 || from < s.recent[0].Offset {
		return nil, false
	}
	return s.recent[from-s.recent[0].Offset:], true
}

// Age returns the time since the view was complete, or a negative time when it never was.
func (s *State) Age(now time.Time) time.Duration {
	at := s.view.CompleteAt()
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

// NewEdit returns a record for an operator's edit with an id of this VM.
func (s *State) NewEdit(base azuretiller.Revision, e record.Edit) record.Record {
	r := s.newRecord(e)
	r.Base = base
	return r
}

// WantsSeed reports whether this VM should ask its seeds for the state, at most once in a while.
func (s *State) WantsSeed(now time.Time) bool {
	if s.ready || now.Before(s.nextSeed) {
		return false
	}
	s.nextSeed = now.Add(fetchTimeout)
	return true
}
