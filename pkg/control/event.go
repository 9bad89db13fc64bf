package control

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/membership"
	"github.com/azuretiller/azuretiller/pkg/record"
)

// Event is something that happened to the VM; At is when its effect on this VM counts.
type Event interface {
	at() time.Time
}

// Tick is the passing of time, from the timer service.
type Tick struct {
	At time.Time
}

// EntriesRead is the answer of the log to a read.
type EntriesRead struct {
	At time.Time
	// Started is when the read was sent; every record that was in the log by then is in the answer or beyond its size.
	Started time.Time
	From    azuretiller.Offset
	Entries []azuretiller.Entry
	Oldest  azuretiller.Offset
}

// ReadFailed is a read of the log without an answer.
type ReadFailed struct {
	At time.Time
	// Started is when the read was sent.
	Started time.Time
}

// Beat is what one VM tells another about itself and what it heard.
type Beat struct {
	VM          azuretiller.VMID
	Incarnation azuretiller.Incarnation
	Next        azuretiller.Offset
	// Age is the time since the sender's view was complete, and negative when it never was.
	Age         time.Duration
	Accusations []membership.Accusation
	// Roster is the revision of the roster that the positions in Known and Outages refer to.
	Roster azuretiller.Revision
	// Version is the newest change that the sender has applied, and Settled the newest that it knows to be settled.
	Version azuretiller.Revision
	Settled azuretiller.Revision
	// Known is the bitmap of the VMs that have applied Version; nil once it is settled.
	Known []byte
	// Outages are the ages of the VMs' last failures to read the log; nil when there is none.
	Outages []byte
}

// BeatReceived is a heartbeat that another VM sent to this one.
type BeatReceived struct {
	At   time.Time
	Beat Beat
}

// BeatAnswered is the answer to a heartbeat that this VM sent.
type BeatAnswered struct {
	At time.Time
	// Sent is when the heartbeat was sent; the answer's ages count from then.
	Sent time.Time
	Beat Beat
}

// Relayed is word that another VM heard a subject of this one.
type Relayed struct {
	At          time.Time
	VM          azuretiller.VMID
	Incarnation azuretiller.Incarnation
}

// RecordsFetched is the answer of a peer that was asked for records.
type RecordsFetched struct {
	At      time.Time
	Sent    time.Time
	Entries []azuretiller.Entry
	// Checkpoint is set when the peer no longer has the records.
	Checkpoint *record.Checkpoint
	// Next is the peer's position, and Age the time since its view was complete, negative when never.
	Next azuretiller.Offset
	Age  time.Duration
}

// Proposed is an operator's edit, or a change of the roster, to be appended.
type Proposed struct {
	At     time.Time
	Record record.Record
}

// Appended is the answer of the log to an append; Failed means that there was none, or an error.
type Appended struct {
	At     time.Time
	ID     string
	Offset azuretiller.Offset
	Failed bool
}

// LeaveBegun means that the VM was told to shut down.
type LeaveBegun struct {
	At time.Time
}

func (e Tick) at() time.Time           { return e.At }
func (e EntriesRead) at() time.Time    { return e.At }
func (e ReadFailed) at() time.Time     { return e.At }
func (e BeatReceived) at() time.Time   { return e.At }
func (e BeatAnswered) at() time.Time   { return e.At }
func (e Relayed) at() time.Time        { return e.At }
func (e RecordsFetched) at() time.Time { return e.At }
func (e Proposed) at() time.Time       { return e.At }
func (e Appended) at() time.Time       { return e.At }
func (e LeaveBegun) at() time.Time     { return e.At }
