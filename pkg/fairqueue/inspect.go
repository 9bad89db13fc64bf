package fairqueue

// LenOf returns the number of items in a subqueue of a flow.
func (q *Queue[F, S, T]) LenOf(key F, subqueueKey S) int {
	f := q.flows[key]
	if f == nil || f.subqueues[subqueueKey] == nil {
		return 0
	}
	return len(f.subqueues[subqueueKey].items)
}

// Heads returns the number of items that Pop may pass to admit: the first of each subqueue.
func (q *Queue[F, S, T]) Heads() int {
	n := 0
	for _, f := range q.flows {
		for _, s := range f.subqueues {
			if len(s.items) > 0 {
				n++
			}
		}
	}
	return n
}
