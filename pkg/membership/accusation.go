package membership

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// Accusation is an observer's report that a VM does not answer its heartbeats. Age is the time since the observer last
// renewed the report.
type Accusation struct {
	VM          azuretiller.VMID
	Incarnation azuretiller.Incarnation
	Observer    azuretiller.VMID
	Age         time.Duration
}
