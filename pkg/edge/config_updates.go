package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/pkg/tokenbucket"
)

// applyFetched applies a configuration that was fetched from another VM. If a fetch fails, or if this VM still lacks the announced
// revision leaderFetchRetry after the announcement, the next fetch goes to the leader instead of the configuration source of the zone.
func (e *Edge) applyFetched(ctx context.Context, now time.Time, f fetchResult) {
	switch {
	case errors.Is(f.err, errNoConfig):
		// After a start of all VMs, the VM that was asked may still be fetching the configuration itself.
	case f.err != nil:
		e.common.Log.WithError(f.err).WithField("from", f.from).Warn("failed to fetch configuration from another VM")
		e.reads.zoneFetchFailed = true
		e.reads.nextFetch = now.Add(leaderFetchRetry)
		return
	default:
		e.applyConfig(now, f.data, f.from)
	}
	e.reads.zoneFetchFailed = e.revision() < e.reads.advertisedRevision && now.Sub(e.reads.advertisedAt) > leaderFetchRetry
	if e.revision() < e.reads.advertisedRevision {
		e.reads.nextFetch = now.Add(zoneFetchRetry)
	}
	e.startFetch(ctx, now)
}

func (e *Edge) applyConfig(now time.Time, data []byte, source string) {
	if !e.setConfig(data, source) {
		return
	}
	e.placer.SetLimits(now, tokenbucket.Limits(e.config))
	if e.leader != nil {
		e.leader.SetConfig(now, e.config)
		e.refreshLeader(now)
		e.runLeader(e.leader.Announce())
	}
}

// noteRevision records the configuration revision that another VM announced.
func (e *Edge) noteRevision(now time.Time, from string, revision uint64) {
	if revision > e.reads.advertisedRevision {
		e.reads.advertisedRevision, e.reads.advertisedAt = revision, now
	}
	// The VM that announced a revision first may be down by now.
	if revision == e.reads.advertisedRevision {
		e.reads.advertisedBy = from
	}
}
