package message

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
)

// TicketID numbers the attempts that a leader granted; it is unique within a term.
type TicketID uint64

// Envelope is one datagram; an answer carries the call of its question.
type Envelope struct {
	Call uint64
	Body any
}

// Beat is a VM's heartbeat to the leader.
type Beat struct {
	VM          azuretiller.VMID
	Incarnation azuretiller.Incarnation
	Zone        azuretiller.Zone
	// Callers and Addresses are the host:port of its listeners.
	Callers   string
	Addresses string
	Ready     bool
	Leaving   bool
	// Power is the processor time of the VM, in hundredths of a core.
	Power int
	Term  azuretiller.Term
	// View and Settings are the newest versions that the VM has.
	View     uint64
	Settings uint64
}

// BeatAnswer tells the newest term that the answering VM knows.
type BeatAnswer struct {
	Term azuretiller.Term
	// Leads means that the answering VM leads in the term.
	Leads    bool
	Leader   azuretiller.VMID
	Address  string
	Settings uint64
	// Resigned asks the VM to claim the next term.
	Resigned bool
	// Known means that later heartbeats may leave out what does not change while the VM runs.
	Known bool
}

// Poll asks a VM whether it is in touch with the leader of a term.
type Poll struct {
	Term azuretiller.Term
}

// Vote answers a Poll.
type Vote struct {
	Term    azuretiller.Term
	InTouch bool
	Leader  azuretiller.VMID
	Address string
}

// Ask wants a backend server for a request.
type Ask struct {
	Request    string
	Route      azuretiller.RouteID
	Team       azuretiller.TeamID
	Backends   []config.Backend
	Deadline   time.Duration
	Objective  time.Duration
	Priority   int
	Idempotent bool
	// Attempt counts from 1.
	Attempt     int
	Tried       []azuretiller.InstanceID
	Fingerprint uint64
	// Last is the report on the attempt before, if there is one.
	Last *Report
	Term azuretiller.Term
	// Hedge means that the attempt before still runs.
	Hedge bool
}

// Grant names the backend server for a request, or says why there is none.
type Grant struct {
	Ticket     TicketID
	Server     azuretiller.InstanceID
	Address    string
	Service    azuretiller.ServiceID
	Code       azuretiller.Code
	RetryAfter time.Duration
	// Waiting means that the request is queued; another grant follows.
	Waiting bool
	Term    azuretiller.Term
}

// Report tells the result of an attempt.
type Report struct {
	Ticket TicketID
	Result Result
	Took   time.Duration
	// Bytes is the size of the answer's body.
	Bytes int
	// Server is set in reports on attempts without a ticket.
	Server azuretiller.InstanceID
	Term   azuretiller.Term
}

// Seen answers a Report.
type Seen struct {
	Term azuretiller.Term
}

// View is what the leader tells all VMs.
type View struct {
	Term    azuretiller.Term
	Version uint64
	Members []Member
	Servers []Server
	// Relay asks the VM to pass the view on to the others of its zone.
	Relay bool
	// Part counts from 0 to Parts-1 in a view that is sent in several messages.
	Part  int
	Parts int
	// Base is the version that this view changes, or 0 if it is whole. What is in neither list of gone ones stays.
	Base        uint64
	GoneMembers []azuretiller.VMID
	GoneServers []azuretiller.InstanceID
}

// Member is one VM of the fleet.
type Member struct {
	VM      azuretiller.VMID
	Zone    azuretiller.Zone
	Callers string
	Peer    string
	Ready   bool
	Power   int
}

// Server is one backend server as VMs need to know it when no leader answers.
type Server struct {
	ID      azuretiller.InstanceID
	Service azuretiller.ServiceID
	Address string
	Zone    azuretiller.Zone
	Slots   int
	// Closed servers take no new work.
	Closed bool
	// Success is the chance in percent that a request is answered well.
	Success int
}
