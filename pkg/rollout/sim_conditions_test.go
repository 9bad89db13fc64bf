package rollout

import (
	"math/rand/v2"
	"time"

	"github.com/azuretiller/azuretiller/pkg/message"
)

// simConditions are conditions of a whole fleet that the basic simulation lacks.
type simConditions struct {
	// avoidGray: old servers are chosen by their recent results, while target servers are visited without knowledge of them. Up to 3 in 10
	// servers are gray.
	avoidGray bool
	// hang: gray servers do not respond, and idempotent requests are sent to a second server.
	hang bool
	// coldStart: servers are slower at first.
	coldStart bool
	// rareRoutes: a tenth of the requests belongs to many short routes, and on one more all requests time out.
	rareRoutes bool
	// large: a service with as many servers and requests as the one of a play in which a good version was reverted.
	large bool
}

const (
	simColdTime   = 3 * time.Second
	simSlowdown   = 2
	rareRoutes    = 10
	rareShare     = 0.1
	deadShare     = 0.005
	hedgeAfter    = 600 * time.Millisecond
	resultsMemory = 3 * time.Second
	leastSuccess  = 0.6
)

// apply changes the configuration. It uses random numbers of its own, so that the basic one of the seed stays the same.
func (c *simConfig) apply(seed uint64, conditions simConditions) {
	r := rand.New(rand.NewPCG(seed, 12))
	c.simConditions, c.deadRoute = conditions, -1
	c.idempotentShare = r.Float64()
	if (conditions.avoidGray || conditions.hang) && chance(r, 0.7) {
		c.grayShare, c.grayFailureRate, c.grayPeriod = 0.2+0.1*r.Float64(), 0.5+0.25*r.Float64(), 2+4*r.Float64()
	}
	if conditions.large {
		c.duration, c.slots, c.oldCount, c.newCount = 16*time.Second, 6, 163, 107
		c.rate = 450
		for i := range c.routeTimes {
			c.routeTimes[i] = 500 * time.Millisecond
		}
		c.utilisation = c.rate * 0.5 / float64(c.oldCount*c.slots)
		c.leaderChanges = nil
	}
	if conditions.hang {
		c.grayManner = message.TimedOut
		if c.grayShare > 0 {
			c.grayFailureRate = 0.75
		}
	}
	if !conditions.rareRoutes {
		return
	}
	main := min(len(c.routeTimes), 1+r.IntN(2))
	c.routeTimes, c.badRoute = c.routeTimes[:main], c.badRoute%main
	whole := c.routeShares[main-1]
	c.routeShares = c.routeShares[:main]
	for i := range c.routeShares {
		c.routeShares[i] *= (1 - rareShare) / whole
	}
	for i := range rareRoutes {
		c.routeShares = append(c.routeShares, 1-rareShare+(rareShare-deadShare)*float64(i+1)/rareRoutes)
		c.routeTimes = append(c.routeTimes, between(r, 3*time.Millisecond, 10*time.Millisecond))
	}
	c.deadRoute = len(c.routeTimes)
	c.routeShares = append(c.routeShares, 1)
	c.routeTimes = append(c.routeTimes, 10*time.Millisecond)
}

// hedge returns the time at which a hanging attempt is cancelled since a second server was asked, or 0.
func (sim *simulation) hedge(a *simAttempt) time.Duration {
	if !sim.hang || a.result != message.TimedOut || a.request.second || !chance(sim.random, sim.idempotentShare) {
		return 0
	}
	if chance(sim.random, 0.3) {
		return between(sim.random, 1700*time.Millisecond, 2400*time.Millisecond)
	}
	return hedgeAfter + between(sim.random, 0, 50*time.Millisecond)
}

// suspected reports whether the results of a server let the scheduler avoid it.
func (sim *simulation) suspected(s *simServer) bool {
	if !sim.avoidGray {
		return sim.schedule.Now().Sub(s.failed) < time.Second
	}
	s.results.decay(sim.schedule.Now(), resultsMemory)
	return 1-(s.results.failed+0.1)/(s.results.count+1) < leastSuccess+0.2
}
