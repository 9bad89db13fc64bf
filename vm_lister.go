package azuretiller

import "context"

// VMLister reads the platform's list of VMs. The list may be out of date.
type VMLister interface {
	// ListVMs returns the VMs that the platform lists as live or leaving.
	ListVMs(ctx context.Context) ([]ListedVM, error)
}

// ListedVM is one row of the platform's VM list.
type ListedVM struct {
	ID      VMID
	Leaving bool
}
