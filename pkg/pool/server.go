package pool

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/ramp"
)

type phase int

const (
	// active servers receive requests up to the limit of their ramp.
	active phase = iota + 1
	// ejected servers receive no requests until their ejection ends.
	ejected
	// probing servers receive no requests until their health endpoint has answered.
	probing
	// onTrial servers are half-open: they receive one request at a time, preferably an idempotent one.
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
	minEjection = 2 * time.Second
	maxEjection = time.Minute
	// ejectionResetAfter is the time in service after which earlier ejections no longer count.
	ejectionResetAfter = 2 * time.Minute
	// requiredTrialSuccesses is the number of successes without a failure after which a trial ends.
	requiredTrialSuccesses = 5
	// trialFallbackDelay is the time since the end of the ejection after which a trial also uses requests that cannot be
	// retried.
	trialFallbackDelay = 10 * time.Second
	// unreachableProbeDelay is the time after which an unreachable server is probed.
	unreachableProbeDelay = 500 * time.Millisecond
)

type server struct {
	id azuretiller.ServerID
	// index is the number by which the detector identifies the server.
	index int
	ramp  *ramp.Ramp
	// remoteBusy is how many requests the former owner of the pool still runs on the server.
	remoteBusy int
	// busy is how many requests and rechecks this pool runs on the server.
	busy int
	// lastStart is the sequence number, among all starts of the pool, of the last start on this server.
	lastStart uint64
	phase     phase
	draining  bool
	// reason is why the server was last taken out of service.
	reason string
	// ejectedUntil is when an ejection ends.
	ejectedUntil time.Time
	// ejections is how many ejections count for the duration of the next one.
	ejections int
	// returnedAt is when the server last returned to service after a trial.
	returnedAt     time.Time
	trialSuccesses int
}

// usable reports whether the server may receive requests.
func (s *server) usable() bool {
	return !s.draining && (s.phase == active || s.phase == onTrial)
}

// ejectionLeft returns the remaining time of an ejection.
func (s *server) ejectionLeft(now time.Time) time.Duration {
	if s.phase != ejected {
		return 0
	}
	return max(s.ejectedUntil.Sub(now), 0)
}

// freeSlots returns how many more requests the server may run now.
func (s *server) freeSlots(now time.Time) int {
	if !s.usable() {
		return 0
	}
	limit := s.ramp.Limit(now)
	if s.phase == onTrial {
		limit = min(limit, 1)
	}
	return limit - s.usedSlots()
}

// usedSlots returns the number of slots in use, including those of the former owner of the pool.
func (s *server) usedSlots() int { return s.busy + s.remoteBusy }

// countEjection counts an ejection and returns its duration, which doubles with each ejection that still counts.
func (s *server) countEjection(now time.Time) time.Duration {
	if !s.returnedAt.IsZero() && now.Sub(s.returnedAt) > ejectionResetAfter {
		s.ejections = 0
	}
	s.ejections++
	return min(minEjection<<min(s.ejections-1, 10), maxEjection)
}
