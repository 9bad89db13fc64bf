package keyedstore

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/invalidentry"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/fleetwire"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/leader"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/registrycache"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	// maxDatagramBytes is the largest UDP payload over IPv4.
	maxDatagramBytes = 65507
	validServers     = 4
	slotsPerServer   = 3
)

func validEntry(i, sequence int, state string) []byte {
	return fmt.Appendf(nil, `{"service":"service","address":"10.0.0.%d:80","zone":"z","version":"v1","concurrencyLimit":%d,"state":%q,"warmupLeft":"0ms","sequence":%d,"born":1}`,
		i+1, slotsPerServer, state, sequence)
}

func putValidServers(s *Store, sequence int) {
	for i := range validServers {
		s.Put("keyed.servers", fmt.Sprint("i-", i), validEntry(i, sequence, "ready"))
	}
}

// testReader reads the registry as the leader does, from the store to the datagrams for other VMs.
type testReader struct {
	t        *testing.T
	registry *platform.Registry
	cache    *registrycache.Cache
	leader   *leader.Leader
	// view is the view of a VM that receives the datagrams of the leader.
	view  message.View
	now   time.Time
	calls uint64
}

func newTestReader(t *testing.T, r *platform.Registry) *testReader {
	now := time.Unix(1_000_000, 0)
	l := leader.New(now, leader.Params{Scheduler: scheduler.Params{RetryRatio: 0.2, RetrySlack: 60}}, invariant.NewPanicking(), 1, "vm", "10.1.0.1:1", azuretiller.RateLedger{}, nil)
	return &testReader{t: t, registry: r, cache: registrycache.New(1500 * time.Millisecond), leader: l, now: now}
}

// read reads the changes of the registry, and returns the servers of the view of a VM that then receives the leader's datagrams.
func (r *testReader) read() []string {
	r.t.Helper()
	page, err := r.registry.ReadServers(context.Background(), r.cache.NextServers(), 0)
	require.NoError(r.t, err)
	r.now = r.now.Add(time.Second)
	r.cache.ApplyServers(r.now, page)
	r.leader.Receive(r.now, "10.1.0.1:1", message.Envelope{Body: message.Heartbeat{VM: "vm", Zone: "z", Ready: true, Term: 1, ViewVersion: r.view.Version}})
	effects := r.leader.SetServers(r.now, r.cache.ServersByService(r.now, nil))
	parts := map[int]message.View{}
	for _, e := range append(effects, r.leader.Tick(r.now)...) {
		s, ok := e.(leader.Send)
		if !ok {
			continue
		}
		data, err := fleetwire.Encode(s.Message)
		require.NoError(r.t, err)
		require.LessOrEqual(r.t, len(data), maxDatagramBytes)
		received, err := fleetwire.Decode(data)
		require.NoError(r.t, err)
		if v, ok := received.Body.(message.View); ok {
			parts[v.Part] = v
		}
	}
	received, complete := message.JoinViews(parts)
	require.True(r.t, complete, "the leader sends a complete view")
	r.view = r.view.Apply(received)
	var ids []string
	for _, s := range r.view.Servers {
		ids = append(ids, string(s.ID))
	}
	return ids
}

// place submits n requests and returns the numbers of placed requests by server and of refused ones. No request ends.
func (r *testReader) place(n int) (placed map[azuretiller.InstanceID]int, refused int) {
	placed = map[azuretiller.InstanceID]int{}
	for range n {
		r.calls++
		effects := r.leader.Receive(r.now, "10.1.0.1:1", message.Envelope{Call: r.calls, Body: message.PlaceRequest{
			Request: "r", Route: "route", Timeout: 30 * time.Second, SoftTimeout: 20 * time.Second, Attempt: 1, Backends: []config.Backend{{Service: "service", Weight: 1}},
		}})
		for _, e := range effects {
			s, ok := e.(leader.Send)
			if !ok {
				continue
			}
			switch response := s.Message.Body.(message.PlaceResponse); {
			case response.Code != azuretiller.CodeOK:
				refused++
			case !response.Queued:
				placed[response.Server]++
			}
		}
	}
	return placed, refused
}

