package timeheap

import (
	"container/heap"
	"time"
)

// Heap is a set of items with a time each. It is not safe for concurrent use.
type Heap[T comparable] struct {
	entries entries[T]
	byItem  map[T]*entry[T]
}

type entry[T comparable] struct {
	item  T
	at    time.Time
	index int
}

// New returns an empty heap.
func New[T comparable]() *Heap[T] {
	return &Heap[T]{byItem: map[T]*entry[T]{}}
}

// Set adds an item, or changes its time.
func (h *Heap[T]) Set(item T, at time.Time) {
	if e := h.byItem[item]; e != nil {
		e.at = at
		heap.Fix(&h.entries, e.index)
		return
	}
	e := &entry[T]{item: item, at: at}
	h.byItem[item] = e
	heap.Push(&h.entries, e)
}

// Remove removes an item and reports whether it was there.
func (h *Heap[T]) Remove(item T) bool {
	e := h.byItem[item]
	if e == nil {
		return false
	}
	delete(h.byItem, item)
	heap.Remove(&h.entries, e.index)
	return true
}

// Earliest returns an item with the earliest time, or false if the heap is empty.
func (h *Heap[T]) Earliest() (item T, at time.Time, ok bool) {
	if len(h.entries) == 0 {
		return item, at, false
	}
	return h.entries[0].item, h.entries[0].at, true
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.entries) }

// entries implements heap.Interface.
type entries[T comparable] []*entry[T]

// Len returns the number of entries.
func (e entries[T]) Len() int { return len(e) }

// Less compares the times of two entries.
func (e entries[T]) Less(i, j int) bool { return e[i].at.Before(e[j].at) }

// Swap swaps two entries.
func (e entries[T]) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index, e[j].index = i, j
}

// Push adds an entry at the end.
func (e *entries[T]) Push(x any) {
	added, ok := x.(*entry[T])
	if !ok {
		return
	}
	added.index = len(*e)
	*e = append(*e, added)
}

// Pop removes the last entry.
func (e *entries[T]) Pop() any {
	last := len(*e) - 1
	removed := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return removed
}
