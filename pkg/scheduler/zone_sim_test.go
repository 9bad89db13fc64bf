package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/virtualtime"
)

const (
	// demandVariation is how far the demand of a zone rises and falls around its mean, as a share of the mean.
	demandVariation = 0.55
	// demandPeriod is the time between two peaks of a zone. The zones' phases are a quarter of it apart.
	demandPeriod = 20 * time.Second
	// zoneCrossing is the added network delay of one direction between two zones.
	zoneCrossing = time.Millisecond
)

// zoneRoute is one kind of request in a zone simulation.
type zoneRoute struct {
	id         azuretiller.RouteID
	share      float64
	bytes      int
	idempotent bool
	priority   int
}

// zoneWorkload describes callers and servers in several zones.
type zoneWorkload struct {
	// servers is the number of servers in each zone.
	servers     []int
	slots       int
	serviceTime time.Duration
	// load is the mean demand as a share of the capacity of all servers.
	load float64
	// grayShare is the share of the servers that turn gray every 9 s for about 3 s.
	grayShare float64
	routes    []zoneRoute
	duration  time.Duration
	// demand returns the demand of a zone as a factor of the mean, nil for one that varies by demandVariation. closedZone is the number of
	// the zone whose servers are closed, or -1.
	demand     func(zone int) float64
	closedZone int
}

// mixedRoutes are reads, orders that are not idempotent, and downloads.
func mixedRoutes() []zoneRoute {
	return []zoneRoute{
		{id: "read", share: 0.5, bytes: 1536, idempotent: true},
		{id: "order", share: 0.25, bytes: 1536},
		{id: "download", share: 0.25, bytes: 90 * 1024, idempotent: true, priority: 1},
	}
}

type zoneCounts struct {
	submitted, inTime, failed, rejected, crossed int
	crossedBytes                                 float64
}

func (c *zoneCounts) add(o zoneCounts) {
	c.submitted += o.submitted
	c.inTime += o.inTime
	c.failed += o.failed
	c.rejected += o.rejected
	c.crossed += o.crossed
	c.crossedBytes += o.crossedBytes
}

func (c zoneCounts) inTimeShare() float64 { return float64(c.inTime) / float64(max(c.submitted, 1)) }

func (c zoneCounts) String() string {
	return fmt.Sprintf("submitted %d, in time %.4f, failed %.4f, rejected %.4f, %.4f attempts in another zone for each request, %.2f MB from it", c.submitted, c.inTimeShare(),
		float64(c.failed)/float64(max(c.submitted, 1)), float64(c.rejected)/float64(max(c.submitted, 1)), float64(c.crossed)/float64(max(c.submitted, 1)), c.crossedBytes/1e6)
}

type zoneServer struct {
	zone      int
	grayUntil time.Time
	// used is the time of the newest request that the server got.
	used time.Time
}

type zoneCall struct {
	route   zoneRoute
	zone    int
	started time.Time
	tried   []azuretiller.InstanceID
	// random draws the service times of the call, so that two schedulers on the same seed get the same ones.
	random *rand.Rand
}

// zoneSimulation runs a zoneWorkload in virtual time.
type zoneSimulation struct {
	workload  zoneWorkload
	random    *rand.Rand
	seed      uint64
	schedule  *virtualtime.Schedule
	scheduler *Scheduler
	servers   []*zoneServer
	calls     map[uint64]*zoneCall
	requests  map[string]*zoneCall
	lastCall  uint64
	lastID    int
	byRoute   map[azuretiller.RouteID]*zoneCounts
	byZone    []zoneCounts
	// crossings counts the attempts in other zones by the reason that the scheduler gave.
	crossings map[string]int
	// decisions are all decisions in order, if record is set.
	record    bool
	decisions []Decision
}

func zoneName(i int) azuretiller.Zone { return azuretiller.Zone("zone-" + strconv.Itoa(i)) }

// todaysParams are the parameters with which the edge runs the scheduler in deployments that must survive the loss of a zone.
func todaysParams() Params {
	return Params{RetryRatio: 0.2, RetrySlack: 200, CrossZoneCost: 0.03, CrossZoneCostPerKiB: 0.0035}
}

func newZoneSimulation(w zoneWorkload, seed uint64, p Params) *zoneSimulation {
	sim := &zoneSimulation{
		workload:  w,
		random:    rand.New(rand.NewPCG(seed, 11)),
		seed:      seed,
		schedule:  virtualtime.New(startTime()),
		scheduler: New(p, invariant.NewPanicking(), NewTickets(0)),
		calls:     map[uint64]*zoneCall{},
		requests:  map[string]*zoneCall{},
		byRoute:   map[azuretiller.RouteID]*zoneCounts{},
		byZone:    make([]zoneCounts, len(w.servers)),
		crossings: map[string]int{},
	}
	var servers []Server
	for zone, n := range w.servers {
		for range n {
			id := instanceID(len(servers))
			servers = append(servers, Server{ID: id, Address: instanceAddress(len(servers)), Zone: zoneName(zone), Slots: w.slots, Closed: zone == w.closedZone})
			sim.servers = append(sim.servers, &zoneServer{zone: zone})
		}
	}
	for _, r := range w.routes {
		sim.byRoute[r.id] = &zoneCounts{}
	}
	sim.scheduler.SetServers(startTime(), servers)
	return sim
}

