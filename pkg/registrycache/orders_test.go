package registrycache

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
)

func orderChange(service azuretiller.ServiceID, target azuretiller.Version, at azuretiller.Position) azuretiller.SettingsChange {
	order := azuretiller.RecordedOrder{RolloutOrder: azuretiller.RolloutOrder{Service: service, Target: target, Duration: time.Second}, At: at}
	return azuretiller.SettingsChange{Rollout: &azuretiller.RolloutChange{Service: service, Order: order}}
}

func (rc *Cache) targets(now time.Time) map[azuretiller.ServiceID]azuretiller.Version {
	targets := map[azuretiller.ServiceID]azuretiller.Version{}
	for id, order := range rc.Orders(now) {
		targets[id] = order.Target
	}
	return targets
}

// TestOrdersFollowChanges guards against an order that stays in force after it was replaced, deleted or made invalid.
func TestOrdersFollowChanges(t *testing.T) {
	cache := New(time.Second)
	now := time.Unix(1_000_000, 0)
	at := func(offset azuretiller.Offset) azuretiller.Position {
		return azuretiller.Position{Era: 1, Offset: offset}
	}
	apply := func(complete bool, next azuretiller.Offset, changes ...azuretiller.SettingsChange) {
		cache.ApplySettings(now, azuretiller.SettingsPage{Complete: complete, Next: at(next), Changes: changes})
	}
	apply(true, 5, orderChange("a", "v2", at(3)), orderChange("b", "v2", at(4)))
	assert.Equal(t, map[azuretiller.ServiceID]azuretiller.Version{"a": "v2", "b": "v2"}, cache.targets(now))
	apply(false, 6, orderChange("a", "v3", at(5)))
	assert.Equal(t, map[azuretiller.ServiceID]azuretiller.Version{"a": "v3", "b": "v2"}, cache.targets(now))
	assert.Equal(t, at(5), cache.Orders(now)["a"].At)
	apply(false, 7, azuretiller.SettingsChange{Rollout: &azuretiller.RolloutChange{Service: "a", Removed: true, Invalid: errors.New("invalid")}})
	assert.Equal(t, map[azuretiller.ServiceID]azuretiller.Version{"b": "v2"}, cache.targets(now))
	apply(false, 8, azuretiller.SettingsChange{Rollout: &azuretiller.RolloutChange{Service: "b", Removed: true}})
	assert.Empty(t, cache.targets(now))
	apply(true, 9, orderChange("c", "v2", at(8)))
	apply(true, 10)
	assert.Empty(t, cache.targets(now), "a complete page lacks the order")
}

// TestOrdersOutliveRestore guards against an order that is reverted because the copy from which the store came back lacks it, and against an old
// order of the copy that is carried out again.
func TestOrdersOutliveRestore(t *testing.T) {
	cache := New(time.Second)
	now := time.Unix(1_000_000, 0)
	at := func(era azuretiller.Era, offset azuretiller.Offset) azuretiller.Position {
		return azuretiller.Position{Era: era, Offset: offset}
	}
	cache.ApplySettings(now, azuretiller.SettingsPage{Complete: true, Next: at(1, 9), Changes: []azuretiller.SettingsChange{
		orderChange("a", "v3", at(1, 7)), orderChange("b", "v2", at(1, 8)),
	}})
	cache.ApplySettings(now, azuretiller.SettingsPage{Complete: true, Next: at(2, 4), Changes: []azuretiller.SettingsChange{orderChange("a", "v2", at(2, 3))}})
	assert.Equal(t, map[azuretiller.ServiceID]azuretiller.Version{"a": "v3", "b": "v2"}, cache.targets(now))
	cache.ApplySettings(now, azuretiller.SettingsPage{Next: at(2, 5), Changes: []azuretiller.SettingsChange{orderChange("a", "v3", at(2, 4))}})
	assert.Equal(t, at(2, 4), cache.Orders(now)["a"].At, "the order was written again")
	assert.Equal(t, map[azuretiller.ServiceID]azuretiller.Version{"a": "v3"}, cache.targets(now.Add(orderHold)), "the other order was not written again in time")
}
