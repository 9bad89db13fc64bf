package explanation

import (
	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
)

const (
	// LeaderPath is the path at which the leader serves explanations to other VMs.
	LeaderPath = "/explain/placement"
	// MaxPlacementRequestBytes bounds the body of a PlacementRequest, which lists up to 64 servers of each service that ask for no requests.
	MaxPlacementRequestBytes = 64 << 10
)

// PlacementRequest is what a VM tells the leader about the request. It contains the team and not the key.
type PlacementRequest struct {
	// From is the host:port of the VM that asks.
	From       string                   `json:"from"`
	Zone       azuretiller.Zone         `json:"zone"`
	Team       azuretiller.TeamID       `json:"team"`
	Route      azuretiller.RouteID      `json:"route"`
	Backends   []config.Backend         `json:"backends"`
	Priority   int                      `json:"priority"`
	Idempotent bool                     `json:"idempotent"`
	TimeoutMS  int64                    `json:"timeout_ms"`
	TargetMS   int64                    `json:"target_ms"`
	Blocked    []azuretiller.InstanceID `json:"blocked,omitempty"`
}

// Placement is the part of an Answer that depends on the shared state of the fleet.
type Placement struct {
	Term            azuretiller.Term `json:"term"`
	Tokens          *Tokens          `json:"tokens,omitempty"`
	Services        []Service        `json:"services"`
	OmittedServices int              `json:"omitted_services,omitempty"`
	Result          Result           `json:"result"`
}
