package edge

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/registrycache"
)

const (
	// settingsWaitShare is the share of Bounds.ConfigApply for which the leader's long poll of the operators' settings waits for a change.
	// The store may fail to notify a long poll, so the rest is left for a second read.
	settingsWaitShare = 0.5
	// maxSettingsWait is the longest wait of that long poll.
	maxSettingsWait = 2 * time.Second
	// serversReadInterval is the time between the leader's reads of the server registry.
	serversReadInterval = 400 * time.Millisecond
	// leaderRefreshInterval is the time after which the leader gets the servers again, so that it notices servers that are no longer cold.
	leaderRefreshInterval = 200 * time.Millisecond
	// maxReadGap is the longest time between the starts of two reads after which the second continues where the first ended. It exceeds the
	// timeouts of the calls of a read.
	maxReadGap = 5 * time.Second
	// leaderlessReadInterval is the time between the reads of a VM that cannot reach the leader.
	leaderlessReadInterval = 900 * time.Millisecond
	// behindReadAfter is the time for which a VM may lack an announced configuration before it reads the store itself. A fetch from another VM
	// that works takes less.
	behindReadAfter = 600 * time.Millisecond
	// leaderlessReadAfter is the time without contact with the leader after which a VM reads from the store itself.
	leaderlessReadAfter = time.Second
	// readRetryInterval is the time from a failed read of the operators' settings to the next one.
	readRetryInterval = 200 * time.Millisecond
	// storeTimeout is the time without a successful read after which the leader asks for a successor that can read the store. The store
	// answers in milliseconds, and a configuration must be in force within 2 s.
	storeTimeout = 500 * time.Millisecond
	// maxInheritedViewAge is the time without contact with the former leader up to which a new leader uses the servers of the view. A lost
	// leader is replaced sooner, and backend servers that leave must get no requests after 2 s.
	maxInheritedViewAge = 1200 * time.Millisecond
	// firstReadTimeout is how long requests wait for the first read of a new leader from the store, which answers in milliseconds.
	firstReadTimeout = 300 * time.Millisecond
	// isolatedAfter is the time without contact with the leader after which the view of the fleet is too old to be given to callers.
	isolatedAfter = 2 * time.Second
	// maxOwnServersAge is the age up to which servers that this VM read itself are used instead of those in the view.
	maxOwnServersAge = 2500 * time.Millisecond
	// leaderExpectedFor is the time after the start of the VM or the loss of the leader during which a leader is expected soon, so that
	// requests wait for it.
	leaderExpectedFor = 1500 * time.Millisecond
	// zoneFetchRetry is the time between two configuration fetches while the VM that was asked does not have the announced revision yet.
	zoneFetchRetry = 60 * time.Millisecond
	// leaderFetchRetry is the time from a failed fetch to the next one. It is also the time after an announcement from which the leader is
	// asked instead of the configuration source of the zone.
	leaderFetchRetry = 400 * time.Millisecond
	// leaderRecordTimeout bounds each read and write of the leader record: a candidate that cannot use the store must not delay the others.
	leaderRecordTimeout = 500 * time.Millisecond
)

