package scheduler

import (
	"maps"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/health"
)

// Server describes a backend server of the service.
type Server struct {
	ID      azuretiller.InstanceID
	Address string
	Zone    azuretiller.Zone
	Version azuretiller.Version
	Slots   int
	// Closed means that the server gets no new requests because it drains or its availability zone is out of service.
	Closed bool
	// ColdUntil is when the server has warmed up. Until then it gets at most ColdRate requests a second.
	ColdUntil time.Time
	ColdRate  float64
	// Trial means that the server has the target version of a rollout that is on trial. An attempt goes there only if the Exposer admits it.
	Trial bool
	// Incarnation changes when the server restarts.
	Incarnation int64
}

type server struct {
	Server
	// success estimates the probability that the server answers a request that it accepts, and acceptance the probability
	// that it accepts a request instead of shedding it.
	success    *health.Estimate
	acceptance *health.Estimate
	// busy is the number of requests that run on the server.
	busy int
	// lastRequestStart is the time of the newest request to the server, zero before the first one. Requests that were not sent are
	// left out.
	lastRequestStart time.Time
	// lastFailure is the time of the newest failure, zero before the first one.
	lastFailure time.Time
	// recentStarts are the times of the requests to the server within the last coldWindow.
	recentStarts []time.Time
	// unreachableUntil maps the host:port of each VM that could not connect to the time until which its requests go to other
	// servers.
	unreachableUntil map[string]time.Time
	// pausedFor maps the host:port of each VM that the server asked for a pause to the end of the pause.
	pausedFor map[string]time.Time
	// downUntil is the time until which the server counts as down after a refused connection to its address.
	downUntil time.Time
	// misdirected means that another server listens on the address.
	misdirected bool
}

// successProbability returns the probability that a request sent now is accepted and succeeds.
func (s *server) successProbability(now time.Time) float64 {
	return s.success.SuccessProbability(now) * s.acceptance.SuccessProbability(now)
}

// healthy reports whether the server did not fail within the last period and is likely to accept a request.
func (s *server) healthy(now time.Time, period time.Duration) bool {
	return now.Sub(s.lastFailure) >= period && s.acceptance.SuccessProbability(now) >= minAcceptance
}

// acceptsRequests reports whether the server may get new requests: it is not closed, misdirected or down.
func (s *server) acceptsRequests(now time.Time) bool {
	return !s.Closed && !s.misdirected && !now.Before(s.downUntil)
}

// freeCapacity returns how many more requests the server may get now, by its slots and, while cold, by its rate. It may be
// negative after the slots or the rate were reduced.
func (s *server) freeCapacity(now time.Time) int {
	if !s.acceptsRequests(now) {
		return 0
	}
	free := s.Slots - s.busy
	if now.Before(s.ColdUntil) && s.ColdRate > 0 {
		s.expireStarts(now)
		free = min(free, int(s.ColdRate)-len(s.recentStarts))
	}
	return free
}

func (s *server) expireStarts(now time.Time) {
	n := 0
	for n < len(s.recentStarts) && now.Sub(s.recentStarts[n]) >= coldWindow {
		n++
	}
	s.recentStarts = s.recentStarts[n:]
}

func (s *server) startRequest(now time.Time) {
	s.busy++
	s.lastRequestStart = now
	s.expireStarts(now)
	s.recentStarts = append(s.recentStarts, now)
}

// availableTo reports whether a VM may send requests to the server: it could connect lately, and was not asked for a pause.
func (s *server) availableTo(vm string, now time.Time) bool {
	return s.reachableFrom(vm, now) && !s.pauses(vm, now)
}

// pauses reports whether the server asked a VM for a pause that lasts at a time.
func (s *server) pauses(vm string, at time.Time) bool { return at.Before(s.pausedFor[vm]) }

// pause records that the server asked a VM for a pause, and forgets pauses that have ended.
func (s *server) pause(now time.Time, vm string, until time.Time) {
	maps.DeleteFunc(s.pausedFor, func(_ string, end time.Time) bool { return !now.Before(end) })
	if s.pausedFor[vm].Before(until) {
		s.pausedFor[vm] = until
	}
}

func (s *server) reachableFrom(vm string, now time.Time) bool {
	until, ok := s.unreachableUntil[vm]
	if ok && !now.Before(until) {
		delete(s.unreachableUntil, vm)
		return true
	}
	return !ok
}
