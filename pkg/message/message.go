package message

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
)

// TicketID identifies an attempt that the leader placed on a backend server; it is unique within a term.
type TicketID uint64

// Envelope is the content of one datagram. A reply carries the call number of its request.
type Envelope struct {
	Call uint64
	Body any
}

// Heartbeat is a VM's heartbeat to the leader.
type Heartbeat struct {
	VM          azuretiller.VMID
	Incarnation azuretiller.Incarnation
	Zone        azuretiller.Zone
	// CallerAddress and ResolveAddress are the host:port of the VM's listeners for requests and for address lookups.
	CallerAddress  string
	ResolveAddress string
	Ready          bool
	Leaving        bool
	// CPUPercent is the CPU capacity of the VM, in hundredths of a core.
	CPUPercent int
	Term       azuretiller.Term
	// ViewVersion is the version of the VM's membership view, and ConfigRevision the revision of its configuration.
	ViewVersion    uint64
	ConfigRevision uint64
	// SentAt is when the heartbeat was sent, by a clock of the VM. Stamp is the newest stamp that the VM received from the leader of Term.
	SentAt time.Duration
	Stamp  time.Duration
	// Share is the share of the rates that the VM holds and pledges to the leader of Term.
	Share azuretiller.RateShare
	// Pledges are those to leaders of earlier terms, which may spend the share as well until they end.
	Pledges []Pledge
	// DrainedView is the newest version of the view for which no attempt of the VM runs on a server that it withdraws.
	DrainedView uint64
}

// Pledge is the promise of a VM not to spend its share of the rates, since the leader of a term does.
type Pledge struct {
	// Term is zero if the VM does not know to which leaders it gave pledges before it started.
	Term azuretiller.Term
	// Remaining is the time until the pledge ends.
	Remaining time.Duration
}

// HeartbeatResponse is the reply to a heartbeat. Term is the newest term that the replying VM knows.
type HeartbeatResponse struct {
	Term azuretiller.Term
	// IsLeader means that the replying VM is the leader of the term.
	IsLeader bool
	// Leader and LeaderAddress are the id and the host:port of the leader of the term.
	Leader         azuretiller.VMID
	LeaderAddress  string
	ConfigRevision uint64
	// LeaderResigned means that the leader has resigned; the receiving VM should claim the next term.
	LeaderResigned bool
	// StaticFieldsKnown means that later heartbeats may omit the fields that do not change while the VM runs.
	StaticFieldsKnown bool
	// Stamp is when the response was sent, by a clock of the leader, and SentAt that of the heartbeat. Both are zero, and so are the
	// fields below, if the message answers no heartbeat or its sender does not lead.
	Stamp  time.Duration
	SentAt time.Duration
	// Share is the share of the rates that the VM may hold. ShareRenewed means that the VM may hold it for the full time from SentAt on; if it
	// is false, the share of the VM can only become smaller.
	Share        azuretiller.RateShare
	ShareRenewed bool
	// ShareOffset is the sum of the shares of the VMs before this one in the order of their ids.
	ShareOffset azuretiller.RateShare
	// StrongerVMs is the number of VMs that could lead and have more CPU capacity than the recipient.
	StrongerVMs int
}

// HandOver passes the unspent tokens of the teams' rates from a leader that has stopped to its successor.
type HandOver struct {
	// Term is that of the leader that has stopped.
	Term   azuretiller.Term
	Tokens map[azuretiller.TeamID]azuretiller.Millitokens
}

// VoteRequest asks a VM whether it is in contact with the leader of a term.
type VoteRequest struct {
	Term azuretiller.Term
}

// Vote is the reply to a VoteRequest.
type Vote struct {
	Term azuretiller.Term
	// LeaderReachable means that the replying VM is in contact with the leader of this term or a later one, and that this
	// leader has not resigned.
	LeaderReachable bool
	// Leader and LeaderAddress are the id and the host:port of the leader that the replying VM follows.
	Leader        azuretiller.VMID
	LeaderAddress string
	// Share is the share of the rates that the replying VM may spend itself.
	Share azuretiller.RateShare
}

