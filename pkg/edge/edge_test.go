package edge

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/desk"
	"github.com/azuretiller/azuretiller/pkg/leader"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/systemclock"
	"github.com/azuretiller/azuretiller/platform"
)

// TestOldReadsAreNotUsed lets a VM read a server while it is alone, and lose touch again after the server has left.
func TestOldReadsAreNotUsed(t *testing.T) {
	c := &common.Common{Log: &log.Logger{Handler: discard.New()}, Clock: systemclock.New(), Metrics: tally.NoopScope}
	e := New(c, platform.Settings{VM: "vm", Zone: "z", Peer: "127.0.0.1:1"}, nil)
	now := c.Clock.Now().Add(time.Minute)
	e.member.Receive(now, "127.0.0.1:2", 0, message.View{Term: 1, Version: 1, Parts: 1, Servers: []message.Server{{ID: "new", Service: "s"}}})
	page := azuretiller.ServersPage{Whole: true, Next: 2, Changes: []azuretiller.ServerChange{
		{ID: "left", Server: azuretiller.BackendServer{ID: "left", Service: "s"}},
	}}
	e.handle(t.Context(), now, serversRead{page: page})
	assert.Equal(t, azuretiller.InstanceID("left"), e.State().Servers[0].ID, "what was just read is newer than the view")
	e.publish(now.Add(20 * time.Second))
	assert.Equal(t, azuretiller.InstanceID("new"), e.State().Servers[0].ID, "the view is newer than an old read")
	assert.Equal(t, azuretiller.InstanceID("new"), serversOf(e.member.View())["s"][0].ID)
}

// deafRegistry answers a waiting read of the settings only at the end of its wait, which it tells the test.
type deafRegistry struct {
	azuretiller.Registry
	waits chan time.Duration
}

func (r deafRegistry) ReadSettings(_ context.Context, _ azuretiller.Offset, wait time.Duration) (azuretiller.SettingsPage, error) {
	r.waits <- wait
	return azuretiller.SettingsPage{}, nil
}

func (r deafRegistry) ReadServers(context.Context, azuretiller.Offset, time.Duration) (azuretiller.ServersPage, error) {
	return azuretiller.ServersPage{}, nil
}

// TestDeafReadLeavesTimeToApply replays a store whose waiting reads hear nothing of a new configuration: the wait must leave half
// of the time in which the configuration has to be in force.
func TestDeafReadLeavesTimeToApply(t *testing.T) {
	for _, apply := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, time.Minute} {
		c := &common.Common{Log: &log.Logger{Handler: discard.New()}, Clock: systemclock.New(), Metrics: tally.NoopScope}
		r := deafRegistry{waits: make(chan time.Duration, 1)}
		e := New(c, platform.Settings{VM: "vm", Zone: "z", Peer: "127.0.0.1:1", Bounds: platform.Bounds{ConfigApply: apply}}, r)
		e.lead(1)
		e.read(t.Context(), c.Clock.Now())
		assert.LessOrEqual(t, <-r.waits, apply/2)
	}
}

// TestZoneWithoutConfigurationIsAskedAgainSoon replays the start of all VMs at once: the VM of the zone that others ask first has no
// configuration yet when they ask.
func TestZoneWithoutConfigurationIsAskedAgainSoon(t *testing.T) {
	c := &common.Common{Log: &log.Logger{Handler: discard.New()}, Clock: systemclock.New(), Metrics: tally.NoopScope}
	e := New(c, platform.Settings{VM: "vm", Zone: "z", Peer: "127.0.0.1:1"}, nil)
	now := c.Clock.Now()
	e.feed.wanted, e.feed.wantedAt, e.feed.wantedFrom = 5, now, "127.0.0.1:3"
	e.takeFetched(t.Context(), now, fetched{err: errNoSettings, from: "127.0.0.1:2"})
	assert.Equal(t, now.Add(headRetry), e.feed.fetchAt)
	assert.False(t, e.feed.fetchFailed, "the VM of the zone is asked again")
	e.takeFetched(t.Context(), now.Add(fetchRetry+time.Millisecond), fetched{err: errNoSettings, from: "127.0.0.1:2"})
	assert.True(t, e.feed.fetchFailed, "the leader is asked")
}

// TestDumpOfALeaderShowsItsBeliefs: an engineer sees why a server is avoided.
func TestDumpOfALeaderShowsItsBeliefs(t *testing.T) {
	c := &common.Common{Log: &log.Logger{Handler: discard.New()}, Clock: systemclock.New(), Metrics: tally.NoopScope}
	e := New(c, platform.Settings{VM: "vm", Zone: "z", Peer: "127.0.0.1:1"}, nil)
	now := c.Clock.Now()
	assert.NotContains(t, e.dump(now), "services")
	e.leader = leader.New(now, e.params(), e.check, 1, "vm", "127.0.0.1:1", nil)
	e.leader.SetServers(now, map[azuretiller.ServiceID][]desk.Server{"s": {{ID: "a", Slots: 3}}})
	data, err := json.Marshal(e.dump(now))
	require.NoError(t, err)
	for _, want := range []string{`"services":{"s":`, `"Answers":`, `"Takes":`, `"SinceFailure":`} {
		assert.Contains(t, string(data), want)
	}
}
