package control

import (
	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/record"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
)

// Effect is an action that the reducer asks its caller to carry out.
type Effect interface {
	effect()
}

// Publish makes a new snapshot available to request handling.
type Publish struct {
	Snapshot *snapshot.Snapshot
}

// Read reads up to MaxEntries entries of the log from an offset on.
type Read struct {
	From       azuretiller.Offset
	MaxEntries int
}

// SendHeartbeat sends a heartbeat to a VM and waits for its answer.
type SendHeartbeat struct {
	To        azuretiller.VM
	Heartbeat Heartbeat
}

// ProbeIndirectly probes the VM Target indirectly: each VM in Via is asked to ping it.
type ProbeIndirectly struct {
	Target azuretiller.VM
	Via    []azuretiller.VM
}

// Fetch asks a peer for the records from an offset on.
type Fetch struct {
	Peer azuretiller.VM
	From azuretiller.Offset
}

// Append adds a record to the log.
type Append struct {
	Record record.Record
}

// ReportVerdict reports the verdict on a proposal of this VM.
type ReportVerdict struct {
	Verdict record.Verdict
}

// LogLine writes a message to the log of this process, not to the platform's log.
type LogLine struct {
	Message string
	Fields  map[string]any
}

func (Publish) effect()         {}
func (Read) effect()            {}
func (SendHeartbeat) effect()   {}
func (ProbeIndirectly) effect() {}
func (Fetch) effect()           {}
func (Append) effect()          {}
func (ReportVerdict) effect()   {}
func (LogLine) effect()         {}