// PlaceRequest asks the leader for a backend server for one attempt of a caller's request.
type PlaceRequest struct {
	// Request is the id of the caller's request.
	Request  string
	Route    azuretiller.RouteID
	Team     azuretiller.TeamID
	Backends []config.Backend
	// Timeout is the time that remains until the deadline of the request, and SoftTimeout the time that remains of its target
	// latency.
	Timeout     time.Duration
	SoftTimeout time.Duration
	// Priority is 0 for the most urgent requests and larger for others.
	Priority   int
	Idempotent bool
	// Attempt counts from 1.
	Attempt int
	// Tried are the servers that must not get the attempt: those of earlier attempts, and those that asked this VM for no requests.
	Tried       []azuretiller.InstanceID
	Fingerprint uint64
	// LastReport is the report on the previous attempt, if there was one.
	LastReport *Report
	Term       azuretiller.Term
	// Hedge means that the previous attempt is still running.
	Hedge bool
}

// PlaceResponse is the reply to a PlaceRequest. It names the backend server for the attempt, or gives the code with which
// the request is refused.
type PlaceResponse struct {
	Ticket     TicketID
	Server     azuretiller.InstanceID
	Address    string
	Service    azuretiller.ServiceID
	Code       azuretiller.Code
	RetryAfter time.Duration
	// Queued means that the request is queued; another PlaceResponse follows.
	Queued bool
	Term   azuretiller.Term
	// Incarnation is that of the server's registry entry, zero if it is unknown.
	Incarnation int64
}

// Report tells the leader the result of an attempt.
type Report struct {
	Ticket TicketID
	Result Result
	Took   time.Duration
	// Bytes is the size of the bodies of the request and the response.
	Bytes int
	// Server is set only for attempts without a ticket, and if the server asked for no requests.
	Server azuretiller.InstanceID
	Term   azuretiller.Term
	// Leaving means that the server said that it is about to stop.
	Leaving bool
	// PauseFor is how long the server wants no requests from the reporting VM, zero if it did not say so.
	PauseFor time.Duration
	// Incarnation is that of the server, if it asked for no requests.
	Incarnation int64
}

// ReportAck acknowledges a Report.
type ReportAck struct {
	Term azuretiller.Term
}

// View is the membership view with the backend servers, which the leader sends to all VMs.
type View struct {
	Term    azuretiller.Term
	Version uint64
	Members []Member
	Servers []Server
	// Relay asks the receiving VM to forward the view to the other VMs of its zone.
	Relay bool
	// Part counts from 0 to Parts-1 in a view that is sent in several messages, as one datagram cannot hold it.
	Part  int
	Parts int
	// Base is the version that this view changes, or 0 for a full view. The entries of the base version that are neither
	// listed nor removed are unchanged. If it is Version, the receiving VM is asked to relay the full view of this version.
	Base           uint64
	RemovedMembers []azuretiller.VMID
	RemovedServers []azuretiller.InstanceID
}

// Member is one VM of the fleet.
type Member struct {
	VM   azuretiller.VMID
	Zone azuretiller.Zone
	// Callers and Peer are the host:port of the VM's listeners for requests and for traffic between VMs.
	Callers string
	Peer    string
	Ready   bool
	// Power is the CPU capacity of the VM, in hundredths of a core.
	Power int
}

// Server is what a VM needs to know about a backend server to place requests when no leader answers.
type Server struct {
	ID      azuretiller.InstanceID
	Service azuretiller.ServiceID
	Address string
	Zone    azuretiller.Zone
	Slots   int
	// Closed means that the server gets no new requests because it drains or is cold, because its availability zone is out of service, or
	// because of a rollout.
	Closed bool
	// Success is the probability, in percent, that a request succeeds.
	Success int
	// Incarnation is that of the server's registry entry, zero if it is unknown.
	Incarnation int64
	// Rollout restricts the use of the server because of a rollout of its service.
	Rollout RolloutUse
}
