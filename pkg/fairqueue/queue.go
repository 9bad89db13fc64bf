package fairqueue

import (
	"cmp"
	"slices"
)

// Queue is a hierarchical start-time fair queue. Flows share slot time by weight, and the subqueues of a flow share its
// time equally. Each subqueue is first in, first out.
//
// The start tag of a flow or subqueue is the virtual time at which it is served next; the lowest start tag goes first.
type Queue[F, S comparable, T any] struct {
	flows       map[F]*flow[S, T]
	virtualTime float64
	length      int
	// sequence counts the pushes. A new flow or subqueue takes its value, and the lower value goes first at equal start tags.
	sequence uint64
	// places is the buffer of sorted.
	places []place[F, S, T]
}

// place is a subqueue with its flow and their keys.
type place[F, S comparable, T any] struct {
	key         F
	flow        *flow[S, T]
	subqueueKey S
	subqueue    *subqueue[T]
}

type flow[S comparable, T any] struct {
	weight    float64
	startTag  float64
	subqueues map[S]*subqueue[T]
	// virtualTime is the virtual time within the flow; the start tags of its subqueues refer to it.
	virtualTime float64
	sequence    uint64
	// length is the number of items of all subqueues.
	length int
}

type subqueue[T any] struct {
	startTag float64
	items    []T
	sequence uint64
}

// New returns an empty queue.
func New[F, S comparable, T any]() *Queue[F, S, T] {
	return &Queue[F, S, T]{flows: map[F]*flow[S, T]{}}
}

// Len returns the number of queued items.
func (q *Queue[F, S, T]) Len() int { return q.length }

// Push adds an item at the end of a subqueue of a flow, and sets the weight of the flow. Weights below 1 count as 1.
func (q *Queue[F, S, T]) Push(key F, weight int, subqueueKey S, item T) {
	q.sequence++
	if q.length == 0 {
		// An empty queue has no shares to balance. Without this, flows that were once served would stay in the map and
		// every Pop would scan them.
		clear(q.flows)
	}
	f := q.flows[key]
	if f == nil {
		f = &flow[S, T]{startTag: q.virtualTime, subqueues: map[S]*subqueue[T]{}, sequence: q.sequence}
		q.flows[key] = f
	}
	f.weight = float64(max(weight, 1))
	s := f.subqueues[subqueueKey]
	if s == nil {
		s = &subqueue[T]{startTag: f.virtualTime, sequence: q.sequence}
		f.subqueues[subqueueKey] = s
	}
	s.items = append(s.items, item)
	f.length++
	q.length++
}

// Pop removes the first item in fair order for which admit returns true, and charges the returned cost to its flow and
// subqueue. Pop calls admit only for the first item of each subqueue.
func (q *Queue[F, S, T]) Pop(admit func(T) (cost float64, ok bool)) (T, bool) {
	// Most often the first item is admitted, so the others are sorted only if it is not.
	first := q.next()
	if first.subqueue == nil {
		var zero T
		return zero, false
	}
	if cost, ok := admit(first.subqueue.items[0]); ok {
		return q.take(first, cost), true
	}
	for _, p := range q.sorted() {
		if p.subqueue == first.subqueue {
			continue
		}
		if cost, ok := admit(p.subqueue.items[0]); ok {
			return q.take(p, cost), true
		}
	}
	var zero T
	return zero, false
}

// take removes the first item of a subqueue and charges its cost.
func (q *Queue[F, S, T]) take(p place[F, S, T], cost float64) T {
	item := p.subqueue.items[0]
	q.charge(p.flow, p.subqueue, cost)
	p.subqueue.items = p.subqueue.items[1:]
	p.flow.length--
	q.length--
	q.removeIdle(p.key, p.flow, p.subqueueKey, p.subqueue)
	return item
}

func (q *Queue[F, S, T]) charge(f *flow[S, T], s *subqueue[T], cost float64) {
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.virtualTime = max(f.virtualTime, s.startTag)
	f.startTag += cost / f.weight
	s.startTag += cost
}

// next returns the subqueue to serve next, or a place without a subqueue if the queue is empty.
func (q *Queue[F, S, T]) next() place[F, S, T] {
	var best place[F, S, T]
	for k, f := range q.flows {
		if f.length == 0 || best.flow != nil && !f.before(best.flow) {
			continue
		}
		if sk, s := f.next(); s != nil {
			best = place[F, S, T]{key: k, flow: f, subqueueKey: sk, subqueue: s}
		}
	}
	return best
}

// sorted returns all subqueues with items in the order in which they are served.
func (q *Queue[F, S, T]) sorted() []place[F, S, T] {
	places := q.places[:0]
	for k, f := range q.flows {
		if f.length == 0 {
			continue
		}
		for sk, s := range f.subqueues {
			if len(s.items) > 0 {
				places = append(places, place[F, S, T]{key: k, flow: f, subqueueKey: sk, subqueue: s})
			}
		}
	}
	slices.SortFunc(places, func(a, b place[F, S, T]) int {
		if a.flow != b.flow {
			return cmp.Or(cmp.Compare(a.flow.startTag, b.flow.startTag), cmp.Compare(a.flow.sequence, b.flow.sequence))
		}
		return cmp.Or(cmp.Compare(a.subqueue.startTag, b.subqueue.startTag), cmp.Compare(a.subqueue.sequence, b.subqueue.sequence))
	})
	q.places = places
	return places
}

func (f *flow[S, T]) before(other *flow[S, T]) bool {
	return f.startTag < other.startTag || f.startTag == other.startTag && f.sequence < other.sequence
}

func (f *flow[S, T]) next() (key S, best *subqueue[T]) {
	for k, s := range f.subqueues {
		if len(s.items) == 0 {
			continue
		}
		if best == nil || s.startTag < best.startTag || s.startTag == best.startTag && s.sequence < best.sequence {
			key, best = k, s
		}
	}
	return key, best
}

// removeIdle removes the subqueue, and then the flow, if it has no items and its start tag is not ahead of the virtual
// time. A start tag ahead of the virtual time records slot time beyond the fair share, so the entry must stay.
func (q *Queue[F, S, T]) removeIdle(key F, f *flow[S, T], subqueueKey S, s *subqueue[T]) {
	if len(s.items) == 0 && s.startTag <= f.virtualTime {
		delete(f.subqueues, subqueueKey)
	}
	if f.length == 0 && f.startTag <= q.virtualTime {
		delete(q.flows, key)
	}
}

// Remove removes the items for which drop returns true and returns them.
func (q *Queue[F, S, T]) Remove(drop func(T) bool) []T {
	var removed []T
	for key, f := range q.flows {
		f.length = 0
		for _, s := range f.subqueues {
			remaining := s.items[:0:0]
			for _, item := range s.items {
				if drop(item) {
					removed = append(removed, item)
				} else {
					remaining = append(remaining, item)
				}
			}
			s.items = remaining
			f.length += len(remaining)
		}
		if f.length == 0 && f.startTag <= q.virtualTime {
			delete(q.flows, key)
		}
	}
	q.length -= len(removed)
	return removed
}
