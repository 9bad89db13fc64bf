package registrycache

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
)

// heartbeat is the interval of the servers' heartbeats.
const heartbeat = 1500 * time.Millisecond

func start() time.Time { return time.Unix(1_000_000, 0) }

func at(offset azuretiller.Offset) azuretiller.Position { return azuretiller.Position{Offset: offset} }

func inEra(era azuretiller.Era, offset azuretiller.Offset) azuretiller.Position {
	return azuretiller.Position{Era: era, Offset: offset}
}

func serverEntry(id string, sequence int64) azuretiller.BackendServer {
	return azuretiller.BackendServer{
		ID: azuretiller.InstanceID(id), Service: "s", Address: id + ":80", Zone: "z", Slots: 3, Incarnation: 1, Sequence: sequence,
	}
}

func changesOf(servers ...azuretiller.BackendServer) []azuretiller.ServerChange {
	var changes []azuretiller.ServerChange
	for _, s := range servers {
		changes = append(changes, azuretiller.ServerChange{ID: s.ID, Server: s})
	}
	return changes
}

func removal(id azuretiller.InstanceID) azuretiller.ServerChange {
	return azuretiller.ServerChange{ID: id, Removed: true}
}

func testConfig() *config.Config {
	return config.Assemble(config.Parts{Services: []config.Service{{ID: "s", Warmup: 3 * time.Second, ColdRate: 7}}})
}

func (rc *Cache) openServers(now time.Time) []string {
	ids := []string{}
	for _, s := range rc.ServersByService(now, testConfig())["s"] {
		if !s.Closed {
			ids = append(ids, string(s.ID))
		}
	}
	return ids
}

func TestServersAreAddedDrainedAndRemoved(t *testing.T) {
	now := start()
	cache := New(heartbeat)
	cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: at(3), Changes: changesOf(serverEntry("a", 1), serverEntry("b", 1))})
	assert.Equal(t, []string{"a", "b"}, cache.openServers(now))
	draining := serverEntry("a", 2)
	draining.Draining = true
	assert.True(t, cache.ApplyServers(now, azuretiller.ServersPage{Next: at(4), Changes: changesOf(draining)}))
	assert.Equal(t, []string{"b"}, cache.openServers(now))
	assert.False(t, cache.ApplyServers(now, azuretiller.ServersPage{Next: at(5), Changes: changesOf(serverEntry("b", 2))}), "a heartbeat alone does not count as a change")
	cache.ApplyServers(now, azuretiller.ServersPage{Next: at(6), Changes: []azuretiller.ServerChange{removal("b")}})
	assert.Empty(t, cache.openServers(now))
}

func TestStaleEntriesAndPagesAreIgnored(t *testing.T) {
	now := start()
	cache := New(heartbeat)
	draining := serverEntry("a", 5)
	draining.Draining = true
	cache.ApplyServers(now, azuretiller.ServersPage{Next: at(9), Changes: changesOf(draining)})
	cache.ApplyServers(now, azuretiller.ServersPage{Next: at(10), Changes: changesOf(serverEntry("a", 4))})
	assert.Empty(t, cache.openServers(now), "an entry older than the newest one is ignored")
	cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: at(8), Changes: changesOf(serverEntry("a", 9))})
	assert.Empty(t, cache.openServers(now), "a page older than the newest one is ignored")
	restarted := serverEntry("a", 1)
	restarted.Incarnation = 2
	cache.ApplyServers(now, azuretiller.ServersPage{Next: at(11), Changes: changesOf(restarted)})
	assert.Equal(t, []string{"a"}, cache.openServers(now), "a restarted server with the same id replaces the old one")
}

// TestServersOutliveEntriesThatExpireInAnOutage guards against the loss of running servers whose entries expire during a registry
// outage.
func TestServersOutliveEntriesThatExpireInAnOutage(t *testing.T) {
	now := start()
	cache := New(heartbeat)
	cache.ApplyServers(now, azuretiller.ServersPage{Next: at(3), Changes: changesOf(serverEntry("a", 1), serverEntry("b", 1))})
	now = now.Add(10 * time.Second)
	cache.ReadFailed()
	cache.ApplyServers(now, azuretiller.ServersPage{Next: at(5), Changes: []azuretiller.ServerChange{removal("a"), removal("b")}})
	assert.Equal(t, []string{"a", "b"}, cache.openServers(now), "just after the outage the servers count as existing")
	cache.ApplyServers(now.Add(time.Second), azuretiller.ServersPage{Next: at(6), Changes: changesOf(serverEntry("a", 2))})
	assert.Equal(t, []string{"a"}, cache.openServers(now.Add(reregistrationTime)), "a server that has not registered again in time counts as removed")
	cache.ApplyServers(now.Add(reregistrationTime+time.Second), azuretiller.ServersPage{Next: at(7), Changes: []azuretiller.ServerChange{removal("a")}})
	assert.Empty(t, cache.openServers(now.Add(reregistrationTime+time.Second)), "a removal later than reregistrationTime after the outage takes effect at once")
}

func TestZoneIsClosedWhileOutOfServiceAndColdOnReturn(t *testing.T) {
	now := start()
	cache := New(heartbeat)
	cache.ApplyServers(now, azuretiller.ServersPage{Next: at(3), Changes: changesOf(serverEntry("a", 1))})
	cache.ApplySettings(now, azuretiller.SettingsPage{Next: at(2), Changes: []azuretiller.SettingsChange{{Zone: "z", ZoneOutOfService: true}}})
	assert.Empty(t, cache.openServers(now))
	now = now.Add(5 * time.Second)
	cache.ApplySettings(now, azuretiller.SettingsPage{Complete: true, Next: at(4)})
	assert.Equal(t, []string{"a"}, cache.openServers(now))
	server := cache.ServersByService(now, testConfig())["s"][0]
	assert.Equal(t, now.Add(3*time.Second), server.ColdUntil, "servers of a zone that is put back into service count as cold")
	assert.InDelta(t, 7, server.ColdRate, 0)
}

func TestNewestConfigurationOfAPageIsReturned(t *testing.T) {
	cache := New(heartbeat)
	page := azuretiller.SettingsPage{Next: at(3), Changes: []azuretiller.SettingsChange{{Config: []byte("old")}, {Config: []byte("new")}}}
	assert.Equal(t, []byte("new"), cache.ApplySettings(start(), page))
	page.Next = at(2)
	assert.Nil(t, cache.ApplySettings(start(), page), "an older page is ignored")
}
