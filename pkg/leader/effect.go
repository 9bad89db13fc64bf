package leader

import (
	"github.com/apex/log"

	"github.com/azuretiller/azuretiller/pkg/message"
)

// Effect is something the process has to do for the leader: a Send or a Note.
type Effect interface{ effect() }

// Send sends a message to the host:port of a VM.
type Send struct {
	To      string
	Message message.Envelope
}

// Confirm reads the leader record; the answer goes to Confirmed.
type Confirm struct{}

// Note writes a log line.
type Note struct {
	Name   string
	Fields log.Fields
}

func (Send) effect() {}
func (Note) effect() {}

func (Confirm) effect() {}
