package fairqueue

// Ahead returns the cost of the queued items that would be served before a new item at the end of a subqueue. All items of a subqueue
// have the same cost, which the function returns. Items that arrive later are not known; they may be served before the new item as well.
func (q *Queue[F, S, T]) Ahead(key F, weight int, subqueueKey S, cost func(S) float64) float64 {
	if q.length == 0 {
		return 0
	}
	own := q.flows[key]
	inFlow, flowStart := 0.0, q.virtualTime
	if own != nil {
		inFlow = own.ahead(subqueueKey, cost)
		flowStart = max(own.startTag, q.virtualTime)
	}
	// The flow is served until its start tag is that of the new item; the others are served up to the same tag.
	tag := flowStart + inFlow/float64(max(weight, 1))
	total := inFlow
	for k, f := range q.flows {
		if k != key && f.length > 0 {
			total += f.aheadOf(tag, cost)
		}
	}
	return total
}

// aheadOf returns the cost of the items of the flow that are served before the start tag of another one.
func (f *flow[S, T]) aheadOf(tag float64, cost func(S) float64) float64 {
	queued, share := f.queued(cost), (tag-f.startTag)*f.weight
	if share >= queued {
		return queued
	}
	return min(max(share, f.nextCost(cost)), queued)
}

// ahead returns the cost of the items of the flow that are served before a new item at the end of a subqueue.
func (f *flow[S, T]) ahead(key S, cost func(S) float64) float64 {
	tag, total := f.virtualTime, 0.0
	if s := f.subqueues[key]; s != nil {
		total = float64(len(s.items)) * cost(key)
		tag = max(s.startTag, f.virtualTime) + total
	}
	for k, s := range f.subqueues {
		if k != key && len(s.items) > 0 {
			total += min(max(tag-s.startTag, cost(k)), float64(len(s.items))*cost(k))
		}
	}
	return total
}

// queued returns the cost of all items of the flow.
func (f *flow[S, T]) queued(cost func(S) float64) float64 {
	total := 0.0
	for k, s := range f.subqueues {
		if len(s.items) > 0 {
			total += float64(len(s.items)) * cost(k)
		}
	}
	return total
}

// nextCost returns the cost of the item that the flow is served next.
func (f *flow[S, T]) nextCost(cost func(S) float64) float64 {
	if key, s := f.next(); s != nil {
		return cost(key)
	}
	return 0
}
