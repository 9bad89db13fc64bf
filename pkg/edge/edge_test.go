package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/apex/log/handlers/logfmt"
	"github.com/apex/log/handlers/memory"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/datagram"
	"github.com/azuretiller/azuretiller/pkg/gateway"
	"github.com/azuretiller/azuretiller/pkg/leader"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
	"github.com/azuretiller/azuretiller/pkg/systemclock"
	"github.com/azuretiller/azuretiller/platform"
)

// TestStaleRegistryReadIsNotUsed guards against requests to servers that have left: a VM reads the registry while it cannot reach the
// leader, the server leaves, and the VM loses the leader again or becomes leader.
func TestStaleRegistryReadIsNotUsed(t *testing.T) {
	e := newTestEdge(nil)
	now := e.common.Clock.Now().Add(time.Minute)
	e.member.Receive(now, "127.0.0.1:2", 0, message.View{Term: 1, Version: 1, Parts: 1, Servers: []message.Server{{ID: "new", Service: "s"}}})
	page := azuretiller.ServersPage{Complete: true, Next: azuretiller.Position{Offset: 2}, Changes: []azuretiller.ServerChange{
		{ID: "left", Server: azuretiller.BackendServer{ID: "left", Service: "s"}},
	}}
	e.handle(t.Context(), now, settingsResult{})
	e.handle(t.Context(), now, serversResult{page: page})
	assert.Equal(t, azuretiller.InstanceID("left"), e.State().Servers[0].ID, "a read that has just ended is newer than the view")
	e.publish(now.Add(20 * time.Second))
	assert.Equal(t, azuretiller.InstanceID("new"), e.State().Servers[0].ID, "the view is newer than a stale read")
	assert.Equal(t, azuretiller.InstanceID("new"), serversByService(e.member.View())["s"][0].ID)
}

// TestNewLeaderDoesNotUseZoneThatIsOutOfService guards against requests to a zone that was taken out of service long ago: a new leader
// reads the servers before it has read the settings, which say that their zone is out.
func TestNewLeaderDoesNotUseZoneThatIsOutOfService(t *testing.T) {
	e := newTestEdge(nil)
	now := e.common.Clock.Now()
	isClosed := func() bool { return e.leader.ServiceStates(now)["s"].Servers[0].Closed }
	e.member.Receive(now, "127.0.0.1:2", 0, message.View{Term: 1, Version: 1, Parts: 1, Servers: []message.Server{{ID: "a", Service: "s", Zone: "out", Closed: true}}})
	e.becomeLeader(2, azuretiller.RateLedger{})
	require.True(t, isClosed(), "the view says that the server gets no requests")
	next := azuretiller.Position{Offset: 2}
	e.handle(t.Context(), now, serversResult{page: azuretiller.ServersPage{Complete: true, Next: next, Changes: []azuretiller.ServerChange{
		{ID: "a", Server: azuretiller.BackendServer{ID: "a", Service: "s", Zone: "out"}},
	}}})
	assert.True(t, isClosed(), "the servers were read, but not the settings")
	e.handle(t.Context(), now, settingsResult{page: azuretiller.SettingsPage{Complete: true, Next: next, Changes: []azuretiller.SettingsChange{
		{Zone: "out", ZoneOutOfService: true},
	}}})
	assert.True(t, isClosed(), "the settings were read too")
}

// TestInvalidEntriesAreLoggedInOneLine guards against silence about invalid entries, and against log lines that are forged by line breaks
// in an id.
func TestInvalidEntriesAreLoggedInOneLine(t *testing.T) {
	var lines bytes.Buffer
	scope := tally.NewTestScope("", nil)
	c := &common.Common{Log: &log.Logger{Handler: logfmt.New(&lines), Level: log.InfoLevel}, Clock: systemclock.New(), Metrics: scope}
	e := New(c, platform.Settings{VM: "vm", Zone: "z", PeerAddress: "127.0.0.1:1"}, nil)
	now := c.Clock.Now()
	for i := range 3 {
		page := azuretiller.ServersPage{Next: azuretiller.Position{Offset: azuretiller.Offset(i + 2)}}
		for _, id := range []string{"i-1", "i\nlevel=error message=forged", "\xff"} {
			_, err := platform.DecodeServer(id, []byte("null"))
			page.Changes = append(page.Changes, azuretiller.ServerChange{ID: azuretiller.InstanceID(id), Removed: true, Invalid: err})
		}
		e.handle(t.Context(), now, serversResult{page: page})
	}
	text := strings.TrimSuffix(lines.String(), "\n")
	require.Len(t, strings.Split(text, "\n"), 3, text)
	assert.Contains(t, text, `message="invalid registry entry" reason="a required text field is missing" server=i-1`)
	assert.NotContains(t, text, " level=error")
	assert.Equal(t, int64(9), scope.Snapshot().Counters()["entries_invalid+"].Value())
}

