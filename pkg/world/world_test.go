package world

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
)

func start() time.Time { return time.Unix(1_000_000, 0) }

func entryOf(id string, sequence int64) azuretiller.BackendServer {
	return azuretiller.BackendServer{
		ID: azuretiller.InstanceID(id), Service: "s", Address: id + ":80", Zone: "z", Slots: 3, Born: 1, Sequence: sequence,
	}
}

func put(servers ...azuretiller.BackendServer) []azuretiller.ServerChange {
	var changes []azuretiller.ServerChange
	for _, s := range servers {
		changes = append(changes, azuretiller.ServerChange{ID: s.ID, Server: s})
	}
	return changes
}

func gone(id azuretiller.InstanceID) azuretiller.ServerChange {
	return azuretiller.ServerChange{ID: id, Gone: true}
}

func rules() *config.Config {
	return config.Assemble(config.Parts{Services: []config.Service{{ID: "s", Warmup: 3 * time.Second, ColdRate: 7}}})
}

func (w *World) open(now time.Time) []string {
	ids := []string{}
	for _, s := range w.Desk(now, rules())["s"] {
		if !s.Closed {
			ids = append(ids, string(s.ID))
		}
	}
	return ids
}

func TestServersComeDrainAndGo(t *testing.T) {
	now := start()
	w := New()
	w.Servers(now, azuretiller.ServersPage{Whole: true, Next: 3, Changes: put(entryOf("a", 1), entryOf("b", 1))})
	assert.Equal(t, []string{"a", "b"}, w.open(now))
	leaving := entryOf("a", 2)
	leaving.Draining = true
	assert.True(t, w.Servers(now, azuretiller.ServersPage{Next: 4, Changes: put(leaving)}))
	assert.Equal(t, []string{"b"}, w.open(now))
	assert.False(t, w.Servers(now, azuretiller.ServersPage{Next: 5, Changes: put(entryOf("b", 2))}), "a heartbeat alone is no change")
	w.Servers(now, azuretiller.ServersPage{Next: 6, Changes: []azuretiller.ServerChange{gone("b")}})
	assert.Empty(t, w.open(now))
}

func TestOldEntriesAndOldPagesAreDropped(t *testing.T) {
	now := start()
	w := New()
	leaving := entryOf("a", 5)
	leaving.Draining = true
	w.Servers(now, azuretiller.ServersPage{Next: 9, Changes: put(leaving)})
	w.Servers(now, azuretiller.ServersPage{Next: 10, Changes: put(entryOf("a", 4))})
	assert.Empty(t, w.open(now), "an entry that is older than the newest one")
	w.Servers(now, azuretiller.ServersPage{Whole: true, Next: 8, Changes: put(entryOf("a", 9))})
	assert.Empty(t, w.open(now), "a page that is older than the newest one")
	reborn := entryOf("a", 1)
	reborn.Born = 2
	w.Servers(now, azuretiller.ServersPage{Next: 11, Changes: put(reborn)})
	assert.Equal(t, []string{"a"}, w.open(now), "a new start under the same id")
}

// TestEntriesThatLapsedInAnOutage replays an outage of the registry in which entries lapse although their servers live.
func TestEntriesThatLapsedInAnOutage(t *testing.T) {
	now := start()
	w := New()
	w.Servers(now, azuretiller.ServersPage{Next: 3, Changes: put(entryOf("a", 1), entryOf("b", 1))})
	now = now.Add(10 * time.Second)
	w.Back(now)
	w.Servers(now, azuretiller.ServersPage{Next: 5, Changes: []azuretiller.ServerChange{gone("a"), gone("b")}})
	assert.Equal(t, []string{"a", "b"}, w.open(now), "just after the outage")
	w.Servers(now.Add(time.Second), azuretiller.ServersPage{Next: 6, Changes: put(entryOf("a", 2))})
	assert.Equal(t, []string{"a"}, w.open(now.Add(returnTime)), "what has not come back is gone")
	w.Servers(now.Add(returnTime+time.Second), azuretiller.ServersPage{Next: 7, Changes: []azuretiller.ServerChange{gone("a")}})
	assert.Empty(t, w.open(now.Add(returnTime+time.Second)), "a removal later on counts at once")
}

func TestZonesOutAndBack(t *testing.T) {
	now := start()
	w := New()
	w.Servers(now, azuretiller.ServersPage{Next: 3, Changes: put(entryOf("a", 1))})
	w.Settings(now, azuretiller.SettingsPage{Next: 2, Changes: []azuretiller.SettingsChange{{Zone: "z", Out: true}}})
	assert.Empty(t, w.open(now))
	now = now.Add(5 * time.Second)
	w.Settings(now, azuretiller.SettingsPage{Whole: true, Next: 4})
	assert.Equal(t, []string{"a"}, w.open(now))
	server := w.Desk(now, rules())["s"][0]
	assert.Equal(t, now.Add(3*time.Second), server.ColdUntil, "servers of a zone that is back count as cold")
	assert.InDelta(t, 7, server.ColdRate, 0)
}

func TestNewestConfigurationOfAPage(t *testing.T) {
	w := New()
	page := azuretiller.SettingsPage{Next: 3, Changes: []azuretiller.SettingsChange{{Config: []byte("old")}, {Config: []byte("new")}}}
	assert.Equal(t, []byte("new"), w.Settings(start(), page))
	page.Next = 2
	assert.Nil(t, w.Settings(start(), page), "an older page")
}
