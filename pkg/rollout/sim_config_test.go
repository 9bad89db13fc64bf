package rollout

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/azuretiller/azuretiller/pkg/message"
)

// faultTrigger says when a bad version is bad.
type faultTrigger string

const (
	triggerAlways faultTrigger = "always"
	triggerLate   faultTrigger = "late"
	triggerLoad   faultTrigger = "under load"
	triggerRoute  faultTrigger = "one route"
)

// simConfig describes one simulated rollout.
type simConfig struct {
	simConditions
	// idempotentShare is the share of requests that may be hedged, and deadRoute the route on which all requests time out, or -1.
	idempotentShare float64
	deadRoute       int

	random   *rand.Rand
	duration time.Duration
	// seenAfter is the time from the order to its first sight by the leader.
	seenAfter time.Duration
	rate      float64
	// routeShares are the cumulative shares of the routes, and routeTimes their mean service times.
	routeShares []float64
	routeTimes  []time.Duration
	// spread is the parameter of the service time distribution: 0 for exponential, otherwise the sigma of a lognormal one.
	spread             float64
	slots              int
	oldCount, newCount int
	utilisation        float64

	// bad describes the version. Its responses fail with probability failureRate in the given manner, or take slowFactor times
	// longer.
	bad         bool
	trigger     faultTrigger
	failureRate float64
	manner      message.Result
	slowFactor  float64
	onset       time.Duration
	badRoute    int

	normalFailureRate                       float64
	grayShare, grayFailureRate, grayPeriod  float64
	grayManner                              message.Result
	shedFrom, shedTo                        time.Duration
	shedShare                               float64
	burstFrom, burstTo                      time.Duration
	burstFactor                             float64
	replaceEvery                            time.Duration
	vms                                     int
	vmLostAt                                time.Duration
	slowLinkFrom, slowLinkTo                time.Duration
	slowLink                                time.Duration
	leaderChanges                           []leaderChange
	storeOutageFrom, storeOutageTo          time.Duration
	storeLatency                            time.Duration
	attemptTimeout, confirmView, cancelLost time.Duration
}

// leaderChange is the loss of the leader. Until its successor decides there is no leader, and the lost one may go on deciding for a
// part of the VMs.
type leaderChange struct {
	at, gap time.Duration
	// overlap is the time in which both decide.
	overlap time.Duration
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Float64()*float64(high-low))
}

func chance(r *rand.Rand, p float64) bool { return r.Float64() < p }

func newSimConfig(seed uint64, conditions simConditions) *simConfig {
	r := rand.New(rand.NewPCG(seed, 11))
	c := &simConfig{random: r}
	c.duration = between(r, 12*time.Second, 16*time.Second)
	c.seenAfter = between(r, 20*time.Millisecond, 400*time.Millisecond)
	c.slots = 2 + r.IntN(5)
	c.configureTraffic(r)
	c.configureVersion(r)
	c.configureEvents(r)
	c.apply(seed, conditions)
	return c
}

func (c *simConfig) configureTraffic(r *rand.Rand) {
	routes := 1 + r.IntN(4)
	sum, mean := 0.0, 0.0
	for range routes {
		weight := 0.3 + 0.7*r.Float64()
		took := between(r, 100*time.Millisecond, 600*time.Millisecond)
		sum += weight
		mean += weight * took.Seconds()
		c.routeShares = append(c.routeShares, sum)
		c.routeTimes = append(c.routeTimes, took)
	}
	for i := range c.routeShares {
		c.routeShares[i] /= sum
	}
	mean /= sum
	c.rate = 10 * math.Pow(60, r.Float64())
	c.utilisation = 0.3 + 0.4*r.Float64()
	servers := c.rate * mean / (float64(c.slots) * c.utilisation)
	c.oldCount = int(math.Ceil(min(160, max(8, servers))))
	c.rate = min(c.rate, float64(c.oldCount)*float64(c.slots)*c.utilisation/mean)
	c.newCount = max(8, int(float64(c.oldCount)*(0.9+0.2*r.Float64())))
	c.utilisation = c.rate * mean / float64(c.oldCount*c.slots)
	if chance(r, 0.7) {
		c.spread = 0.15 + 0.45*r.Float64()
	}
	c.attemptTimeout = between(r, 2500*time.Millisecond, 5*time.Second)
	c.normalFailureRate = 0.015 * r.Float64()
}

