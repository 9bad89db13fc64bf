package solo

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/meter"
)

const (
	// avoidFor is how long this VM does not use a server after a failure of its own.
	avoidFor = 2 * time.Second
	// crossing is what placing a request in another zone costs, in percent of the chance of success.
	crossing = 15
	// retryAfter is told to callers that find no server.
	retryAfter = time.Second
)

// Solo makes the decisions of a VM without a leader.
type Solo struct {
	zone azuretiller.Zone

	mu     sync.Mutex
	random *rand.Rand
	meter  *meter.Meter
	failed map[azuretiller.InstanceID]time.Time
	busy   map[azuretiller.InstanceID]int
}

// New returns the decisions of a VM in a zone.
func New(zone azuretiller.Zone, random *rand.Rand) *Solo {
	s := &Solo{zone: zone, random: random, failed: map[azuretiller.InstanceID]time.Time{}, busy: map[azuretiller.InstanceID]int{}}
	// All VMs together begin with about one request a VM and two teams.
	s.meter = meter.New(func(azuretiller.TeamID, meter.Limit) azuretiller.Millitokens {
		return azuretiller.Millitokens(s.random.Int64N(int64(azuretiller.TokenCost)))
	})
	return s
}

// Want is a request that needs a server.
type Want struct {
	Team     azuretiller.TeamID
	Rate     azuretiller.Millitokens
	Backends []config.Backend
	Tried    []azuretiller.InstanceID
	// First is set for the first attempt, which costs a token of the team.
	First bool
}

// Place returns a server, or the code with which the request is turned away. Fleet is the number of VMs.
func (s *Solo) Place(now time.Time, w Want, servers []message.Server, fleet int) message.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.First {
		limit := meter.Limit{Rate: w.Rate / azuretiller.Millitokens(max(fleet, 1)), Burst: azuretiller.TokenCost}
		if wait, ok := s.meter.Spend(now, w.Team, limit); !ok {
			return message.Grant{Code: azuretiller.CodeRateUnavailable, RetryAfter: wait}
		}
	}
	service := s.pick(w.Backends)
	var best *message.Server
	bestScore := 0
	for i, server := range servers {
		if server.Service != service || server.Closed || slices.Contains(w.Tried, server.ID) || s.busy[server.ID] >= server.Slots {
			continue
		}
		if at, ok := s.failed[server.ID]; ok && now.Sub(at) < avoidFor {
			continue
		}
		score := server.Success + s.random.IntN(crossing) - crossing*s.busy[server.ID]
		if server.Zone != s.zone {
			score -= crossing
		}
		if best == nil || score > bestScore {
			best, bestScore = &servers[i], score
		}
	}
	if best == nil {
		return message.Grant{Code: azuretiller.CodeNoServer, RetryAfter: retryAfter}
	}
	s.busy[best.ID]++
	return message.Grant{Code: azuretiller.CodeOK, Server: best.ID, Address: best.Address, Service: service}
}

func (s *Solo) pick(backends []config.Backend) azuretiller.ServiceID {
	total := 0
	for _, b := range backends {
		total += b.Weight
	}
	if total <= 0 {
		return ""
	}
	n := s.random.IntN(total)
	for _, b := range backends {
		if n -= b.Weight; n < 0 {
			return b.Service
		}
	}
	return backends[len(backends)-1].Service
}

// Finish takes the result of an attempt that Place granted.
func (s *Solo) Finish(now time.Time, server azuretiller.InstanceID, result message.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[server]--; s.busy[server] <= 0 {
		delete(s.busy, server)
	}
	if result != message.Succeeded && result != message.Cancelled {
		s.failed[server] = now
	}
}