// TestInvalidEntriesDoNotAffectOtherServers guards against a fleet that loses its view or its backend servers because of one entry of
// another writer. Each entry lies in the store from the start, or comes later; then all slots of the other servers are used.
func TestInvalidEntriesDoNotAffectOtherServers(t *testing.T) {
	valid := []string{"i-0", "i-1", "i-2", "i-3"}
	for _, entry := range invalidentry.List("service", "z") {
		for _, fromStart := range []bool{true, false} {
			t.Run(fmt.Sprintf("%.40q from start %v", entry.ID, fromStart), func(t *testing.T) {
				s, registry := newRegistry(t)
				if fromStart {
					s.Put("keyed.servers", entry.ID, entry.Value)
				}
				putValidServers(s, 1)
				r := newTestReader(t, registry)
				require.Equal(t, valid, r.read())
				if !fromStart {
					s.Put("keyed.servers", entry.ID, entry.Value)
					s.Put("keyed.servers", "i-4", validEntry(4, 1, "ready"))
					require.Equal(t, append(valid[:4:4], "i-4"), r.read(), "the view changes only by the valid entry")
					s.Put("keyed.servers", "i-4", nil)
					require.Equal(t, valid, r.read())
				}
				placed, refused := r.place(validServers * (slotsPerServer + 1))
				assert.Zero(t, refused)
				for _, id := range valid {
					assert.Equal(t, slotsPerServer, placed[azuretiller.InstanceID(id)])
				}
				assert.Len(t, placed, validServers)
			})
		}
	}
}

// TestServerReturnsAfterInvalidEntryUnderItsID guards against a server that is ignored, or counts as cold, after another writer
// replaced its entry: it counts as removed until its next valid entry, which is followed although its sequence is smaller.
func TestServerReturnsAfterInvalidEntryUnderItsID(t *testing.T) {
	for _, entry := range invalidentry.Values("service", "z") {
		t.Run(fmt.Sprintf("%.40q", entry.ID), func(t *testing.T) {
			s, registry := newRegistry(t)
			putValidServers(s, 5)
			r := newTestReader(t, registry)
			require.Equal(t, []string{"i-0", "i-1", "i-2", "i-3"}, r.read())
			s.Put("keyed.servers", "i-0", entry.Value)
			require.Equal(t, []string{"i-1", "i-2", "i-3"}, r.read(), "the server counts as removed")
			s.Put("keyed.servers", "i-0", validEntry(0, 6, "ready"))
			require.Equal(t, []string{"i-0", "i-1", "i-2", "i-3"}, r.read())
			servers := r.cache.ServersByService(r.now, nil)["service"]
			assert.Equal(t, scheduler.Server{ID: "i-0", Address: "10.0.0.1:80", Zone: "z", Slots: slotsPerServer, Incarnation: 1}, scheduler.Server{
				ID: servers[0].ID, Address: servers[0].Address, Zone: servers[0].Zone, Slots: servers[0].Slots, Closed: servers[0].Closed, Incarnation: servers[0].Incarnation,
			})
			assert.False(t, r.now.Before(servers[0].ColdUntil), "the server is not cold")
			s.Put("keyed.servers", "i-0", validEntry(0, 7, "draining"))
			r.read()
			assert.True(t, r.cache.ServersByService(r.now, nil)["service"][0].Closed, "later entries are followed")
		})
	}
}

// TestServerOfUnknownServiceGetsNoRequests shows that an entry with a service that no route names affects no other server.
func TestServerOfUnknownServiceGetsNoRequests(t *testing.T) {
	s, registry := newRegistry(t)
	putValidServers(s, 1)
	s.Put("keyed.servers", "x", bytes.Replace(validEntry(9, 1, "ready"), []byte(`"service":"service"`), []byte(`"service":"other"`), 1))
	r := newTestReader(t, registry)
	require.Equal(t, []string{"i-0", "i-1", "i-2", "i-3", "x"}, r.read())
	placed, refused := r.place(validServers * (slotsPerServer + 1))
	assert.Zero(t, refused)
	assert.Equal(t, map[azuretiller.InstanceID]int{"i-0": slotsPerServer, "i-1": slotsPerServer, "i-2": slotsPerServer, "i-3": slotsPerServer}, placed)
}
