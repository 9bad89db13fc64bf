package azuretiller

import "maps"

// RateLedger records which VMs hold which shares of the rates. The shares add up to WholeRate at most.
type RateLedger struct {
	Shares map[VMID]RateShare
	// Former are the leaders of earlier terms that may not have stopped yet.
	Former []FormerLeader
	// ToleranceTerm is the term whose leader may have used the tolerance for exceeding the rates within the last window, or 0.
	ToleranceTerm Term
}

// FormerLeader is the VM that led in an earlier term.
type FormerLeader struct {
	Term Term
	VM   VMID
}

// Total returns the sum of the shares.
func (l RateLedger) Total() RateShare {
	total := RateShare(0)
	for share := range maps.Values(l.Shares) {
		total += share
	}
	return total
}
