package pool_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// nextInTurn returns the server that the next request goes to while all are idle.
func (s *sim) nextInTurn() *fakeServer {
	var next *fakeServer
	for range s.servers {
		s.offer(&order{team: teamName(0), route: "orders/part", work: 10 * time.Millisecond})
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

// TestRecheck sends single requests to a pool in which one server fails them all.
func TestRecheck(t *testing.T) {
	t.Parallel()
	tests := []struct {
		desc     string
		requests int
		readOnly bool
		reruns   bool
		ejected  bool
	}{
		{"one read is run again but ejects nobody", 1, true, true, false},
		{"a second read brings the verdict", 4, true, true, true},
		{"writes are not run again", 4, false, false, false},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			s := newSim(1, 3)
			s.warmUp()
			bad := s.nextInTurn()
			bad.fail = 1
			for range tc.requests {
				s.offer(&order{team: teamName(0), route: "orders/part", idempotent: true, readOnly: tc.readOnly, retries: 2, work: 10 * time.Millisecond})
				s.Run(time.Second)
			}
			_, ejected := s.ejectedAt[bad.id]
			require.Equal(t, tc.ejected, ejected)
			require.Equal(t, tc.reruns, bad.runs > tc.requests, "%d runs", bad.runs)
		})
	}
}