// TestInvalidConfigurationKeepsTheLastOne guards against VMs without a configuration after one that cannot be decoded.
func TestInvalidConfigurationKeepsTheLastOne(t *testing.T) {
	var lines bytes.Buffer
	c := &common.Common{Log: &log.Logger{Handler: logfmt.New(&lines), Level: log.ErrorLevel}, Clock: systemclock.New(), Metrics: tally.NoopScope}
	e := New(c, platform.Settings{VM: "vm", Zone: "z", PeerAddress: "127.0.0.1:1"}, nil)
	require.True(t, e.setConfig([]byte(`{"version":"r1"}`), "store"))
	for _, text := range []string{
		"", "\x00", `{"version":"r99999999999999999999"}`, `{"version":7}`, `{"version":"r2","resources":{}}`, strings.Repeat(`{"resources":[`, 100_000),
		`{"version":"r2","resources":[{"entryKind":"tenants","spec":{"ratePerS":1e400}}]}`,
	} {
		lines.Reset()
		assert.False(t, e.setConfig([]byte(text), "store"))
		assert.Contains(t, lines.String(), "failed to decode configuration")
		assert.Equal(t, uint64(1), e.revision())
	}
}

// unchangedRegistry returns no changes and sends the wait time of each settings read to the test.
type unchangedRegistry struct {
	azuretiller.Registry
	waits chan time.Duration
}

func (r unchangedRegistry) ReadSettings(_ context.Context, _ azuretiller.Position, wait time.Duration) (azuretiller.SettingsPage, error) {
	r.waits <- wait
	return azuretiller.SettingsPage{}, nil
}

func (r unchangedRegistry) ReadServers(context.Context, azuretiller.Position, time.Duration) (azuretiller.ServersPage, error) {
	return azuretiller.ServersPage{}, nil
}

// TestSettingsWaitLeavesTimeToApply guards against configurations that are applied too late because the store does not notify a long poll
// of the change: the wait must leave half of the time within which the configuration has to be in force.
func TestSettingsWaitLeavesTimeToApply(t *testing.T) {
	for _, apply := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 2500 * time.Millisecond, time.Minute} {
		c := &common.Common{Log: &log.Logger{Handler: discard.New()}, Clock: systemclock.New(), Metrics: tally.NoopScope}
		r := unchangedRegistry{waits: make(chan time.Duration, 1)}
		e := New(c, platform.Settings{VM: "vm", Zone: "z", PeerAddress: "127.0.0.1:1", Bounds: platform.Bounds{ConfigApply: apply}}, r)
		e.becomeLeader(1, azuretiller.RateLedger{})
		now := c.Clock.Now()
		e.startReads(t.Context(), now)
		assert.Zero(t, <-r.waits, "the first read of a term does not wait")
		for !e.reads.lastSettingsRead.Equal(now) {
			e.handle(t.Context(), now, <-e.inbox)
		}
		e.startReads(t.Context(), now)
		wait := <-r.waits
		assert.Positive(t, wait)
		assert.LessOrEqual(t, wait, apply/2)
	}
}

// TestConfigurationIsFetchedFromZoneBeforeLeader checks the start of all VMs at once: the configuration source of the zone has no
// configuration yet. It must be asked again soon, and the leader only after leaderFetchRetry.
func TestConfigurationIsFetchedFromZoneBeforeLeader(t *testing.T) {
	e := newTestEdge(nil)
	now := e.common.Clock.Now()
	e.reads.advertisedRevision, e.reads.advertisedAt, e.reads.advertisedBy = 5, now, "127.0.0.1:3"
	e.applyFetched(t.Context(), now, fetchResult{err: errNoConfig, from: "127.0.0.1:2"})
	assert.Equal(t, now.Add(zoneFetchRetry), e.reads.nextFetch)
	assert.False(t, e.reads.zoneFetchFailed, "the VM of the zone is asked again before the leader")
	e.applyFetched(t.Context(), now.Add(leaderFetchRetry+time.Millisecond), fetchResult{err: errNoConfig, from: "127.0.0.1:2"})
	assert.True(t, e.reads.zoneFetchFailed, "the leader is asked after leaderFetchRetry")
}