func (sim *zoneSimulation) run() zoneCounts {
	for zone := range sim.workload.servers {
		sim.scheduleArrival(zone, rand.New(rand.NewPCG(sim.seed, uint64(100+zone))))
	}
	sim.scheduleGray()
	sim.scheduleTick()
	sim.schedule.Run(sim.workload.duration)
	total := zoneCounts{}
	for _, c := range sim.byRoute {
		total.add(*c)
	}
	return total
}

func (sim *zoneSimulation) scheduleTick() {
	sim.schedule.After(50*time.Millisecond, func() {
		sim.apply(sim.scheduler.Tick(sim.schedule.Now()))
		sim.scheduleTick()
	})
}

func (sim *zoneSimulation) scheduleGray() {
	if sim.workload.grayShare <= 0 {
		return
	}
	sim.schedule.After(9*time.Second, func() {
		for _, s := range sim.servers {
			if sim.random.Float64() < sim.workload.grayShare {
				s.grayUntil = sim.schedule.Now().Add(time.Duration((2 + 2*sim.random.Float64()) * float64(time.Second)))
			}
		}
		sim.scheduleGray()
	})
}

// demand returns the request rate of a zone. All zones have the same mean demand.
func (sim *zoneSimulation) demand(zone int) float64 {
	servers := 0
	for _, n := range sim.workload.servers {
		servers += n
	}
	mean := sim.workload.load * float64(servers*sim.workload.slots) / sim.workload.serviceTime.Seconds() / float64(len(sim.workload.servers))
	if sim.workload.demand != nil {
		return mean * sim.workload.demand(zone)
	}
	at := sim.schedule.Now().Sub(startTime()).Seconds()/demandPeriod.Seconds() + float64(zone)/float64(len(sim.workload.servers))
	return mean * (1 + demandVariation*math.Sin(2*math.Pi*at))
}

func (sim *zoneSimulation) scheduleArrival(zone int, random *rand.Rand) {
	sim.schedule.After(exponential(random, max(sim.demand(zone), 1e-6)), func() {
		sim.lastID++
		call := &zoneCall{zone: zone, started: sim.schedule.Now(), random: rand.New(rand.NewPCG(sim.seed, random.Uint64()))}
		pick := random.Float64()
		for _, r := range sim.workload.routes {
			call.route = r
			if pick -= r.share; pick < 0 {
				break
			}
		}
		sim.count(call, func(c *zoneCounts) { c.submitted++ })
		sim.submit(call, strconv.Itoa(sim.lastID), false)
		sim.scheduleArrival(zone, random)
	})
}

func (sim *zoneSimulation) count(call *zoneCall, change func(*zoneCounts)) {
	change(sim.byRoute[call.route.id])
	change(&sim.byZone[call.zone])
}

// target returns the target latency, four times the mean service time.
func (sim *zoneSimulation) target() time.Duration { return 4 * sim.workload.serviceTime }

func (sim *zoneSimulation) submit(call *zoneCall, id string, sent bool) {
	sim.lastCall++
	sim.calls[sim.lastCall] = call
	sim.requests[id] = call
	now := sim.schedule.Now()
	sim.apply(sim.scheduler.Submit(now, Request{
		Key: Key{From: "vm-" + strconv.Itoa(call.zone), Call: sim.lastCall}, ID: id, Zone: zoneName(call.zone), Team: "team", Route: call.route.id,
		Priority: call.route.priority, Idempotent: call.route.idempotent, SubmittedBefore: len(call.tried) > 0, PreviouslySent: sent, Tried: call.tried,
		Deadline: call.started.Add(3 * sim.target()), SoftDeadline: call.started.Add(sim.target()),
	}))
}

func (sim *zoneSimulation) apply(decisions []Decision) {
	for _, d := range decisions {
		if sim.record {
			sim.decisions = append(sim.decisions, d)
		}
		call := sim.calls[d.Key.Call]
		switch {
		case d.Queued:
		case d.Code != azuretiller.CodeOK:
			sim.count(call, func(c *zoneCounts) { c.rejected++ })
		default:
			sim.start(call, d)
		}
	}
}

func (sim *zoneSimulation) start(call *zoneCall, d Decision) {
	i, _ := strconv.Atoi(string(d.Server.ID))
	s := sim.servers[i]
	now := sim.schedule.Now()
	s.used = now
	call.tried = append(call.tried, d.Server.ID)
	took := time.Duration((0.6 + 0.4*call.random.ExpFloat64()) * float64(sim.workload.serviceTime))
	failed := call.random.Float64() < 0.012 || now.Before(s.grayUntil) && call.random.Float64() < 0.75
	if failed {
		took = 3 * time.Millisecond
	}
	if s.zone != call.zone {
		took += 2 * zoneCrossing
		sim.crossings[d.Crossing.String()]++
		sim.count(call, func(c *zoneCounts) {
			c.crossed++
			if !failed {
				c.crossedBytes += float64(call.route.bytes)
			}
		})
	}
	sim.schedule.After(took, func() {
		now := sim.schedule.Now()
		if !failed {
			if now.Sub(call.started) <= sim.target() {
				sim.count(call, func(c *zoneCounts) { c.inTime++ })
			}
			decisions, _ := sim.scheduler.Finish(now, d.Ticket, message.Succeeded, took, call.route.bytes)
			sim.apply(decisions)
			return
		}
		decisions, _ := sim.scheduler.Finish(now, d.Ticket, message.Failed, took, 0)
		sim.apply(decisions)
		if call.route.idempotent && len(call.tried) < 3 {
			sim.submit(call, d.ID, true)
			return
		}
		sim.count(call, func(c *zoneCounts) { c.failed++ })
	})
}
