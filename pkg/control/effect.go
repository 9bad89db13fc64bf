package control

import (
	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/record"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
)

// Effect is something that the reducer wants done.
type Effect interface {
	effect()
}

// Publish hands a new snapshot to traffic.
type Publish struct {
	Snapshot *snapshot.Snapshot
}

// Read asks the log for entries.
type Read struct {
	From azuretiller.Offset
	Most int
}

// SendBeat sends a heartbeat to a VM and waits for its answer.
type SendBeat struct {
	To   azuretiller.VM
	Beat Beat
}

// AskAround asks VMs whether they can hear another one.
type AskAround struct {
	About azuretiller.VM
	Via   []azuretiller.VM
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

// Resolved is the verdict on a proposal of this VM.
type Resolved struct {
	Verdict record.Verdict
}

// Notice is an event for the log of this process.
type Notice struct {
	Name   string
	Fields map[string]any
}

func (Publish) effect()   {}
func (Read) effect()      {}
func (SendBeat) effect()  {}
func (AskAround) effect() {}
func (Fetch) effect()     {}
func (Append) effect()    {}
func (Resolved) effect()  {}
func (Notice) effect()    {}
