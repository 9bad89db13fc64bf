package timer

import (
	"context"
	"sync"
	"time"
)

// maxSleep limits the delay until Run serves a new subscriber.
const maxSleep = 100 * time.Millisecond

// Service wakes each subscriber at its interval. A busy subscriber has at most one wake-up pending; further ones are dropped.
type Service struct {
	minSleep time.Duration

	mu            sync.Mutex
	subscriptions []*subscription
}

type subscription struct {
	interval time.Duration
	next     time.Time
	wake     chan time.Time
}

// New returns a service whose wake-ups are at least minSleep apart.
func New(minSleep time.Duration) *Service {
	return &Service{minSleep: minSleep}
}

// Subscribe returns a channel that receives the current time once per interval while Run runs.
func (s *Service) Subscribe(interval time.Duration) <-chan time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &subscription{interval: interval, wake: make(chan time.Time, 1)}
	s.subscriptions = append(s.subscriptions, sub)
	return sub.wake
}

// Run wakes the subscribers until the context ends. Between wake-ups it sleeps until the next subscriber is due.
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

// Sleep sleeps for the duration, or until the context ends if that is earlier.
func Sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// wake notifies the subscribers that are due and returns the time to sleep until the next one is due, which is at least
// minSleep.
func (s *Service) wake(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	sleep := maxSleep
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
	return max(sleep, s.minSleep)
}
