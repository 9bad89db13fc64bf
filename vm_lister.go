package azuretiller

import "context"

// VMLister is the platform's list of live and leaving VMs, which lags behind the truth.
type VMLister interface {
	// ListVMs returns the VMs the platform believes to be live or leaving.
	ListVMs(ctx context.Context) ([]ListedVM, error)
}

// ListedVM is one row of the platform's VM list.
type ListedVM struct {
	ID      VMID
	Leaving bool
}
