package rollout

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// Outcome is the result of one attempt on a server of either version.
type Outcome struct {
	Route azuretiller.RouteID
	// Server is the server that got the attempt, and OnTarget says whether it has the target version.
	Server   azuretiller.InstanceID
	OnTarget bool
	Result   message.Result
	// Took is the time from sending the request to the end of the response.
	Took time.Duration
}

// Server is a backend server to which attempts may go: it is registered, and neither draining nor leaving.
type Server struct {
	ID    azuretiller.InstanceID
	Slots int
	// Cold servers get attempts only if no other server of the target version is left.
	Cold bool
}

// Servers are the servers of a service, as passed to Controller.Tick.
type Servers struct {
	Old, Target []Server
	// OldInUse means that an attempt may still run on an old server, or that a VM may still send requests to one.
	OldInUse bool
}

// Effect is an action that the caller of Controller.Tick takes: StoreProgress or LogLine.
type Effect interface{ effect() }

// StoreProgress writes the progress to the store. Its result is passed to Controller.Stored.
type StoreProgress struct{ Progress azuretiller.RolloutProgress }

// LogLine writes a line to the log.
type LogLine struct {
	Name   string
	Fields map[string]any
}

func (StoreProgress) effect() {}
func (LogLine) effect()       {}

// Phase is the part of a rollout in which the Controller is.
type Phase int

// The phases of a rollout.
const (
	// Trial means that old servers are in use and that Controller.Expose admits attempts on target servers.
	Trial Phase = iota + 1
	// Cutover means that target servers get all new attempts and that attempts on old servers may still run.
	Cutover
	// Completed means that only target servers are in use.
	Completed
	// Reverted means that only old servers are in use.
	Reverted
)

// String returns the name of the phase.
func (p Phase) String() string {
	switch p {
	case Trial:
		return "trial"
	case Cutover:
		return "cutover"
	case Completed:
		return "completed"
	case Reverted:
		return "reverted"
	default:
		return "none"
	}
}

// Status describes a rollout for dumps and metrics.
type Status struct {
	Phase    Phase
	Progress azuretiller.RolloutProgress
	// Used is the number of attempts on target servers that this Controller admitted.
	Used int
	// TimeLeft is the time to the time limit.
	TimeLeft time.Duration
	// LogOdds is the natural logarithm of the odds that the target version is bad.
	LogOdds float64
	// Reason says why the rollout was reverted or is not decided yet.
	Reason string
}
