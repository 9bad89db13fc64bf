package virtualtime

import (
	"container/heap"
	"time"
)

// Schedule holds functions to be run at times; functions at the same time run in the order in which they were added.
type Schedule struct {
	now    time.Time
	items  items
	serial int
}

type item struct {
	at     time.Time
	serial int
	run    func()
}

// New returns an empty schedule whose clock stands at a time.
func New(now time.Time) *Schedule {
	return &Schedule{now: now}
}

// Now returns the time of the function that runs, or the end of the last run.
func (s *Schedule) Now() time.Time { return s.now }

// At adds a function.
func (s *Schedule) At(t time.Time, run func()) {
	s.serial++
	heap.Push(&s.items, item{at: t, serial: s.serial, run: run})
}

// After adds a function that runs a while from now.
func (s *Schedule) After(span time.Duration, run func()) { s.At(s.now.Add(span), run) }

// Run runs the functions of a span of time and moves the clock to its end.
func (s *Schedule) Run(span time.Duration) {
	end := s.now.Add(span)
	for len(s.items) > 0 && !s.items[0].at.After(end) {
		next := heap.Pop(&s.items).(item)
		s.now = next.at
		next.run()
	}
	s.now = end
}

type items []item

// Len returns the number of items.
func (a items) Len() int { return len(a) }

// Less orders items by time and then by the order in which they were added.
func (a items) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].serial < a[j].serial
}

// Swap exchanges two items.
func (a items) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push adds an item at the end.
func (a *items) Push(x any) { *a = append(*a, x.(item)) }

// Pop removes the item at the end.
func (a *items) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}
