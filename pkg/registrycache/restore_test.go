package registrycache

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
)

// TestNewLeaderDoesNotUseServersThatLeft guards against requests to servers that left before a new leader reads the copy, in which they are
// ready. The view of the former leader does not contain them.
func TestNewLeaderDoesNotUseServersThatLeft(t *testing.T) {
	now := start()
	copied := azuretiller.ServersPage{Complete: true, Next: inEra(2, 3), Changes: changesOf(serverEntry("left", 4), serverEntry("stays", 4), serverEntry("joined", 4))}
	former := Former{Era: 1, InUse: map[azuretiller.InstanceID]bool{"stays": true}}
	cache := New(heartbeat)
	cache.Rewind(former)
	cache.ApplyServers(now, copied)
	assert.Equal(t, []string{"stays"}, cache.openServers(now))
	cache.ApplyServers(now, azuretiller.ServersPage{Next: inEra(2, 4), Changes: changesOf(serverEntry("joined", 5))})
	assert.Equal(t, []string{"joined", "stays"}, cache.openServers(now), "an entry that is written again shows that the server is alive")
	assert.Equal(t, []string{"joined", "left", "stays"}, cache.openServers(now.Add(reregistrationTime)), "in the end the registry decides")
	for name, known := range map[string]Former{
		"nothing known":         {Era: 1},
		"known in the same era": {Era: 2, InUse: former.InUse},
	} {
		cache := New(heartbeat)
		cache.Rewind(known)
		cache.ApplyServers(now, copied)
		assert.Equal(t, []string{"joined", "left", "stays"}, cache.openServers(now), name)
	}
}

// TestServersKnownBeforePauseAreNotKept guards against requests to servers that left while this VM did not read the registry, if it notices a
// restore only with its next read.
func TestServersKnownBeforePauseAreNotKept(t *testing.T) {
	now := start()
	cache := New(heartbeat)
	cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(1, 9), Changes: changesOf(serverEntry("a", 4), serverEntry("b", 4))})
	now = now.Add(time.Minute)
	cache.Rewind(Former{})
	assert.Equal(t, azuretiller.Position{}, cache.NextServers())
	assert.Equal(t, azuretiller.Position{}, cache.NextSettings())
	cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(2, 3), Changes: changesOf(serverEntry("b", 4))})
	assert.Equal(t, []string{"b"}, cache.openServers(now))
}

func zoneOut() azuretiller.SettingsChange {
	return azuretiller.SettingsChange{Zone: "z", ZoneOutOfService: true}
}

// TestPagesOfNewEraAreApplied guards against changes that are never applied, because the log of a new era is shorter than what was read of
// the former one.
func TestPagesOfNewEraAreApplied(t *testing.T) {
	now := start()
	cache := New(heartbeat)
	cache.ApplySettings(now, azuretiller.SettingsPage{Complete: true, Next: inEra(1, 9), Changes: []azuretiller.SettingsChange{{Config: []byte("two")}}})
	cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(1, 9), Changes: changesOf(serverEntry("a", 4))})
	assert.Equal(t, []byte("one"), cache.ApplySettings(now, azuretiller.SettingsPage{Complete: true, Next: inEra(2, 3), Changes: []azuretiller.SettingsChange{{Config: []byte("one")}}}))
	assert.Equal(t, inEra(2, 3), cache.NextSettings())
	draining := serverEntry("a", 5)
	draining.Draining = true
	cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(2, 3), Changes: changesOf(draining)})
	assert.Equal(t, inEra(2, 3), cache.NextServers())
	assert.Empty(t, cache.openServers(now))
	assert.Nil(t, cache.ApplySettings(now, azuretiller.SettingsPage{Next: inEra(1, 10), Changes: []azuretiller.SettingsChange{{Config: []byte("late")}}}), "a late page of the former era is ignored")
	cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(1, 10), Changes: changesOf(serverEntry("a", 9))})
	assert.Empty(t, cache.openServers(now), "a late page of the former era is ignored")
}

