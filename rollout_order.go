package azuretiller

import "time"

// RolloutOrder is an operator's order to move a service to another version of its backend servers.
type RolloutOrder struct {
	Service ServiceID
	Target  Version
	// Duration is the time limit, counted from when the store acknowledged the order.
	Duration time.Duration
}
