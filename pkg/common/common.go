package common

import (
	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"github.com/azuretiller/azuretiller"
)

// Common holds the logger, the clock and the metrics scope that are passed to the constructors of a process's components.
type Common struct {
	Log     log.Interface
	Clock   azuretiller.Clock
	Metrics tally.Scope
}
