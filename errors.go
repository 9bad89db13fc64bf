package azuretiller

import "github.com/cockroachdb/errors"

// ErrClaimLost means that another leader record was written first.
var ErrClaimLost = errors.New("another VM claimed the term")

// ErrStoreRefused means that the platform's store turned a call away and did nothing.
var ErrStoreRefused = errors.New("the store refused the call")