func (c *simConfig) configureVersion(r *rand.Rand) {
	c.bad = chance(r, 0.5)
	c.failureRate = 0.3 + 0.7*r.Float64()
	c.manner = []message.Result{message.Failed, message.Failed, message.Reset, message.TimedOut}[r.IntN(4)]
	if chance(r, 0.35) {
		c.failureRate, c.slowFactor = 0, 3+3*r.Float64()
	}
	c.trigger = []faultTrigger{triggerAlways, triggerLate, triggerLoad, triggerRoute}[r.IntN(4)]
	if c.trigger == triggerLate {
		c.onset = time.Duration((0.05 + 0.5*r.Float64()) * float64(c.duration))
	}
	c.badRoute = r.IntN(len(c.routeTimes))
}

func (c *simConfig) configureEvents(r *rand.Rand) {
	c.grayPeriod = 1 + 5*r.Float64()
	c.grayManner = []message.Result{message.Failed, message.Reset, message.TimedOut}[r.IntN(3)]
	if chance(r, 0.6) {
		c.grayShare, c.grayFailureRate = 0.3*r.Float64(), 0.3+0.45*r.Float64()
		if chance(r, 0.3) {
			c.grayShare, c.grayFailureRate = 0.3, 0.75
		}
	}
	if chance(r, 0.3) {
		c.shedFrom = between(r, 0, c.duration)
		c.shedTo = c.shedFrom + between(r, 300*time.Millisecond, 3*time.Second)
		c.shedShare = 0.3 + 0.7*r.Float64()
	}
	c.burstFactor = 1
	if chance(r, 0.4) {
		c.burstFrom = between(r, 0, c.duration)
		c.burstTo = c.burstFrom + between(r, 300*time.Millisecond, 3*time.Second)
		c.burstFactor = 1.5 + 2*r.Float64()
	}
	if chance(r, 0.3) {
		c.replaceEvery = between(r, 500*time.Millisecond, 2*time.Second)
	}
	c.vms = 4 + r.IntN(20)
	if chance(r, 0.3) {
		c.vmLostAt = between(r, 0, c.duration)
	}
	c.cancelLost = between(r, 700*time.Millisecond, 1500*time.Millisecond)
	if chance(r, 0.3) {
		c.slowLinkFrom = between(r, 0, c.duration)
		c.slowLinkTo = c.slowLinkFrom + between(r, time.Second, 5*time.Second)
		c.slowLink = between(r, 30*time.Millisecond, 300*time.Millisecond)
	}
	if chance(r, 0.35) {
		for range 1 + r.IntN(2) {
			change := leaderChange{at: between(r, 0, c.duration), gap: between(r, 300*time.Millisecond, 2*time.Second)}
			if chance(r, 0.5) {
				change.overlap = between(r, 0, time.Second)
			}
			if n := len(c.leaderChanges); n == 0 || change.at > c.leaderChanges[n-1].at+4*time.Second {
				c.leaderChanges = append(c.leaderChanges, change)
			}
		}
	}
	c.storeLatency = between(r, 3*time.Millisecond, 60*time.Millisecond)
	if chance(r, 0.15) {
		c.storeOutageFrom = between(r, 0, c.duration)
		c.storeOutageTo = c.storeOutageFrom + between(r, 300*time.Millisecond, 1500*time.Millisecond)
	}
	c.confirmView = between(r, 50*time.Millisecond, 500*time.Millisecond)
}

// serviceTime returns the time that a request of the route takes on a healthy server.
func (c *simConfig) serviceTime(route int) time.Duration {
	mean := float64(c.routeTimes[route])
	if c.spread == 0 {
		return time.Duration(mean * min(5, c.random.ExpFloat64()))
	}
	return time.Duration(mean * math.Exp(c.spread*c.random.NormFloat64()-c.spread*c.spread/2))
}

func (c *simConfig) route() int {
	x := c.random.Float64()
	for i, share := range c.routeShares {
		if x < share {
			return i
		}
	}
	return len(c.routeShares) - 1
}

// loadThreshold is the number of requests on a server from which a version with triggerLoad is bad: more than the average of
// a server that gets its share of the requests.
func (c *simConfig) loadThreshold() int {
	return max(2, int(math.Ceil(c.utilisation*float64(c.slots))))
}
