package azuretiller

import "github.com/cockroachdb/errors"

// ErrClaimLost is returned by Registry.ClaimLeader if another leader record was written first or the store is in another era.
var ErrClaimLost = errors.New("another VM claimed the term")

// ErrStoreRefused means that the platform's store rejected a call without executing it.
var ErrStoreRefused = errors.New("the store refused the call")