// TestNewLeaderFetchesNewerConfigurationFromMember guards against a leader with an older configuration than its members have. The copy from
// which the store came back may lack the newest one, and the VM that announced it before is down.
func TestNewLeaderFetchesNewerConfigurationFromMember(t *testing.T) {
	member := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(compress([]byte(`{"version":"r5","resources":[]}`)))
	}))
	t.Cleanup(member.Close)
	e := newTestEdge(nil)
	openSocket(t, e)
	require.True(t, e.setConfig([]byte(`{"version":"r3","resources":[]}`), "store"))
	e.reads.advertisedRevision, e.reads.advertisedBy = 5, "127.0.0.1:9"
	e.becomeLeader(1, azuretiller.RateLedger{})
	now := e.common.Clock.Now()
	from := strings.TrimPrefix(member.URL, "http://")
	e.receive(t.Context(), now, datagram.Incoming{From: from, ReceivedAt: now, Envelope: message.Envelope{Body: message.Heartbeat{VM: "other", Zone: "y", ConfigRevision: 5}}})
	require.True(t, e.reads.fetchPending)
	e.handle(t.Context(), now, <-e.inbox)
	assert.Equal(t, uint64(5), e.revision())
}

// positionRegistry sends the position of each read of the servers to the test. It returns its page, or an empty one that follows the
// position if it has none.
type positionRegistry struct {
	azuretiller.Registry
	positions chan azuretiller.Position
	page      azuretiller.ServersPage
}

func (r positionRegistry) ReadSettings(context.Context, azuretiller.Position, time.Duration) (azuretiller.SettingsPage, error) {
	return azuretiller.SettingsPage{Next: r.page.Next}, nil
}

func (r positionRegistry) ReadServers(_ context.Context, from azuretiller.Position, _ time.Duration) (azuretiller.ServersPage, error) {
	r.positions <- from
	if r.page.Complete {
		return r.page, nil
	}
	return azuretiller.ServersPage{Complete: from.Offset == 0, Next: azuretiller.Position{Offset: from.Offset + 1}}, nil
}

// TestReadsAfterPauseStartAnew guards against a VM that leads again and takes what it read in its former term for the newest state before a
// restore of the store.
func TestReadsAfterPauseStartAnew(t *testing.T) {
	r := positionRegistry{positions: make(chan azuretiller.Position, 1)}
	e := newTestEdge(r)
	e.becomeLeader(1, azuretiller.RateLedger{})
	now := e.common.Clock.Now()
	for _, read := range []struct {
		after time.Duration
		from  azuretiller.Offset
	}{{0, 0}, {maxReadGap, 1}, {serversReadInterval, 2}, {maxReadGap + time.Millisecond, 0}} {
		now = now.Add(read.after)
		e.startReads(t.Context(), now)
		assert.Equal(t, read.from, (<-r.positions).Offset)
		for e.reads.serversPending {
			e.handle(t.Context(), now, <-e.inbox)
		}
	}
}

// TestNewLeaderComparesCopyWithView guards against requests to servers that left before this VM leads: the view of the former leader lacks
// them, but the copy from which the store came back does not.
func TestNewLeaderComparesCopyWithView(t *testing.T) {
	r := positionRegistry{positions: make(chan azuretiller.Position, 1), page: azuretiller.ServersPage{
		Complete: true, Next: azuretiller.Position{Era: 1, Offset: 3}, Changes: []azuretiller.ServerChange{
			{ID: "left", Server: azuretiller.BackendServer{ID: "left", Service: "s"}},
			{ID: "stays", Server: azuretiller.BackendServer{ID: "stays", Service: "s"}},
		},
	}}
	e := newTestEdge(r)
	now := e.common.Clock.Now()
	e.member.Receive(now, "127.0.0.1:2", 0, message.View{Term: 1, Version: 1, Parts: 1, Servers: []message.Server{{ID: "stays", Service: "s"}}})
	e.becomeLeader(azuretiller.Term(1).Next(1), azuretiller.RateLedger{})
	e.startReads(t.Context(), now)
	<-r.positions
	for e.reads.serversPending {
		e.handle(t.Context(), now, <-e.inbox)
	}
	closed := map[azuretiller.InstanceID]bool{}
	for _, s := range e.registryCache.ServersByService(now, nil)["s"] {
		closed[s.ID] = s.Closed
	}
	assert.Equal(t, map[azuretiller.InstanceID]bool{"left": true, "stays": false}, closed)
}

// leaderRegistry returns a leader record.
type leaderRegistry struct {
	azuretiller.Registry
	record azuretiller.LeaderRecord
}

func (r leaderRegistry) ReadLeader(context.Context) (azuretiller.LeaderRecord, azuretiller.Position, error) {
	return r.record, azuretiller.Position{Era: 2, Offset: 2}, nil
}

