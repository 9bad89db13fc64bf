package leader

import (
	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// Effect is an action that the process carries out for the leader: a Send, a ReadLeader, a WriteRates, a CountCrossing, a CountRefusal, a LogLine,
// a ProbeVM, or one of the calls to the store about rollouts.
type Effect interface{ effect() }

// Send sends a message to a VM; To is its host:port.
type Send struct {
	To      string
	Message message.Envelope
}

// ReadLeader reads the leader record. If the record names the leader's term, the process calls ConfirmTerm.
type ReadLeader struct{}

// WriteRates writes the leader record again with the given shares of the rates, if the record names the leader's term. The process passes
// the result to RatesWritten.
type WriteRates struct{ Rates azuretiller.RateLedger }

// CountCrossing counts an attempt that was placed in another availability zone than its VM, by the reason that the scheduler gave.
type CountCrossing struct{ Reason string }

// CountRefusal counts a request that was refused since there is too little capacity, by the reason that the scheduler gave.
type CountRefusal struct{ Reason string }

// LogLine writes a log line.
type LogLine struct {
	Name   string
	Fields log.Fields
}

func (Send) effect()    {}
func (LogLine) effect() {}

func (ReadLeader) effect() {}
func (WriteRates) effect() {}

func (CountCrossing) effect() {}
func (CountRefusal) effect()  {}
