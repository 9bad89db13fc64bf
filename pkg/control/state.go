package control

import (
	"math/rand/v2"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/freshness"
	"github.com/azuretiller/azuretiller/pkg/logstate"
	"github.com/azuretiller/azuretiller/pkg/membership"
	"github.com/azuretiller/azuretiller/pkg/quorum"
	"github.com/azuretiller/azuretiller/pkg/record"
)

// State is the control state of one VM.
type State struct {
	self     azuretiller.VM
	params   Params
	random   *rand.Rand
	logState *logstate.State
	// entryCache holds the last applied entries, for peers that have applied fewer.
	entryCache []azuretiller.LogEntry
	// scanBuffer holds the entries read so far while this VM searches the log for a checkpoint.
	scanBuffer []azuretiller.LogEntry
	freshness  *freshness.Tracker
	monitor    *membership.Monitor
	// quorum tracks which VMs have applied the newest change.
	quorum *quorum.Tracker
	// unsettled holds verdicts on accepted proposals of this VM until a majority of the VMs has applied them.
	unsettled []record.Verdict
	leaving   bool
	ready     bool

	reading         bool
	nextRead        time.Time
	nextSeedRequest time.Time
	logUnreachable  bool
	nextHeartbeat   time.Time
	fetching        bool
	fetchDeadline   time.Time
	pollers         []azuretiller.VMID
	// downSince holds when each down VM went down, or when this VM last proposed its removal.
	downSince              map[azuretiller.VMID]time.Time
	pending                map[string]pendingProposal
	idSequence             uint64
	nextJoin               time.Time
	recordsSinceCheckpoint int
	nextCheckpoint         time.Time
	// dirty means that a new snapshot must be published.
	dirty   bool
	derived *derivedState
}

// pendingProposal is a proposal of this VM that has no verdict yet.
type pendingProposal struct {
	record     proposal
	withdrawAt time.Time
	withdrawn  bool
}

const (
	// entryCacheSize is the number of entries that are left when the cache is trimmed. It is trimmed at twice this size.
	entryCacheSize    = 1024
	joinRetryInterval = 3 * time.Second
	fetchTimeout      = 2 * time.Second
)

// New returns the state of a VM that has read no records yet. The seed initialises its random number generator.
func New(self azuretiller.VM, params Params, seed uint64) *State {
	return &State{
		self:      self,
		params:    params,
		random:    rand.New(rand.NewPCG(seed, uint64(self.Incarnation))),
		logState:  logstate.New(),
		freshness: freshness.New(),
		monitor:   membership.New(self.ID, params.Membership),
		quorum:    quorum.New(self.ID),
		downSince: map[azuretiller.VMID]time.Time{},
		pending:   map[string]pendingProposal{},
	}
}

// LogState returns the state that results from the applied records. Only the control goroutine may use it.
func (s *State) LogState() *logstate.State { return s.logState }

// EntriesFrom returns the applied entries from an offset on, and false if some of them are no longer cached.
func (s *State) EntriesFrom(from azuretiller.Offset) ([]azuretiller.LogEntry, bool) {
	if from >= s.logState.NextOffset() {
		return nil, true
	}
	if len(s.entryCache) == 0 || from < s.entryCache[0].Offset {
		return nil, false
	}
	return s.entryCache[from-s.entryCache[0].Offset:], true
}

// ViewAge returns the time since the view of the log was last complete, or a negative duration if it never was.
func (s *State) ViewAge(now time.Time) time.Duration {
	at := s.freshness.CompleteAt()
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

// NewEdit returns a record for an operator's edit, with an id that this VM generates.
func (s *State) NewEdit(base azuretiller.Revision, e record.Edit) record.Record {
	r := s.newRecord(e)
	r.Base = base
	return r
}

// ShouldAskSeeds reports whether this VM should ask its seeds for the state now. It returns true at most once per fetchTimeout.
func (s *State) ShouldAskSeeds(now time.Time) bool {
	if s.ready || now.Before(s.nextSeedRequest) {
		return false
	}
	s.nextSeedRequest = now.Add(fetchTimeout)
	return true
}