// TestLeaderReadsItsRecordAfterStoreRestore guards against a store that lacks the record of the running term for longer than needed.
func TestLeaderReadsItsRecordAfterStoreRestore(t *testing.T) {
	c := &common.Common{Log: &log.Logger{Handler: discard.New()}, Clock: systemclock.New(), Metrics: tally.NoopScope}
	e := New(c, platform.Settings{VM: "vm", Zone: "z", PeerAddress: "127.0.0.1:1"}, leaderRegistry{record: azuretiller.LeaderRecord{Term: 1, VM: "former"}})
	e.becomeLeader(2, azuretiller.RateLedger{})
	e.trackEra(t.Context(), 1)
	e.trackEra(t.Context(), 2)
	confirmation, ok := (<-e.inbox).(leaderConfirmation)
	require.True(t, ok)
	assert.Equal(t, azuretiller.LeaderRecord{Term: 1, VM: "former"}, confirmation.record)
	assert.Equal(t, azuretiller.Position{Era: 2, Offset: 2}, confirmation.next)
}

func TestRestoredStoreIsLoggedOnce(t *testing.T) {
	handler := memory.New()
	c := &common.Common{Log: &log.Logger{Handler: handler}, Clock: systemclock.New(), Metrics: tally.NoopScope}
	e := New(c, platform.Settings{VM: "vm", Zone: "z", PeerAddress: "127.0.0.1:1"}, nil)
	for _, era := range []azuretiller.Era{3, 3, 4, 4, 3} {
		e.trackEra(t.Context(), era)
	}
	require.Len(t, handler.Entries, 1)
	assert.Equal(t, "store restored", handler.Entries[0].Message)
	assert.Equal(t, log.Fields{"old": azuretiller.Era(3), "new": azuretiller.Era(4)}, handler.Entries[0].Fields)
}

// TestLeaderDumpIncludesServerEstimates checks that the dump of a leader shows why a server is avoided.
func TestLeaderDumpIncludesServerEstimates(t *testing.T) {
	e := newTestEdge(nil)
	now := e.common.Clock.Now()
	assert.NotContains(t, e.dump(now), "services")
	e.leader = leader.New(now, e.params(), e.check, 1, "vm", "127.0.0.1:1", azuretiller.RateLedger{}, nil)
	e.leader.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"s": {{ID: "a", Slots: 3}}})
	data, err := json.Marshal(e.dump(now))
	require.NoError(t, err)
	for _, want := range []string{`"services":{"s":`, `"Answers":`, `"Takes":`, `"SinceFailure":`} {
		assert.Contains(t, string(data), want)
	}
}

// TestLeavingIsAnnouncedUnderLoad guards against a VM that stops without telling the others: the queues of its control goroutine are full
// when it gets SIGTERM.
func TestLeavingIsAnnouncedUnderLoad(t *testing.T) {
	c := &common.Common{Log: &log.Logger{Handler: discard.New()}, Clock: systemclock.New(), Metrics: tally.NoopScope}
	e := New(c, platform.Settings{VM: "vm", Zone: "z", PeerAddress: "127.0.0.1:1", Bounds: platform.Bounds{Grace: time.Minute}}, nil)
	e.gateway = gateway.New(c, e.State, nil, nil, e.placer, e.gate)
	for range inboxSize {
		e.enqueue(e.inbox, func() {})
		e.enqueue(e.urgent, func() {})
	}
	ctx, stop := context.WithCancel(t.Context())
	callers, err := newHTTPServer(ctx, "127.0.0.1:0", e.gateway, e.newClientLimits().OtherLimiter())
	require.NoError(t, err)
	var running sync.WaitGroup
	running.Go(func() { e.drain(ctx, callers) })
	time.Sleep(50 * time.Millisecond)
	running.Go(func() { e.control(ctx, nil) })
	assert.Eventually(t, func() bool { return e.State().Leaving }, 10*time.Second, time.Millisecond)
	stop()
	running.Wait()
}

// TestLeaderNoticesThatOnlySettingsCannotBeRead guards against configurations that never come into force: the store refuses the leader's
// reads of the operators' settings, while its reads of the servers succeed.
func TestLeaderNoticesThatOnlySettingsCannotBeRead(t *testing.T) {
	e := newTestEdge(nil)
	now := e.common.Clock.Now()
	for range 10 {
		for range 2 {
			now = now.Add(readRetryInterval)
			e.handle(t.Context(), now, settingsResult{err: errors.New("refused")})
		}
		e.handle(t.Context(), now, serversResult{})
	}
	assert.True(t, e.storeUnavailable(now), "no settings for %s", 20*readRetryInterval)
}

// TestLeavingVMAcceptsNoRequestsForLong guards against requests that a VM takes more than three seconds after SIGTERM and cuts when a long
// grace period ends.
func TestLeavingVMAcceptsNoRequestsForLong(t *testing.T) {
	assert.Equal(t, 500*time.Millisecond, acceptTime(time.Second))
	assert.Equal(t, 3*time.Second, acceptTime(6*time.Second))
	assert.Equal(t, 3*time.Second, acceptTime(10*time.Second))
}
