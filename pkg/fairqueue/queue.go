package fairqueue

// Queue is a start-time fair queue of items over flows and their lanes: flows share by weight,
// the lanes of one flow share equally, and a lane is first in, first out.
type Queue[F, L comparable, T any] struct {
	flows   map[F]*flow[L, T]
	virtual float64
	length  int
	serial  uint64
}

type flow[L comparable, T any] struct {
	weight float64
	start  float64
	lanes  map[L]*lane[T]
	// virtual is the virtual time within the flow.
	virtual float64
	serial  uint64
}

type lane[T any] struct {
	start  float64
	items  []T
	serial uint64
}

// New returns an empty queue.
func New[F, L comparable, T any]() *Queue[F, L, T] {
	return &Queue[F, L, T]{flows: map[F]*flow[L, T]{}}
}

// Len returns the number of waiting items.
func (q *Queue[F, L, T]) Len() int { return q.length }

// Push adds an item at the end of a lane of a flow; weights below 1 count as 1.
func (q *Queue[F, L, T]) Push(key F, weight int, laneKey L, item T) {
	q.serial++
	if q.length == 0 {
		// Nobody waits, so nobody is owed anything; otherwise each flow that was ever served would be kept and looked at.
		clear(q.flows)
	}
	f := q.flows[key]
	if f == nil {
		f = &flow[L, T]{start: q.virtual, lanes: map[L]*lane[T]{}, serial: q.serial}
		q.flows[key] = f
	}
	f.weight = float64(max(weight, 1))
	l := f.lanes[laneKey]
	if l == nil {
		l = &lane[T]{start: f.virtual, serial: q.serial}
		f.lanes[laneKey] = l
	}
	l.items = append(l.items, item)
	q.length++
}

// Pop removes the next item for which take returns a cost and true; the cost is charged to its flow.
// Only the first item of a lane is offered to take.
func (q *Queue[F, L, T]) Pop(take func(T) (cost float64, ok bool)) (T, bool) {
	tried := map[*lane[T]]bool{}
	for {
		key, f, laneKey, l := q.next(tried)
		if l == nil {
			var none T
			return none, false
		}
		tried[l] = true
		cost, ok := take(l.items[0])
		if !ok {
			continue
		}
		item := l.items[0]
		q.charge(f, l, cost)
		l.items = l.items[1:]
		q.length--
		q.tidy(key, f, laneKey, l)
		return item, true
	}
}

func (q *Queue[F, L, T]) charge(f *flow[L, T], l *lane[T], cost float64) {
	q.virtual = max(q.virtual, f.start)
	f.virtual = max(f.virtual, l.start)
	f.start += cost / f.weight
	l.start += cost
}

// next returns the lane that comes next among those that were not tried.
func (q *Queue[F, L, T]) next(tried map[*lane[T]]bool) (key F, best *flow[L, T], laneKey L, bestLane *lane[T]) {
	for k, f := range q.flows {
		lk, l := f.next(tried)
		if l == nil {
			continue
		}
		if best == nil || f.start < best.start || f.start == best.start && f.serial < best.serial {
			key, best, laneKey, bestLane = k, f, lk, l
		}
	}
	return key, best, laneKey, bestLane
}

func (f *flow[L, T]) next(tried map[*lane[T]]bool) (key L, best *lane[T]) {
	for k, l := range f.lanes {
		if tried[l] || len(l.items) == 0 {
			continue
		}
		if best == nil || l.start < best.start || l.start == best.start && l.serial < best.serial {
			key, best = k, l
		}
	}
	return key, best
}

// tidy forgets lanes and flows that wait for nothing and owe nothing.
func (q *Queue[F, L, T]) tidy(key F, f *flow[L, T], laneKey L, l *lane[T]) {
	if len(l.items) == 0 && l.start <= f.virtual {
		delete(f.lanes, laneKey)
	}
	if f.start > q.virtual {
		return
	}
	for _, other := range f.lanes {
		if len(other.items) > 0 {
			return
		}
	}
	delete(q.flows, key)
}

// Remove takes out the items for which drop returns true.
func (q *Queue[F, L, T]) Remove(drop func(T) bool) []T {
	var out []T
	for key, f := range q.flows {
		waiting := 0
		for _, l := range f.lanes {
			kept := l.items[:0:0]
			for _, item := range l.items {
				if drop(item) {
					out = append(out, item)
				} else {
					kept = append(kept, item)
				}
			}
			l.items = kept
			waiting += len(kept)
		}
		if waiting == 0 && f.start <= q.virtual {
			delete(q.flows, key)
		}
	}
	q.length -= len(out)
	return out
}
