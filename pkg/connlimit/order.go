package connlimit

import (
	"sync"
	"time"

	"github.com/azuretiller/azuretiller/pkg/bytebudget"
	"github.com/azuretiller/azuretiller/pkg/timeheap"
)

// servedShare is the part of the connections, as a divisor, that clients may keep that have been served. New clients compete for the others.
const servedShare = 2

const (
	// dismissedShare is the part of the connections, as a divisor, that may be open beyond the maximum until their clients are refused.
	dismissedShare = 8
	// dismissTimeout is how long such a connection stays at most.
	dismissTimeout = time.Second
	// newTime is the time that a new client gets to begin its first request, as long as others can be refused instead.
	newTime = 100 * time.Millisecond
)

// order holds the open connections, and those that wait for their client in the order in which they are closed in favor of others. Their
// times may be too early, since a connection that progresses is moved only when its turn comes.
type order struct {
	max int

	mu    sync.Mutex
	conns map[*conn]struct{}
	// waiting holds the connections that wait for their client, by level.
	waiting    [levels]*timeheap.Heap[*conn]
	searchedAt time.Time
	// dismissed holds the evicted connections that are still open, and since when they are evicted.
	dismissed map[*conn]time.Time
	// refusals has one unit for each connection beyond the maximum whose request is refused.
	refusals *bytebudget.Budget
}

func newOrder(maxConns int) *order {
	o := &order{
		max: maxConns, conns: map[*conn]struct{}{}, dismissed: map[*conn]time.Time{},
		refusals: bytebudget.New(int64(maxConns / dismissedShare)),
	}
	for i := range o.waiting {
		o.waiting[i] = timeheap.New[*conn]()
	}
	return o
}

// add adds a connection. At the maximum it also returns the one to close instead, and whether that one may stay until its client is refused.
// It does not admit the connection if there is none to close.
func (o *order) add(c *conn, now time.Time) (dropped *conn, mayWait, admitted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.conns) >= o.max {
		if dropped = o.evict(now); dropped == nil {
			return nil, false, false
		}
		delete(o.conns, dropped)
		if mayWait = len(o.dismissed) < o.max/dismissedShare; mayWait {
			o.dismissed[dropped] = now
		}
	}
	o.conns[c] = struct{}{}
	o.place(c, c.since)
	return dropped, mayWait, true
}

// evict evicts a connection, or returns nil if all of them are needed, or new and silent.
func (o *order) evict(now time.Time) *conn {
	if c, isNew := o.evictFirst(now); c != nil || isNew {
		return c
	}
	if now.Sub(o.searchedAt) < sweepInterval {
		return nil
	}
	// A write only becomes a slow one as time passes.
	o.searchedAt = now
	for c := range o.conns {
		if r, since := c.rank(); r != needed {
			o.place(c, since)
		}
	}
	c, _ := o.evictFirst(now)
	return c
}

// evictFirst evicts the first connection in the order that still waits. It reports if that one is too new.
func (o *order) evictFirst(now time.Time) (c *conn, isNew bool) {
	for {
		c, seen, ok := o.first()
		if !ok {
			return nil, false
		}
		if c.isSilent() && now.Sub(seen) < newTime && o.mayRefuse() {
			return nil, true
		}
		switch state, since := c.tryEvict(seen); state {
		case progressed:
			o.place(c, since)
		case inUse:
			o.take(c)
		case evicted:
			o.take(c)
			return c, false
		}
	}
}

// mayRefuse reports whether a connection beyond the maximum may be refused.
func (o *order) mayRefuse() bool {
	if !o.refusals.Take(1) {
		return false
	}
	o.refusals.Put(1)
	return true
}

// first returns the connection that is closed next if it still waits: the one of level 0 that has waited longest, or the one of the lowest other
// level if it has waited even longer and the served clients have more than their share.
func (o *order) first() (c *conn, since time.Time, ok bool) {
	fresh, freshSince, hasFresh := o.waiting[0].Earliest()
	served, servedSince, hasServed := o.firstServed()
	if hasServed && (!hasFresh || o.countServed() > o.max/servedShare && servedSince.Before(freshSince)) {
		return served, servedSince, true
	}
	return fresh, freshSince, hasFresh
}

// firstServed returns the connection that has waited longest of those on the lowest level above 0.
func (o *order) firstServed() (c *conn, since time.Time, ok bool) {
	for _, heap := range o.waiting[1:] {
		if c, since, ok = heap.Earliest(); ok {
			return c, since, true
		}
	}
	return nil, time.Time{}, false
}

func (o *order) countServed() (count int) {
	for _, heap := range o.waiting[1:] {
		count += heap.Len()
	}
	return count
}

// place puts a connection that waits since the given time where it belongs.
func (o *order) place(c *conn, since time.Time) {
	o.take(c)
	o.waiting[c.level()].Set(c, since)
}

// take takes a connection out of the order, and reports whether it was there.
func (o *order) take(c *conn) (found bool) {
	for _, heap := range o.waiting {
		found = heap.Remove(c) || found
	}
	return found
}

// restore returns a connection that was needed to the order.
func (o *order) restore(c *conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, ok := o.conns[c]; ok {
		_, since := c.rank()
		o.place(c, since)
	}
}

// promote moves a connection whose level has changed.
func (o *order) promote(c *conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.take(c) {
		_, since := c.rank()
		o.place(c, since)
	}
}

// remove removes a connection that is closed.
func (o *order) remove(c *conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.conns, c)
	delete(o.dismissed, c)
	o.take(c)
}

// spare lets an evicted connection stay until its handler closes it.
func (o *order) spare(c *conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.dismissed, c)
}

// late returns the connections whose time is over.
func (o *order) late(now time.Time, limits Limits) (late []*conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.conns {
		if c.expire(now, limits) {
			late = append(late, c)
		}
	}
	for c, since := range o.dismissed {
		if now.Sub(since) > dismissTimeout && c.drop() {
			late = append(late, c)
		}
	}
	return late
}
