package virtualtime

import (
	"container/heap"
	"time"
)

// Schedule runs functions at given times of its simulated clock. Functions with the same time run in the order in which they
// were added.
type Schedule struct {
	now      time.Time
	queue    eventQueue
	sequence int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

// New returns an empty schedule whose clock is set to now.
func New(now time.Time) *Schedule {
	return &Schedule{now: now}
}

// Now returns the time for which the running function was scheduled or, between runs, the end of the last run.
func (s *Schedule) Now() time.Time { return s.now }

// At schedules a function for time t.
func (s *Schedule) At(t time.Time, run func()) {
	s.sequence++
	heap.Push(&s.queue, event{at: t, sequence: s.sequence, run: run})
}

// After schedules a function that runs after the duration has passed on the schedule's clock.
func (s *Schedule) After(duration time.Duration, run func()) { s.At(s.now.Add(duration), run) }

// Run runs the functions that are due within the duration from now and advances the clock by the duration.
func (s *Schedule) Run(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

type eventQueue []event

// Len returns the number of events.
func (q eventQueue) Len() int { return len(q) }

// Less orders events by time and then by the order in which they were added.
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].sequence < q[j].sequence
}

// Swap swaps two events.
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes and returns the last event.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
