package timer

import (
	"context"
	"sync"
	"time"
)

// longestSleep bounds how late a new subscriber is noticed.
const longestSleep = 100 * time.Millisecond

// Service wakes its subscribers at their intervals; a subscriber that is busy misses wake-ups rather than collecting them.
type Service struct {
	step time.Duration

	mu            sync.Mutex
	subscriptions []*subscription
}

type subscription struct {
	interval time.Duration
	next     time.Time
	wake     chan time.Time
}

// New returns a service that wakes at most once a step.
func New(step time.Duration) *Service {
	return &Service{step: step}
}

// Subscribe returns a channel that gets the time once an interval while Run runs.
func (s *Service) Subscribe(interval time.Duration) <-chan time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &subscription{interval: interval, wake: make(chan time.Time, 1)}
	s.subscriptions = append(s.subscriptions, sub)
	return sub.wake
}

// Run serves the subscribers until the context ends. It sleeps until the next one is due.
func (s *Service) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			timer.Reset(s.wake(now))
		}
	}
}

// Pause waits for a span of time or until the context ends.
func Pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

// wake serves the subscribers that are due and returns the time until the next one is, at least one step.
func (s *Service) wake(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	sleep := longestSleep
	for _, sub := range s.subscriptions {
		if !now.Before(sub.next) {
			sub.next = now.Add(sub.interval)
			select {
			case sub.wake <- now:
			default:
			}
		}
		sleep = min(sleep, sub.next.Sub(now))
	}
	return max(sleep, s.step)
}
