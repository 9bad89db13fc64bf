package desk

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/belief"
)

// Server is a backend server as the fleet's view has it.
type Server struct {
	ID      azuretiller.InstanceID
	Address string
	Zone    azuretiller.Zone
	Slots   int
	// Closed servers take no new work: they drain or their zone is out.
	Closed bool
	// ColdUntil is when the server stops being cold, and ColdRate the requests a second it bears until then.
	ColdUntil time.Time
	ColdRate  float64
	// Born tells the server's starts apart.
	Born int64
}

type server struct {
	Server
	// belief is what is known of the server's failures, and shedding of the work that it turns away.
	belief   *belief.Estimate
	shedding *belief.Estimate
	busy     int
	// lastStart is the time of the newest start, zero before the first one.
	lastStart time.Time
	// lastFailure is the time of the newest failure, zero before the first one.
	lastFailure time.Time
	// coldStarts are the times of the starts within the last coldWindow.
	coldStarts []time.Time
	// blocked maps the VMs that could not connect to the time until which they are not sent here.
	blocked map[string]time.Time
	// downUntil is until when the server is taken for down, since nothing listened on its address.
	downUntil time.Time
	// moved means that another server was found at the address.
	moved bool
}

// success returns the probability that a request sent now is answered well.
func (s *server) success(now time.Time) float64 {
	return s.belief.SuccessProbability(now) * s.shedding.SuccessProbability(now)
}

// sound reports whether the server has not failed for a while and takes the work that it is sent.
func (s *server) sound(now time.Time, since time.Duration) bool {
	return now.Sub(s.lastFailure) >= since && s.shedding.SuccessProbability(now) >= leastTaken
}

// takesWork reports whether the server is there and may be sent new work.
func (s *server) takesWork(now time.Time) bool {
	return !s.Closed && !s.moved && !now.Before(s.downUntil)
}

// room returns how many more requests the server may be sent now.
func (s *server) room(now time.Time) int {
	if !s.takesWork(now) {
		return 0
	}
	room := s.Slots - s.busy
	if now.Before(s.ColdUntil) && s.ColdRate > 0 {
		s.forgetStarts(now)
		room = min(room, int(s.ColdRate)-len(s.coldStarts))
	}
	return room
}

func (s *server) forgetStarts(now time.Time) {
	n := 0
	for n < len(s.coldStarts) && now.Sub(s.coldStarts[n]) >= coldWindow {
		n++
	}
	s.coldStarts = s.coldStarts[n:]
}

func (s *server) start(now time.Time) {
	s.busy++
	s.lastStart = now
	s.forgetStarts(now)
	s.coldStarts = append(s.coldStarts, now)
}

func (s *server) reachableFrom(vm string, now time.Time) bool {
	until, ok := s.blocked[vm]
	if ok && !now.Before(until) {
		delete(s.blocked, vm)
		return true
	}
	return !ok
}
