package timer

import (
	"context"
	"sync"
	"time"
)

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

// New returns a service whose intervals are multiples of step.
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

// Run serves the subscribers until the context ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(s.step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.wake(now)
		}
	}
}

func (s *Service) wake(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range s.subscriptions {
		if now.Before(sub.next) {
			continue
		}
		sub.next = now.Add(sub.interval)
		select {
		case sub.wake <- now:
		default:
		}
	}
}
