package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
)

func newZoneScheduler(now time.Time, servers ...Server) *Scheduler {
	sc := New(keepingParams(), invariant.NewPanicking(), NewTickets(0))
	sc.SetServers(now, servers)
	return sc
}

// TestFreedSlotIsUsedAtTheSameTime guards against a measurement of a zone that is reused although a slot became free at the same time.
func TestFreedSlotIsUsedAtTheSameTime(t *testing.T) {
	now := startTime()
	servers := testServers(2)
	servers[0].Zone, servers[1].Zone = "north", "south"
	servers[1].Closed = true
	sc := newZoneScheduler(now, servers...)
	var first Decision
	for call := range 4 {
		r := testRequest(now, call)
		r.Zone = "north"
		decisions := sc.Submit(now, r)
		if d, ok := findAssigned(decisions); ok {
			first = d
		}
	}
	decisions, ok := sc.Finish(now, first.Ticket, message.Succeeded, 100*time.Millisecond, 0)
	require.True(t, ok)
	next, ok := findAssigned(decisions)
	require.True(t, ok)
	assert.Equal(t, uint64(3), next.Key.Call)
}

// TestFullZoneWaitsBriefly guards against a request that leaves its zone for the sake of a few milliseconds, and against one that waits in
// its zone for longer than its bodies are worth while another zone has free slots.
func TestFullZoneWaitsBriefly(t *testing.T) {
	now := startTime()
	servers := testServers(2)
	servers[0].Zone, servers[1].Zone = "north", "south"
	servers[0].Slots, servers[1].Slots = 3, 30
	sc := newZoneScheduler(now, servers...)
	for call := range 3 {
		r := testRequest(now, call)
		r.Zone, r.Idempotent, r.Deadline = "north", true, now.Add(20*time.Second)
		d, ok := findAssigned(sc.Submit(now, r))
		require.True(t, ok)
		require.False(t, d.CrossZone)
	}
	r := testRequest(now, 3)
	r.Zone, r.Idempotent, r.Priority = "north", true, 1
	r.SoftDeadline, r.Deadline = now.Add(8*time.Second), now.Add(20*time.Second)
	sc.meanSize[r.Route] = 90 << 10
	_, ok := findAssigned(sc.Submit(now, r))
	require.False(t, ok)
	now = now.Add(100 * time.Millisecond)
	_, ok = findAssigned(sc.Tick(now))
	assert.False(t, ok)
	now = now.Add(2500 * time.Millisecond)
	d, ok := findAssigned(sc.Tick(now))
	require.True(t, ok)
	assert.True(t, d.CrossZone)
	assert.Equal(t, "zone full", d.Crossing.String())
}
