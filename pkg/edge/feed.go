package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
)

const (
	// waitShare is the share of the time to apply a configuration that the leader's read of the settings waits for a change,
	// since a waiting read may hear nothing of it, and longestWait bounds the wait.
	waitShare   = 0.5
	longestWait = 2 * time.Second
	// serversGap is the time between the leader's reads of the registry of servers.
	serversGap = 400 * time.Millisecond
	// refreshGap is the time after which servers that are no longer cold are noticed.
	refreshGap = 200 * time.Millisecond
	// aloneGap is the time between the reads of a VM that is out of touch, which begin after aloneAfter.
	aloneGap   = 900 * time.Millisecond
	aloneAfter = time.Second
	// failureGap is the time between reads that fail.
	failureGap = 200 * time.Millisecond
	// storeLost is how long a read may take before the leader asks for a successor that can read; the store answers in
	// milliseconds, and a configuration must be in force within 2 s.
	storeLost = 500 * time.Millisecond
	// isolatedAfter is the time out of touch after which the view of the fleet is too old for callers.
	isolatedAfter = 2 * time.Second
	// ownServersAge is the age from which what a VM read itself is older than the view.
	ownServersAge = 2500 * time.Millisecond
	// unsettledFor is the time after the start or the loss of the leader in which requests wait for one.
	unsettledFor = 1500 * time.Millisecond
	// headRetry is the time between two questions to the VM of this zone that fetches first, and fetchRetry to the leader.
	headRetry  = 60 * time.Millisecond
	fetchRetry = 400 * time.Millisecond
	// leadTimeout is how long a call about the lead may take: a candidate that the store turns away must not hold up the others.
	leadTimeout = 500 * time.Millisecond
)

// feed is what the control goroutine knows of its reads.
type feed struct {
	settingsBusy, serversBusy, fetchBusy bool
	// The times from which the next read may begin.
	settingsAt, serversAt, fetchAt time.Time
	// refreshedAt is when the leader's desks last got the servers.
	refreshedAt time.Time
	// serversRead is when the registry of servers was last read, zero since a new term began.
	serversRead time.Time
	// failing is when reads began to fail, zero while they succeed, and asked when the read of servers that runs began.
	failing, asked time.Time
	// wanted is the newest configuration that another VM told of, and wantedFrom that VM.
	wanted     uint64
	wantedAt   time.Time
	wantedFrom string
	// fetchFailed means that the VM of this zone that was asked first had no newer configuration.
	fetchFailed bool
	client      http.Client
}

// settingsRead, serversRead and fetched are the results of reads.
type settingsRead struct {
	page azuretiller.SettingsPage
	err  error
}

type serversRead struct {
	page azuretiller.ServersPage
	err  error
}

type fetched struct {
	data []byte
	from string
	err  error
}

// read begins the reads that are due: the leader reads for all, a VM that is out of touch for itself.
func (e *Edge) read(ctx context.Context, now time.Time) {
	wait, gap := e.settingsWait(), serversGap
	if e.leader == nil {
		if e.member.OutFor(now) < aloneAfter {
			return
		}
		wait, gap = 0, aloneGap
	}
	if !e.feed.settingsBusy && !now.Before(e.feed.settingsAt) {
		e.feed.settingsBusy = true
		if wait == 0 {
			e.feed.settingsAt = now.Add(gap)
		}
		from := e.world.SettingsNext()
		go func() {
			page, err := e.registry.ReadSettings(ctx, from, wait)
			e.deliver(ctx, settingsRead{page, err})
		}()
	}
	if !e.feed.serversBusy && !now.Before(e.feed.serversAt) {
		e.feed.serversBusy = true
		e.feed.asked = now
		e.feed.serversAt = now.Add(gap)
		from := e.world.ServersNext()
		go func() {
			page, err := e.registry.ReadServers(ctx, from, 0)
			e.deliver(ctx, serversRead{page, err})
		}()
	}
}

func (e *Edge) settingsWait() time.Duration {
	apply := e.settings.Bounds.ConfigApply
	if apply <= 0 {
		return longestWait
	}
	return min(longestWait, time.Duration(waitShare*float64(apply)))
}

// deliver hands the result of a read to the control goroutine, which waits for it.
func (e *Edge) deliver(ctx context.Context, event any) {
	select {
	case e.inbox <- event:
	case <-ctx.Done():
	}
}

// lostStore reports whether the store stopped answering this VM.
func (e *Edge) lostStore(now time.Time) bool {
	since := e.feed.failing
	if since.IsZero() && e.feed.serversBusy {
		since = e.feed.asked
	}
	return !since.IsZero() && now.Sub(since) > storeLost
}

// fetch gets the newest configuration that another VM told of.
func (e *Edge) fetch(ctx context.Context, now time.Time) {
	if e.feed.fetchBusy || now.Before(e.feed.fetchAt) || e.feed.wanted <= e.revision() {
		return
	}
	e.feed.fetchBusy = true
	from := e.member.Head()
	if from == "" || e.feed.fetchFailed {
		from = e.feed.wantedFrom
	}
	client := &e.feed.client
	go func() {
		data, err := fetchSettings(ctx, client, from)
		e.deliver(ctx, fetched{data, from, err})
	}()
}

// noteRead keeps track of whether the store answers.
func (e *Edge) noteRead(now time.Time, err error) {
	switch {
	case err != nil && e.feed.failing.IsZero():
		e.feed.failing = now
		e.common.Log.WithError(err).Warn("store lost")
	case err == nil && !e.feed.failing.IsZero():
		e.note("store back", log.Fields{"away": now.Sub(e.feed.failing)})
		e.feed.failing = time.Time{}
		e.world.Back(now)
	}
}
