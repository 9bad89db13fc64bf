package registrycache

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
)

// TestServersMissingInCopyStayInUseAfterAnotherRecovery guards against the loss of running servers that have not registered again when the
// registry is unavailable or restored once more.
func TestServersMissingInCopyStayInUseAfterAnotherRecovery(t *testing.T) {
	const pause = 500 * time.Millisecond
	for name, recoverAgain := range map[string]func(cache *Cache, now time.Time){
		"a read that fails": func(cache *Cache, now time.Time) {
			cache.ReadFailed()
			cache.ApplyServers(now, azuretiller.ServersPage{Next: inEra(2, 1)})
		},
		"a restore": func(cache *Cache, now time.Time) {
			cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(3, 1)})
		},
	} {
		now := start()
		cache := New(heartbeat)
		cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(1, 9), Changes: changesOf(serverEntry("a", 4))})
		cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(2, 1)})
		now = now.Add(pause)
		recoverAgain(cache, now)
		assert.Equal(t, []string{"a"}, cache.openServers(now), name)
		assert.Equal(t, []string{"a"}, cache.openServers(start().Add(reregistrationTime-1)), name)
		assert.Empty(t, cache.openServers(now.Add(reregistrationTime)), name)
	}
}

// TestUnconfirmedServersStayClosedAfterAnotherCompletePage guards against requests to servers that left before a new leader read the copy, if
// it reads the same copied entries once more.
func TestUnconfirmedServersStayClosedAfterAnotherCompletePage(t *testing.T) {
	now := start()
	copied := changesOf(serverEntry("left", 4), serverEntry("stays", 4))
	cache := New(heartbeat)
	cache.Rewind(Former{Era: 1, InUse: map[azuretiller.InstanceID]bool{"stays": true}})
	cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(2, 3), Changes: copied})
	now = now.Add(500 * time.Millisecond)
	cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(3, 3), Changes: copied})
	assert.Equal(t, []string{"stays"}, cache.openServers(now))
	cache.ApplyServers(now, azuretiller.ServersPage{Next: inEra(3, 4), Changes: changesOf(serverEntry("left", 5))})
	assert.Equal(t, []string{"left", "stays"}, cache.openServers(now))
}