// readState is the state of the reads from the store and of the configuration fetches from other VMs.
type readState struct {
	// settingsPending, serversPending and fetchPending mean that a read or a fetch is running.
	settingsPending, serversPending, fetchPending bool
	// nextSettingsRead, nextServersRead and nextFetch are the earliest times of the next reads and of the next fetch.
	nextSettingsRead, nextServersRead, nextFetch time.Time
	// leaderRefreshedAt is when the leader last got the servers.
	leaderRefreshedAt time.Time
	// lastServersRead and lastSettingsRead are when this VM last read the server registry and the operators' settings successfully. They
	// are set to zero when this VM becomes leader.
	lastServersRead, lastSettingsRead time.Time
	// inheritedServers holds the servers that were in use according to the view when this VM became leader.
	inheritedServers map[azuretiller.InstanceID]bool
	// failingSince is when reads from the store began to fail, and zero while they succeed. serversReadStarted is when the newest read of
	// the servers began.
	failingSince, serversReadStarted time.Time
	// advertisedRevision is the newest configuration revision that a leader, or a member of this leader, announced, advertisedAt the time
	// of its first announcement and advertisedBy the host:port of the VM that announced it last.
	advertisedRevision uint64
	advertisedAt       time.Time
	advertisedBy       string
	// behindSince is when this VM began to lack the announced revision, and zero while it has it.
	behindSince time.Time
	// zoneFetchFailed means that the configuration source of the zone (see Member.ConfigSource) did not return the announced revision in
	// time, so that the leader is asked next.
	zoneFetchFailed bool
	client          http.Client
	// rollouts are the stored rollouts that this VM read last without a leader, at lastRolloutsRead. rolloutsPending means that a read is
	// running, and rolloutsFailing that the last one failed.
	rollouts         *azuretiller.StoredRollouts
	lastRolloutsRead time.Time
	rolloutsPending  bool
	rolloutsFailing  bool
	// era is the newest era of the store that this VM has seen; it is unknown until eraKnown.
	era      azuretiller.Era
	eraKnown bool
}

// settingsResult is the result of reading the operators' settings from the store: the configuration and the zones out of service.
type settingsResult struct {
	page azuretiller.SettingsPage
	err  error
}

// serversResult is the result of reading the server registry from the store.
type serversResult struct {
	page azuretiller.ServersPage
	err  error
}

// fetchResult is the result of fetching the configuration from another VM.
type fetchResult struct {
	data []byte
	// from is the host:port of that VM.
	from string
	err  error
}

// startReads starts the reads that are due: the leader reads for all VMs, a VM that cannot reach the leader reads for itself, and one that does
// not get an announced configuration from others reads the settings.
func (e *Edge) startReads(ctx context.Context, now time.Time) {
	wait, interval, readsServers := e.settingsWait(), serversReadInterval, true
	behind := e.checkBehind(now)
	if e.leader == nil {
		readsServers = e.member.LeaderUnreachableFor(now) >= leaderlessReadAfter
		if !readsServers && !behind {
			return
		}
		wait, interval = 0, leaderlessReadInterval
	}
	if e.reads.lastSettingsRead.IsZero() {
		wait = 0
	}
	if !e.reads.serversPending && now.Sub(e.reads.serversReadStarted) > maxReadGap {
		former := formerServers(e.member.View())
		// The first leader of an era may still hold back copied entries.
		former.Era = min(former.Era, e.member.SettledEra(now))
		e.registryCache.Rewind(former)
	}
	if !e.reads.settingsPending && !now.Before(e.reads.nextSettingsRead) {
		e.reads.settingsPending = true
		if e.leader == nil {
			e.reads.nextSettingsRead = now.Add(interval)
		}
		from := e.registryCache.NextSettings()
		go func() {
			page, err := e.registry.ReadSettings(ctx, from, wait)
			e.deliver(ctx, settingsResult{page, err})
		}()
	}
	if readsServers && !e.reads.serversPending && !now.Before(e.reads.nextServersRead) {
		e.reads.serversPending = true
		if e.leader == nil {
			e.startRolloutsRead(ctx, now)
		}
		e.reads.serversReadStarted = now
		e.reads.nextServersRead = now.Add(interval)
		from := e.registryCache.NextServers()
		go func() {
			page, err := e.registry.ReadServers(ctx, from, 0)
			e.deliver(ctx, serversResult{page, err})
		}()
	}
}

// checkBehind updates behindSince, and reports whether this VM has lacked the announced configuration for behindReadAfter.
func (e *Edge) checkBehind(now time.Time) bool {
	switch {
	case e.reads.advertisedRevision <= e.revision():
		e.reads.behindSince = time.Time{}
	case e.reads.behindSince.IsZero():
		e.reads.behindSince = now
	}
	return !e.reads.behindSince.IsZero() && now.Sub(e.reads.behindSince) >= behindReadAfter
}

