package control

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/membership"
	"github.com/azuretiller/azuretiller/pkg/record"
)

// Event is an input of the reducer. At is the time at which the VM observed it.
type Event interface {
	at() time.Time
}

// Tick is a periodic event of the timer service.
type Tick struct {
	At time.Time
}

// EntriesRead is the answer of the log to a read that started at offset From. Oldest is the oldest offset that the log retains.
type EntriesRead struct {
	At time.Time
	// Started is when the read was sent. The answer holds every record that was in the log by then, up to the size limit.
	Started time.Time
	From    azuretiller.Offset
	Entries []azuretiller.LogEntry
	Oldest  azuretiller.Offset
}

// ReadFailed is a read of the log that timed out or returned an error.
type ReadFailed struct {
	At time.Time
	// Started is when the read was sent.
	Started time.Time
}

// Heartbeat is the content of a heartbeat: the state of the sender and what it knows about other VMs.
type Heartbeat struct {
	VM          azuretiller.VMID
	Incarnation azuretiller.Incarnation
	NextOffset  azuretiller.Offset
	// ViewAge is the time since the sender's view of the log was last complete, or negative if it never was.
	ViewAge     time.Duration
	Accusations []membership.Accusation
	// RosterRevision identifies the roster that the positions in AppliedBy and LogFailureAges refer to.
	RosterRevision azuretiller.Revision
	// Version is the revision of the newest change of the settings or the roster that the sender has applied. Settled is the
	// newest revision that the sender knows to be applied by a majority of the VMs.
	Version azuretiller.Revision
	Settled azuretiller.Revision
	// AppliedBy is a bitmap of the VMs that have applied Version, or nil once Version is settled.
	AppliedBy []byte
	// LogFailureAges holds the age of each VM's last failure to read the log, or is nil if there was no failure.
	LogFailureAges []byte
}

// HeartbeatReceived is a heartbeat that another VM sent to this one.
type HeartbeatReceived struct {
	At        time.Time
	Heartbeat Heartbeat
}

// HeartbeatAnswered is the answer to a heartbeat that this VM sent.
type HeartbeatAnswered struct {
	At time.Time
	// Sent is when the heartbeat was sent. The ages in the answer are counted from this time.
	Sent      time.Time
	Heartbeat Heartbeat
}

// IndirectProbeAnswered is the result of an indirect probe: another VM got an answer from a VM that this VM observes.
type IndirectProbeAnswered struct {
	At          time.Time
	VM          azuretiller.VMID
	Incarnation azuretiller.Incarnation
}

// RecordsFetched is the answer of a peer that was asked for records.
type RecordsFetched struct {
	At      time.Time
	Sent    time.Time
	Entries []azuretiller.LogEntry
	// Checkpoint is set if the peer no longer has the records.
	Checkpoint *record.Checkpoint
	// NextOffset is the offset of the first record that the peer has not applied. ViewAge is the time since its view of the log
	// was last complete, or negative if it never was.
	NextOffset azuretiller.Offset
	ViewAge    time.Duration
}

// Proposed is a request to append an operator's edit or a change of the roster.
type Proposed struct {
	At     time.Time
	Record record.Record
}

// Appended is the result of an append to the log. Failed means that the append timed out or returned an error.
type Appended struct {
	At     time.Time
	ID     string
	Offset azuretiller.Offset
	Failed bool
}

// LeaveBegun means that the shutdown of this VM has begun.
type LeaveBegun struct {
	At time.Time
}

func (e Tick) at() time.Time                  { return e.At }
func (e EntriesRead) at() time.Time           { return e.At }
func (e ReadFailed) at() time.Time            { return e.At }
func (e HeartbeatReceived) at() time.Time     { return e.At }
func (e HeartbeatAnswered) at() time.Time     { return e.At }
func (e IndirectProbeAnswered) at() time.Time { return e.At }
func (e RecordsFetched) at() time.Time        { return e.At }
func (e Proposed) at() time.Time              { return e.At }
func (e Appended) at() time.Time              { return e.At }
func (e LeaveBegun) at() time.Time            { return e.At }
