package fallback

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/tokenbucket"
)

const (
	// ejectionTime is how long a server gets no requests from this VM after one of the VM's attempts failed or was shed there.
	ejectionTime = 2 * time.Second
	// scorePenalty has three uses in the score of a server, which is in percentage points of the success probability. It is
	// subtracted if the server is in another availability zone, and again for each request that this VM runs on the server. It is
	// also the range of the random number that is added to the score.
	scorePenalty = 15
	// reservePart is the part of the tolerance for exceeding the rates that all VMs together may use while no leader answers.
	reservePart = 0.25
	// noShareRetryAfter is the time after which callers may retry while this VM may not spend its share of the rates. A lost leader is replaced
	// within a second.
	noShareRetryAfter = 300 * time.Millisecond
	// noServerRetryAfter is the time after which callers may retry when no server can be used.
	noServerRetryAfter = time.Second
)

// Placer places requests on backend servers while no leader can be reached.
type Placer struct {
	zone azuretiller.Zone

	mu       sync.Mutex
	random   *rand.Rand
	limiter  *tokenbucket.Limiter
	reserve  reserve
	failedAt map[azuretiller.InstanceID]time.Time
	running  map[azuretiller.InstanceID]int
}

// New returns a Placer for a VM in an availability zone that has just started.
func New(now time.Time, zone azuretiller.Zone, random *rand.Rand) *Placer {
	return &Placer{
		zone:     zone,
		random:   random,
		limiter:  tokenbucket.New(tokenbucket.Unspent{}),
		reserve:  reserve{startedAt: now, taken: map[azuretiller.TeamID][]time.Time{}},
		failedAt: map[azuretiller.InstanceID]time.Time{},
		running:  map[azuretiller.InstanceID]int{},
	}
}

// SetTolerance sets by how much the teams may exceed their rates.
func (p *Placer) SetTolerance(t tokenbucket.Tolerance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserve.tolerance = t
}

// SetLimits replaces the limits of the teams.
func (p *Placer) SetLimits(now time.Time, limits map[azuretiller.TeamID]tokenbucket.Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limiter.SetLimits(now, limits)
	p.reserve.limits = limits
}

// SetReserve sets the share of the rates that this VM holds, and the sum of the shares of the VMs before it. They determine which part of the
// tolerance it may use.
func (p *Placer) SetReserve(held, offset azuretiller.RateShare) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserve.share, p.reserve.offset = held, offset
}

// SetShare sets the share of the rates that this VM may spend, and returns the former one.
func (p *Placer) SetShare(now time.Time, share azuretiller.RateShare) azuretiller.RateShare {
	p.mu.Lock()
	defer p.mu.Unlock()
	former := p.limiter.Share()
	p.limiter.SetShare(now, share)
	return former
}

// HasShare reports whether this VM may spend its share of the rates.
func (p *Placer) HasShare() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limiter.Share() > 0
}

// Request describes the attempt for which Place chooses a backend server.
type Request struct {
	Team     azuretiller.TeamID
	Backends []config.Backend
	// Tried are the servers that must not get the attempt.
	Tried []azuretiller.InstanceID
	// FirstAttempt is set for the first attempt of a caller's request. Only this attempt takes a token from the team's bucket.
	FirstAttempt bool
}

// Place chooses a server, or returns the code with which the request is refused.
func (p *Placer) Place(now time.Time, r Request, servers []message.Server) message.PlaceResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.FirstAttempt {
		if wait, ok := p.limiter.Take(now, r.Team); !ok && !p.reserve.take(now, r.Team) {
			if p.limiter.Share() == 0 {
				wait = noShareRetryAfter
			}
			return message.PlaceResponse{Code: azuretiller.CodeRateUnavailable, RetryAfter: wait}
		}
	}
	service := p.pickService(r.Backends)
	var best *message.Server
	bestScore := 0
	open, excluded := 0, 0
	for i, server := range servers {
		if server.Service != service || server.Closed {
			continue
		}
		open++
		if slices.Contains(r.Tried, server.ID) {
			excluded++
			continue
		}
		if p.running[server.ID] >= server.Slots {
			continue
		}
		if at, ok := p.failedAt[server.ID]; ok && now.Sub(at) < ejectionTime {
			continue
		}
		score := server.Success + p.random.IntN(scorePenalty) - scorePenalty*p.running[server.ID]
		if server.Zone != p.zone {
			score -= scorePenalty
		}
		if best == nil || score > bestScore {
			best, bestScore = &servers[i], score
		}
	}
	if best == nil {
		code := azuretiller.CodeNoServer
		if open > 0 && open == excluded {
			code = azuretiller.CodeServersPaused
		}
		return message.PlaceResponse{Code: code, Service: service, RetryAfter: noServerRetryAfter}
	}
	p.running[best.ID]++
	return message.PlaceResponse{Code: azuretiller.CodeOK, Server: best.ID, Address: best.Address, Service: service, Incarnation: best.Incarnation}
}

// pickService returns a random service, with probabilities in proportion to the weights.
func (p *Placer) pickService(backends []config.Backend) azuretiller.ServiceID {
	total := 0
	for _, b := range backends {
		total += b.Weight
	}
	if total <= 0 {
		return ""
	}
	n := p.random.IntN(total)
	for _, b := range backends {
		if n -= b.Weight; n < 0 {
			return b.Service
		}
	}
	return backends[len(backends)-1].Service
}

// Finish records the result of an attempt for which Place chose a server.
func (p *Placer) Finish(now time.Time, server azuretiller.InstanceID, result message.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(server)
	if result != message.Succeeded && result != message.Cancelled {
		p.failedAt[server] = now
	}
}

// Eject avoids a server for a while, since its response broke off after the end of the attempt.
func (p *Placer) Eject(now time.Time, server azuretiller.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedAt[server] = now
}

// Release ends an attempt for which Place chose a server, and whose result says nothing about the server.
func (p *Placer) Release(server azuretiller.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.release(server)
}

func (p *Placer) release(server azuretiller.InstanceID) {
	if p.running[server]--; p.running[server] <= 0 {
		delete(p.running, server)
	}
}
