package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/pool"
)

const (
	// takeOverTimeout is the time after which the new owner starts requests without an answer of the former owner.
	takeOverTimeout = 300 * time.Millisecond
	// pollInterval is the time between two questions to the former owner about the requests that it still runs. It equals
	// movedRetryAfter of the package.
	pollInterval = 100 * time.Millisecond
	// staleOwnerTime is how long some senders still send requests to the former owner.
	staleOwnerTime = time.Second
)

// handOver transfers the pool to a new owner. The former owner answers after a delay.
func (s *sim) handOver(service config.Service, servers []config.Server, delay time.Duration) {
	former := s.pool
	next := pool.New(service, invariant.NewPanicking())
	s.former = former
	s.After(staleOwnerTime, func() { s.former = nil })
	next.Activate(s.Now().Add(takeOverTimeout))
	s.addPool(next, service, servers)
	s.After(delay, func() {
		state, actions := former.HandOver(s.Now())
		s.apply(former, actions)
		s.apply(next, next.TakeOver(s.Now(), state))
		s.pollFormerOwner(former, next, state)
	})
}

// pollFormerOwner updates the requests that the former owner still runs until all of them have ended.
func (s *sim) pollFormerOwner(former, next *pool.Pool, state pool.State) {
	if state.Idle() {
		return
	}
	s.After(pollInterval, func() {
		state, actions := former.HandOver(s.Now())
		s.apply(former, actions)
		s.apply(next, next.UpdateRemoteBusy(s.Now(), state))
		s.pollFormerOwner(former, next, state)
	})
}

// TestHandover transfers a pool to a new owner while its servers are busy. The fake servers panic if both owners together
// use more than their slots.
func TestHandover(t *testing.T) {
	t.Parallel()
	s := newSim(1, 3)
	s.warmUp()
	s.servers["s0:80"].failureRate = 1
	s.arrivals(60, s.Now().Add(5*time.Second), s.lookups(4, 0, 0.1))
	s.Run(6 * time.Second)
	require.Contains(t, s.ejectedAt, azuretiller.ServerID("s0:80"))
	answered := 0
	s.onDone = func(_ *simRequest, ok bool, _ azuretiller.Code) {
		if ok {
			answered++
		}
	}
	offer := func(count int) {
		for range count {
			s.offer(&simRequest{team: teamName(0), route: "orders/status", idempotent: true, retries: 2, work: time.Second, timeout: 20 * time.Second})
		}
	}
	const before, during, after = 5, 4, 12
	offer(before)
	former := s.pool
	service, servers := serviceConfig(3)
	s.handOver(service, servers, 50*time.Millisecond)
	offer(during)
	s.Run(60 * time.Millisecond)
	limits := map[azuretiller.ServerID]int{}
	for _, r := range s.pool.Report(s.Now()) {
		limits[r.Server] = r.Limit
	}
	require.Equal(t, map[azuretiller.ServerID]int{"s0:80": 1, "s1:80": testSlots, "s2:80": testSlots}, limits)
	require.NotEqual(t, "active", s.pool.Report(s.Now())[0].Phase, "the new owner has an ejected server in service")
	late := pool.Ticket{ID: 1 << 40, Team: teamName(0), Route: "orders/status", Deadline: s.Now().Add(time.Second)}
	require.Equal(t, []pool.Action{pool.Refuse{Ticket: late.ID, Code: azuretiller.CodePoolMoved, RetryAfter: pollInterval}}, former.Submit(s.Now(), late))
	// Some of these requests still go to the former owner.
	offer(after)
	s.Run(20 * time.Second)
	require.Equal(t, before+during+after, answered)
	for _, r := range former.Report(s.Now()) {
		require.Zero(t, r.Busy)
	}
}
