package registrycache

import (
	"maps"
	"time"

	"github.com/azuretiller/azuretiller"
)

// orderHold is how long the order of a service that was known before a restore stays in force although the copy lacks it or holds another one,
// unless the operator's record is written again before.
const orderHold = 5 * time.Second

// orders are the orders for rollouts, by service.
type orders struct {
	// recorded are those that were read last.
	recorded map[azuretiller.ServiceID]azuretiller.RecordedOrder
	// held are those known from before the last restore, and heldUntil when the last hold ends.
	held      map[azuretiller.ServiceID]azuretiller.RecordedOrder
	heldUntil time.Time
}

func newOrders() orders {
	return orders{recorded: map[azuretiller.ServiceID]azuretiller.RecordedOrder{}, held: map[azuretiller.ServiceID]azuretiller.RecordedOrder{}}
}

// apply applies the changes of a page.
func (o *orders) apply(now time.Time, page azuretiller.SettingsPage, from zoneSource) {
	if from == fromCopy {
		o.held, o.heldUntil = o.current(now), now.Add(orderHold)
	}
	if page.Complete {
		o.recorded = map[azuretiller.ServiceID]azuretiller.RecordedOrder{}
	}
	for _, c := range page.Changes {
		switch {
		case c.Rollout == nil:
			continue
		case c.Rollout.Removed:
			delete(o.recorded, c.Rollout.Service)
		default:
			o.recorded[c.Rollout.Service] = c.Rollout.Order
		}
		if from == fromChange {
			delete(o.held, c.Rollout.Service)
		}
	}
}

// current returns the orders in force.
func (o *orders) current(now time.Time) map[azuretiller.ServiceID]azuretiller.RecordedOrder {
	current := maps.Clone(o.recorded)
	if now.Before(o.heldUntil) {
		maps.Copy(current, o.held)
	}
	return current
}

// Orders returns the orders for rollouts by service.
func (rc *Cache) Orders(now time.Time) map[azuretiller.ServiceID]azuretiller.RecordedOrder {
	return rc.orders.current(now)
}
