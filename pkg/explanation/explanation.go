package explanation

import "github.com/azuretiller/azuretiller"

const (
	// Path is the path at which VMs serve explanations to operators, on their listener for other VMs.
	Path = "/explain"
	// MaxRequestBytes bounds the body of a request for an explanation.
	MaxRequestBytes = 16 << 10
	// MaxAnswerBytes bounds an explanation. MaxServices services with MaxServers servers each take less.
	MaxAnswerBytes = 1 << 20
	// MaxServices is the number of services that an explanation lists.
	MaxServices = 8
	// MaxServers is the number of servers of each service that an explanation lists.
	MaxServers = 32
)

// Request describes the caller's request that is to be explained.
type Request struct {
	Host   string `json:"host"`
	Path   string `json:"path"`
	Method string `json:"method"`
	// Key is the caller's API key. It must not occur in URLs, log lines and answers.
	Key string `json:"key,omitempty"`
	// Zone is the availability zone of the VM that the caller uses, the zone of the asked VM if empty.
	Zone azuretiller.Zone `json:"zone,omitempty"`
}

// Answer says what would happen to a request now.
type Answer struct {
	VM      azuretiller.VMID `json:"vm"`
	Zone    azuretiller.Zone `json:"zone"`
	Version string           `json:"version"`
	Leaving bool             `json:"leaving"`
	// Leader is the host:port of the leader, empty if the VM has none. Leading means that the VM itself is the leader.
	Leader  string           `json:"leader"`
	Leading bool             `json:"leading"`
	Term    azuretiller.Term `json:"term"`

	Route      azuretiller.RouteID `json:"route"`
	Prefix     string              `json:"prefix"`
	Team       azuretiller.TeamID  `json:"team"`
	Key        string              `json:"key"`
	TimeoutMS  int64               `json:"timeout_ms"`
	TargetMS   int64               `json:"target_ms"`
	Priority   int                 `json:"priority"`
	Idempotent bool                `json:"idempotent"`
	Backends   []Backend           `json:"backends"`

	// DecidedBy is "vm" if the VM refuses the request itself, "leader", or "vm without leader".
	DecidedBy string `json:"decided_by"`
	// LeaderError says why the leader did not answer.
	LeaderError string    `json:"leader_error,omitempty"`
	Tokens      *Tokens   `json:"tokens,omitempty"`
	Services    []Service `json:"services"`
	// OmittedServices is the number of services that exceed MaxServices.
	OmittedServices int `json:"omitted_services,omitempty"`
	Result
}

// Backend is a service of the route with its weight.
type Backend struct {
	Service azuretiller.ServiceID `json:"service"`
	Weight  int                   `json:"weight"`
}

// Tokens are the tokens of the team's rate that are available now.
type Tokens struct {
	// Limited is false if the team has no rate.
	Limited   bool    `json:"limited"`
	Available float64 `json:"available"`
	PerSecond float64 `json:"per_second"`
	// Share is the share of the rates that the decider may spend.
	Share float64 `json:"share"`
}

// Result is what would happen to the request, or to a request for one of the route's services.
type Result struct {
	// Outcome is "placed", "waits" or "refused".
	Outcome string                 `json:"outcome"`
	Service azuretiller.ServiceID  `json:"service,omitempty"`
	Server  azuretiller.InstanceID `json:"server,omitempty"`
	Code    azuretiller.Code       `json:"code"`
	// RetryAfterMS belongs to a refusal. WaitMS is the expected wait, and MaxWaitMS the longest one.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	WaitMS       int64  `json:"wait_ms,omitempty"`
	MaxWaitMS    int64  `json:"max_wait_ms,omitempty"`
	Reason       string `json:"reason"`
}

// The outcomes of a request.
const (
	Placed  = "placed"
	Waits   = "waits"
	Refused = "refused"
)

// Service explains the placement of a request for one service.
type Service struct {
	ID      azuretiller.ServiceID `json:"id"`
	Waiting int                   `json:"waiting"`
	Running int                   `json:"running"`
	// Retries is the remaining retry budget as a fraction of its capacity, nil without a leader.
	Retries *float64 `json:"retries,omitempty"`
	// Servers are ordered by their score, the highest first. OmittedServers is the number of those that exceed MaxServers.
	Servers        []Server `json:"servers"`
	OmittedServers int      `json:"omitted_servers,omitempty"`
	Result         Result   `json:"result"`
}

// Server is a candidate for a request.
type Server struct {
	ID    azuretiller.InstanceID `json:"id"`
	Zone  azuretiller.Zone       `json:"zone"`
	Busy  int                    `json:"busy"`
	Slots int                    `json:"slots"`
	// State lists what holds requests back or limits them, such as "closed".
	State []string `json:"state,omitempty"`
	// Success is the probability that the server serves the request.
	Success float64 `json:"success"`
	Score   float64 `json:"score"`
	// Parts add up to Score.
	Parts    []Part `json:"parts,omitempty"`
	Eligible bool   `json:"eligible"`
}

// Part is what one property of a server contributes to its score.
type Part struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}
