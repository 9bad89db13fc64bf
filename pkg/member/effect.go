package member

import (
	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// Effect is an action that the process carries out for the member: a Send, a ReadLeader, a Claim, a BecomeLeader, a StepDown or
// a LogLine.
type Effect interface{ effect() }

// Send sends a message to a VM; To is its host:port.
type Send struct {
	To      string
	Message message.Envelope
}

// ReadLeader reads the leader record; the process passes the result to LeaderRead.
type ReadLeader struct{}

// Claim writes a leader record at a position, unless another record was written there first. The process passes the result to
// Claimed.
type Claim struct {
	At     azuretiller.Position
	Record azuretiller.LeaderRecord
}

// BecomeLeader makes this VM the leader of a term, which it claimed with the given shares of the rates.
type BecomeLeader struct {
	Term  azuretiller.Term
	Rates azuretiller.RateLedger
}

// StepDown ends the leadership of this VM; Newer is the term that replaces its own.
type StepDown struct{ Newer azuretiller.Term }

// LogLine writes a log line.
type LogLine struct {
	Name   string
	Fields log.Fields
}

func (Send) effect()         {}
func (ReadLeader) effect()   {}
func (Claim) effect()        {}
func (BecomeLeader) effect() {}
func (StepDown) effect()     {}
func (LogLine) effect()      {}

// appendLog returns the effects with a log line at the end.
func appendLog(effects []Effect, name string, fields log.Fields) []Effect {
	return append(effects, LogLine{Name: name, Fields: fields})
}

// heartbeatResponse returns a Send with a response that names the leader that this VM follows, or this VM if it leads.
func (m *Member) heartbeatResponse(call uint64, to string, isLeader bool) Effect {
	return Send{To: to, Message: message.Envelope{Call: call, Body: message.HeartbeatResponse{
		Term:          m.term,
		IsLeader:      isLeader,
		Leader:        m.leader,
		LeaderAddress: m.leaderAddress,
	}}}
}
