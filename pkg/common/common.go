package common

import (
	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/azuretiller/azuretiller"
)

// Common is passed into the constructors of the parts of a process.
type Common struct {
	Log     log.Interface
	Clock   azuretiller.Clock
	Metrics tally.Scope
}
