package pool

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/ramp"
)

type phase int

const (
	// active servers take work as far as their ramp allows.
	active phase = iota + 1
	// ejected servers take none until their time is over.
	ejected
	// probing servers are waiting for the answer of their health endpoint.
	probing
	// onTrial servers take one idempotent request at a time.
	onTrial
)

func (p phase) String() string {
	switch p {
	case active:
		return "active"
	case ejected:
		return "ejected"
	case probing:
		return "probing"
	case onTrial:
		return "on trial"
	default:
		return "unknown"
	}
}

const (
	firstEjection   = 2 * time.Second
	longestEjection = time.Minute
	// forgiveAfter is the time in service after which earlier ejections no longer count.
	forgiveAfter = 2 * time.Minute
	// trialSuccesses end a trial.
	trialSuccesses = 5
	// trialPatience is how long a trial waits for requests that can be retried.
	trialPatience = 10 * time.Second
	// reconnectAfter is the time before a server that could not be connected to is probed.
	reconnectAfter = 500 * time.Millisecond
)

type server struct {
	id    azuretiller.ServerID
	index int
	ramp  *ramp.Ramp
	// elsewhere is how many requests the former home of the pool still runs on the server.
	elsewhere int
	busy      int
	// lastStart numbers the last start on this server among all starts of the pool.
	lastStart uint64
	phase     phase
	draining  bool
	reason    string
	// until is when an ejection ends.
	until     time.Time
	ejections int
	returned  time.Time
	good      int
}

// usable reports whether the server takes any work at all.
func (s *server) usable() bool {
	return !s.draining && (s.phase == active || s.phase == onTrial)
}

// outFor returns how much of an ejection is left.
func (s *server) outFor(now time.Time) time.Duration {
	if s.phase != ejected {
		return 0
	}
	return max(s.until.Sub(now), 0)
}

// room returns how many more requests the server may run now.
func (s *server) room(now time.Time) int {
	if !s.usable() {
		return 0
	}
	limit := s.ramp.Limit(now)
	if s.phase == onTrial {
		limit = min(limit, 1)
	}
	return limit - s.taken()
}

// taken returns the slots that are taken, also by the former home of the pool.
func (s *server) taken() int { return s.busy + s.elsewhere }

// ejectionTime doubles with each ejection that is not forgiven yet.
func (s *server) ejectionTime(now time.Time) time.Duration {
	if !s.returned.IsZero() && now.Sub(s.returned) > forgiveAfter {
		s.ejections = 0
	}
	s.ejections++
	return min(firstEjection<<min(s.ejections-1, 10), longestEjection)
}
