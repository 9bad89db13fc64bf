package poolhome

import (
	"context"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/crash"
)

// Peers are the homes on other VMs.
type Peers interface {
	// ReportCrash passes on that a server crashed while it ran a request. It returns once the others know, or after a
	// short while, so that the request cannot come back to one that does not know.
	ReportCrash(service azuretiller.ServiceID, f crash.Fingerprint, server azuretiller.ServerID)
	// Handover asks a VM for a pool that this VM decides for since a version; the context must have a deadline.
	Handover(ctx context.Context, from azuretiller.VM, id azuretiller.PoolID, version azuretiller.Revision) (Handover, error)
}