// TestServersMissingInCopyStayInUse guards against the loss of running servers that the copy lacks, until they have had the time to register
// again.
func TestServersMissingInCopyStayInUse(t *testing.T) {
	now := start()
	cache := New(heartbeat)
	cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(1, 9), Changes: changesOf(serverEntry("a", 4), serverEntry("b", 4))})
	now = now.Add(time.Second)
	cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(2, 1)})
	assert.Equal(t, []string{"a", "b"}, cache.openServers(now))
	cache.ApplyServers(now.Add(time.Second), azuretiller.ServersPage{Next: inEra(2, 2), Changes: changesOf(serverEntry("a", 4))})
	assert.Equal(t, []string{"a"}, cache.openServers(now.Add(reregistrationTime)), "the entry may be written again with the same sequence number")
}

// TestServersThatLeftDoNotReturnFromCopy guards against requests to servers that have left or drain, but not in the copy.
func TestServersThatLeftDoNotReturnFromCopy(t *testing.T) {
	now := start()
	cache := New(heartbeat)
	copied := changesOf(serverEntry("drains", 4), serverEntry("removed", 4), serverEntry("missing", 4), serverEntry("stays", 4))
	cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(1, 5), Changes: copied})
	draining := serverEntry("drains", 5)
	draining.Draining = true
	cache.ApplyServers(now, azuretiller.ServersPage{Next: inEra(1, 7), Changes: append(changesOf(draining), removal("removed"))})
	cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(1, 8), Changes: changesOf(draining, serverEntry("stays", 4))})
	now = now.Add(10 * time.Second)
	cache.ReadFailed()
	cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(2, 5), Changes: copied})
	assert.Equal(t, []string{"stays"}, cache.openServers(now))
	cache.ApplyServers(now, azuretiller.ServersPage{Next: inEra(2, 6), Changes: changesOf(serverEntry("removed", 5))})
	assert.Equal(t, []string{"removed", "stays"}, cache.openServers(now), "a newer entry shows that the server is back")
}

// TestZonesKeepTheirStateAfterStoreRestore guards against requests to a zone that was taken out of service after the copy was made, and against
// the loss of one that was put back.
func TestZonesKeepTheirStateAfterStoreRestore(t *testing.T) {
	const beforeRewrite = 2 * time.Second
	for _, c := range []struct {
		name string
		// before, copied and rewritten are whether the zone is out of service before the restore, in the copy, and in what the operator
		// writes again, if anything.
		before, copied bool
		rewritten      []azuretiller.SettingsChange
		// openBefore and openAfter are whether the zone is in use until the rewrite and after the time for it.
		openBefore, openAfter bool
	}{
		{"taken out, written again", true, false, []azuretiller.SettingsChange{zoneOut()}, false, false},
		{"taken out, not written again", true, false, nil, false, true},
		{"put back, written again", false, true, []azuretiller.SettingsChange{{Zone: "z"}}, true, true},
		{"put back, not written again", false, true, nil, true, false},
		{"out in both", true, true, nil, false, false},
		{"in service in both", false, false, nil, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := start()
			cache := New(heartbeat)
			cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(1, 2), Changes: changesOf(serverEntry("a", 1))})
			before := azuretiller.SettingsPage{Complete: true, Next: inEra(1, 9)}
			if c.before {
				before.Changes = []azuretiller.SettingsChange{zoneOut()}
			}
			cache.ApplySettings(now, before)
			now = now.Add(time.Second)
			copied := azuretiller.SettingsPage{Complete: true, Next: inEra(2, 3)}
			if c.copied {
				copied.Changes = []azuretiller.SettingsChange{zoneOut()}
			}
			cache.ApplySettings(now, copied)
			now = now.Add(beforeRewrite)
			assert.Equal(t, c.openBefore, len(cache.openServers(now)) == 1, "before the rewrite")
			cache.ApplySettings(now, azuretiller.SettingsPage{Next: inEra(2, 4), Changes: c.rewritten})
			now = now.Add(time.Minute)
			assert.Equal(t, c.openAfter, len(cache.openServers(now)) == 1, "after the time for the rewrite")
		})
	}
}

