package membership

import (
	"time"

	"github.com/azuretiller/azuretiller"
)

// Accusation says that an observer has not heard a VM; Age is the time since the observer last said so.
type Accusation struct {
	VM          azuretiller.VMID
	Incarnation azuretiller.Incarnation
	Observer    azuretiller.VMID
	Age         time.Duration
}