// lastRegistryRead returns the time at which both the servers and the operators' settings had been read last, or zero if one of them has not
// been read. Servers without the settings could be in a zone that is out of service.
func (r *readState) lastRegistryRead() time.Time {
	if r.lastServersRead.Before(r.lastSettingsRead) {
		return r.lastServersRead
	}
	return r.lastSettingsRead
}

// formerServers returns the servers that were in use according to a view.
func formerServers(v message.View) registrycache.Former {
	former := registrycache.Former{Era: v.Term.Era(), InUse: map[azuretiller.InstanceID]bool{}}
	for _, s := range v.Servers {
		if !s.Closed {
			former.InUse[s.ID] = true
		}
	}
	return former
}

// settingsWait returns how long the leader's long poll of the operators' settings waits for a change.
func (e *Edge) settingsWait() time.Duration {
	apply := e.processSettings.Bounds.ConfigApply
	if apply <= 0 {
		return maxSettingsWait
	}
	return min(maxSettingsWait, scale(apply, settingsWaitShare))
}

// deliver passes the result of a call to the control goroutine. It blocks while the inbox is full, since results must not be dropped.
func (e *Edge) deliver(ctx context.Context, event any) {
	select {
	case e.inbox <- event:
	case <-ctx.Done():
	}
}

// storeUnavailable reports whether reads from the store have failed, or the newest read has not returned, for longer than storeTimeout.
func (e *Edge) storeUnavailable(now time.Time) bool {
	since := e.reads.failingSince
	if since.IsZero() && e.reads.serversPending {
		since = e.reads.serversReadStarted
	}
	return !since.IsZero() && now.Sub(since) > storeTimeout
}

// startFetch starts to fetch the announced configuration if it is newer than the one of this VM.
func (e *Edge) startFetch(ctx context.Context, now time.Time) {
	if e.reads.fetchPending || now.Before(e.reads.nextFetch) || e.reads.advertisedRevision <= e.revision() {
		return
	}
	e.reads.fetchPending = true
	from := e.member.ConfigSource()
	if from == "" || e.reads.zoneFetchFailed || e.leader != nil {
		from = e.reads.advertisedBy
	}
	client := &e.reads.client
	go func() {
		data, err := fetchConfig(ctx, client, from)
		e.deliver(ctx, fetchResult{data, from, err})
	}()
}

// trackEra records the era of a successful read. When it rises, the leader checks whether the store still has the record of its term.
func (e *Edge) trackEra(ctx context.Context, era azuretiller.Era) {
	if e.reads.eraKnown && era > e.reads.era {
		e.common.Log.WithFields(log.Fields{"old": e.reads.era, "new": era}).Warn("store restored")
		if e.leader != nil {
			e.leader.StoreRestored()
			e.confirmTerm(ctx)
		}
	}
	e.reads.era = max(e.reads.era, era)
	e.reads.eraKnown = true
}

// trackStoreHealth records and logs when reads from the store begin to fail and when they succeed again.
func (e *Edge) trackStoreHealth(now time.Time, err error) {
	switch {
	case err != nil && e.reads.failingSince.IsZero():
		e.reads.failingSince = now
		e.common.Log.WithError(err).Warn("store lost")
	case err == nil && !e.reads.failingSince.IsZero():
		e.logEvent("store back", log.Fields{"away": now.Sub(e.reads.failingSince)})
		e.reads.failingSince = time.Time{}
	}
}

// reportInvalidEntries counts the invalid entries of the server registry, and logs those that became invalid.
func (e *Edge) reportInvalidEntries(now time.Time, page azuretiller.ServersPage) {
	for _, c := range page.Changes {
		if c.Invalid != nil {
			e.common.Metrics.Counter("entries_invalid").Inc(1)
		}
	}
	for _, c := range e.invalidEntries.Update(now, page) {
		e.common.Log.WithFields(log.Fields{"server": printable(string(c.ID)), "reason": c.Invalid}).Warn("invalid registry entry")
	}
}

// printable escapes all but printable ASCII characters, since keys in the store may contain any bytes.
func printable(s string) string {
	quoted := strconv.QuoteToASCII(s)
	return quoted[1 : len(quoted)-1]
}
