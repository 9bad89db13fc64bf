package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// nextServer returns the server that receives the next request while all servers are idle. Idle servers take turns, so it is the
// first one in a round of one request per server.
func (s *sim) nextServer() *fakeServer {
	var next *fakeServer
	for range s.servers {
		s.offer(&simRequest{team: teamName(0), route: "orders/part", work: 10 * time.Millisecond})
		s.Run(time.Second)
		for _, server := range s.servers {
			if next == nil && server.runs > 0 {
				next = server
			}
			server.runs = 0
		}
	}
	return next
}

// TestRecheck sends single requests to a pool in which one server fails every request.
func TestRecheck(t *testing.T) {
	t.Parallel()
	tests := []struct {
		desc      string
		requests  int
		readOnly  bool
		rechecked bool
		ejected   bool
	}{
		{"one failed read is rechecked but ejects no server", 1, true, true, false},
		{"a second failed read ejects the server", 4, true, true, true},
		{"writes are not rechecked", 4, false, false, false},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			s := newSim(1, 3)
			s.warmUp()
			faulty := s.nextServer()
			faulty.failureRate = 1
			for range tc.requests {
				s.offer(&simRequest{team: teamName(0), route: "orders/part", idempotent: true, readOnly: tc.readOnly, retries: 2, work: 10 * time.Millisecond})
				s.Run(time.Second)
			}
			_, ejected := s.ejectedAt[faulty.id]
			require.Equal(t, tc.ejected, ejected)
			require.Equal(t, tc.rechecked, faulty.runs > tc.requests, "%d runs", faulty.runs)
		})
	}
}
