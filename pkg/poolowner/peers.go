package poolowner

import (
	"context"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/crash"
)

// Peers sends messages to the other VMs.
type Peers interface {
	// ReportCrash tells the owners of the other pools of a service that a server crashed while it ran a request. It
	// waits until they have received the report, or for a short timeout. Otherwise a retry of the request could reach
	// an owner that does not know of the crash yet.
	ReportCrash(service azuretiller.ServiceID, f crash.Fingerprint, server azuretiller.ServerID)
	// Handover requests a pool from its former owner; this VM owns the pool as of the given version of the view. The
	// context must have a deadline.
	Handover(ctx context.Context, from azuretiller.VM, id azuretiller.PoolID, version azuretiller.Revision) (HandoverResponse, error)
}