func TestHoldsOfZonesAreBounded(t *testing.T) {
	for _, out := range []bool{true, false} {
		now := start()
		cache := New(heartbeat)
		cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(1, 2), Changes: changesOf(serverEntry("a", 1))})
		pages := map[bool][]azuretiller.SettingsChange{true: {zoneOut()}}
		cache.ApplySettings(now, azuretiller.SettingsPage{Complete: true, Next: inEra(1, 9), Changes: pages[out]})
		cache.ApplySettings(now, azuretiller.SettingsPage{Complete: true, Next: inEra(2, 3), Changes: pages[!out]})
		cache.ApplySettings(now, azuretiller.SettingsPage{Complete: true, Next: inEra(2, 3), Changes: pages[!out]})
		assert.Equal(t, out, cache.zoneOut(now.Add(holdTime(out)-time.Millisecond), "z"))
		assert.Equal(t, !out, cache.zoneOut(now.Add(holdTime(out)), "z"))
		if out {
			now = now.Add(holdTime(out))
			assert.Equal(t, now.Add(3*time.Second), cache.ServersByService(now, testConfig())["s"][0].ColdUntil, "servers count as cold from the end of the hold")
		}
	}
}

// TestSecondRestoreExtendsHold guards against the return of a zone that is out of service while the operator's records are written again for the
// second time.
func TestSecondRestoreExtendsHold(t *testing.T) {
	now := start()
	cache := New(heartbeat)
	cache.ApplySettings(now, azuretiller.SettingsPage{Complete: true, Next: inEra(1, 9), Changes: []azuretiller.SettingsChange{zoneOut()}})
	cache.ApplySettings(now, azuretiller.SettingsPage{Complete: true, Next: inEra(2, 3)})
	now = now.Add(4 * time.Second)
	cache.ApplySettings(now, azuretiller.SettingsPage{Complete: true, Next: inEra(3, 3)})
	assert.True(t, cache.zoneOut(now.Add(zoneOutHold-time.Millisecond), "z"))
	assert.False(t, cache.zoneOut(now.Add(zoneOutHold), "z"))
}

// TestZoneChangeAfterStoreRestoreTakesEffectAtOnce guards against a zone whose change is written after the restore and waits for the end of the
// time for the rewrite.
func TestZoneChangeAfterStoreRestoreTakesEffectAtOnce(t *testing.T) {
	now := start()
	cache := New(heartbeat)
	cache.ApplyServers(now, azuretiller.ServersPage{Complete: true, Next: inEra(1, 2), Changes: changesOf(serverEntry("a", 1))})
	cache.ApplySettings(now, azuretiller.SettingsPage{Complete: true, Next: inEra(1, 9), Changes: []azuretiller.SettingsChange{zoneOut()}})
	cache.ApplySettings(now, azuretiller.SettingsPage{Complete: true, Next: inEra(2, 3)})
	assert.Empty(t, cache.openServers(now))
	cache.ApplySettings(now, azuretiller.SettingsPage{Next: inEra(2, 4), Changes: []azuretiller.SettingsChange{{Zone: "z"}}})
	assert.Equal(t, []string{"a"}, cache.openServers(now))
	assert.Equal(t, now.Add(3*time.Second), cache.ServersByService(now, testConfig())["s"][0].ColdUntil, "servers of a zone that is put back into service count as cold")
	cache.ApplySettings(now, azuretiller.SettingsPage{Next: inEra(2, 5), Changes: []azuretiller.SettingsChange{zoneOut()}})
	assert.Empty(t, cache.openServers(now))
}
