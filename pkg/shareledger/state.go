package shareledger

import "github.com/azuretiller/azuretiller"

// State is the share of one VM, for dumps.
type State struct {
	VM    azuretiller.VMID
	Share azuretiller.RateShare
	// Leased means that the leader spends the share.
	Leased bool
}
