package scheduler

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/virtualtime"
)

// workload describes the callers and backend servers of a simulation.
type workload struct {
	servers int
	// requestRate is in requests a second. serviceTime is the mean service time.
	requestRate float64
	serviceTime time.Duration
	// grayRate and recoveryRate are the rates at which a server turns gray and recovers, in 1/s. grayFailureRate is the
	// share of requests that fail on a gray server.
	grayRate, recoveryRate, grayFailureRate float64
	// shedShare is the share of requests that each server sheds.
	shedShare  float64
	idempotent bool
	deadline   time.Duration
	duration   time.Duration
	// rateFactor returns the factor by which the request rate is multiplied at a time after the start. Nil means 1.
	rateFactor func(at time.Duration) float64
}

// targetLatency is the target latency of the requests.
const targetLatency = 800 * time.Millisecond

// counts holds the number of requests by outcome.
type counts struct {
	submitted, served, failed, rejected, shed int
	// inTime counts the answers within the target latency.
	inTime int
}

func (c counts) lossRate() float64 { return float64(c.failed+c.rejected+c.shed) / float64(c.submitted) }

// placer assigns requests to servers in a simulation. The scheduler and the simpler algorithms in comparison implement it.
type placer interface {
	submit(now time.Time, id int, idempotent bool, tried []azuretiller.InstanceID, deadline time.Time) []placement
	finish(now time.Time, p placement, result message.Result, took time.Duration) []placement
	tick(now time.Time) []placement
}

// placement is a decision on one request. A server of -1 means that the request is rejected.
type placement struct {
	id     int
	server int
	ticket message.TicketID
}

type simServer struct {
	gray bool
	busy int
}

// simulation runs a workload in virtual time.
type simulation struct {
	workload   workload
	random     *rand.Rand
	schedule   *virtualtime.Schedule
	servers    []*simServer
	placer     placer
	counts     counts
	startTimes map[int]time.Time
	tried      map[int][]azuretiller.InstanceID
	nextID     int
}

func startTime() time.Time { return time.Unix(1_000_000, 0) }

func simulate(w workload, seed uint64, make func(*simulation) placer) counts {
	sim := &simulation{
		workload:   w,
		random:     rand.New(rand.NewPCG(seed, 7)),
		schedule:   virtualtime.New(startTime()),
		startTimes: map[int]time.Time{},
		tried:      map[int][]azuretiller.InstanceID{},
	}
	for range w.servers {
		sim.servers = append(sim.servers, &simServer{gray: sim.random.Float64() < w.grayRate/max(w.grayRate+w.recoveryRate, 1e-9)})
	}
	sim.placer = make(sim)
	for i := range sim.servers {
		sim.scheduleGrayChange(i)
	}
	sim.scheduleArrival()
	sim.scheduleTick()
	sim.schedule.Run(w.duration)
	return sim.counts
}

func exponential(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

func (sim *simulation) scheduleGrayChange(i int) {
	s := sim.servers[i]
	rate := sim.workload.grayRate
	if s.gray {
		rate = sim.workload.recoveryRate
	}
	if rate <= 0 {
		return
	}
	sim.schedule.After(exponential(sim.random, rate), func() {
		s.gray = !s.gray
		sim.scheduleGrayChange(i)
	})
}

func (sim *simulation) scheduleTick() {
	sim.schedule.After(50*time.Millisecond, func() {
		sim.applyPlacements(sim.placer.tick(sim.schedule.Now()))
		sim.scheduleTick()
	})
}

func (sim *simulation) scheduleArrival() {
	rate := sim.workload.requestRate
	if sim.workload.rateFactor != nil {
		rate *= sim.workload.rateFactor(sim.schedule.Now().Sub(startTime()))
	}
	sim.schedule.After(exponential(sim.random, rate), func() {
		id := sim.nextID
		sim.nextID++
		now := sim.schedule.Now()
		sim.startTimes[id] = now
		sim.counts.submitted++
		sim.applyPlacements(sim.placer.submit(now, id, sim.workload.idempotent, nil, now.Add(sim.workload.deadline)))
		sim.scheduleArrival()
	})
}

func (sim *simulation) applyPlacements(placements []placement) {
	for _, p := range placements {
		if p.server < 0 {
			sim.counts.rejected++
			continue
		}
		sim.startRequest(p)
	}
}

func (sim *simulation) startRequest(p placement) {
	s := sim.servers[p.server]
	sim.tried[p.id] = append(sim.tried[p.id], instanceID(p.server))
	s.busy++
	took := exponential(sim.random, 1/sim.workload.serviceTime.Seconds())
	result := message.Succeeded
	switch {
	case sim.workload.shedShare > 0 && sim.random.Float64() < sim.workload.shedShare:
		result = message.Shed
	case s.gray && sim.random.Float64() < sim.workload.grayFailureRate || sim.random.Float64() < 0.012:
		result = message.Failed
	}
	if result != message.Succeeded {
		took = 2 * time.Millisecond
	}
	sim.schedule.After(took, func() {
		s.busy--
		now := sim.schedule.Now()
		if result == message.Succeeded {
			sim.counts.served++
			if now.Sub(sim.startTimes[p.id]) <= targetLatency {
				sim.counts.inTime++
			}
			sim.applyPlacements(sim.placer.finish(now, p, message.Succeeded, took))
			return
		}
		sim.applyPlacements(sim.placer.finish(now, p, result, took))
		if (sim.workload.idempotent || result == message.Shed) && len(sim.tried[p.id]) < 2 {
			sim.applyPlacements(sim.placer.submit(now, p.id, sim.workload.idempotent, sim.tried[p.id], sim.startTimes[p.id].Add(sim.workload.deadline)))
			return
		}
		if result == message.Shed {
			sim.counts.shed++
			return
		}
		sim.counts.failed++
	})
}

func instanceID(i int) azuretiller.InstanceID { return azuretiller.InstanceID(strconv.Itoa(i)) }

// schedulerPlacer assigns requests with the scheduler under test.
type schedulerPlacer struct{ scheduler *Scheduler }

func newSchedulerPlacer(sim *simulation) placer {
	sc := New(Params{RetryRatio: 0.2, RetrySlack: 60}, invariant.NewPanicking(), NewTickets(0))
	var servers []Server
	for i := range sim.servers {
		servers = append(servers, Server{ID: instanceID(i), Address: instanceAddress(i), Slots: 3})
	}
	sc.SetServers(startTime(), servers)
	return schedulerPlacer{sc}
}

func instanceAddress(i int) string { return "10.0.0." + strconv.Itoa(i) + ":80" }

func (sp schedulerPlacer) submit(now time.Time, id int, idempotent bool, tried []azuretiller.InstanceID, deadline time.Time) []placement {
	return placements(sp.scheduler.Submit(now, Request{
		Key:            Key{From: "vm", Call: uint64(id)},
		ID:             strconv.Itoa(id),
		Route:          "route",
		Team:           "team",
		Idempotent:     idempotent,
		PreviouslySent: len(tried) > 0,
		Tried:          tried,
		Deadline:       deadline,
		SoftDeadline:   now.Add(targetLatency),
	}))
}

func (sp schedulerPlacer) finish(now time.Time, p placement, result message.Result, took time.Duration) []placement {
	decisions, _ := sp.scheduler.Finish(now, p.ticket, result, took, 0)
	return placements(decisions)
}

func (sp schedulerPlacer) tick(now time.Time) []placement { return placements(sp.scheduler.Tick(now)) }

func placements(decisions []Decision) []placement {
	var out []placement
	for _, d := range decisions {
		if d.Queued {
			continue
		}
		p := placement{id: int(d.Key.Call), server: -1, ticket: d.Ticket}
		if d.Code == azuretiller.CodeOK {
			p.server, _ = strconv.Atoi(string(d.Server.ID))
		}
		out = append(out, p)
	}
	return out
}

// rulePlacer assigns each request at once to a random server with a free slot. It prefers servers that are not ejected.
type rulePlacer struct {
	simulation *simulation
	// ejected reports whether a server gets requests only if no other server has a free slot.
	ejected func(now time.Time, server int) bool
	// observe records a result.
	observe func(now time.Time, server int, failed bool)
}

func (rp rulePlacer) submit(now time.Time, id int, _ bool, tried []azuretiller.InstanceID, _ time.Time) []placement {
	var preferred, any []int
	for i, s := range rp.simulation.servers {
		if s.busy >= 3 || slices.Contains(tried, instanceID(i)) {
			continue
		}
		any = append(any, i)
		if !rp.ejected(now, i) {
			preferred = append(preferred, i)
		}
	}
	if len(preferred) > 0 {
		any = preferred
	}
	if len(any) == 0 {
		return []placement{{id: id, server: -1}}
	}
	return []placement{{id: id, server: any[rp.simulation.random.IntN(len(any))]}}
}

func (rp rulePlacer) finish(now time.Time, p placement, result message.Result, _ time.Duration) []placement {
	rp.observe(now, p.server, result != message.Succeeded)
	return nil
}

func (rulePlacer) tick(time.Time) []placement { return nil }

func newRandomPlacer(sim *simulation) placer {
	return rulePlacer{
		simulation: sim,
		ejected:    func(time.Time, int) bool { return false },
		observe:    func(time.Time, int, bool) {},
	}
}

// newTwoSecondEjection ejects a server for 2 s after each failure.
func newTwoSecondEjection(sim *simulation) placer {
	lastFailure := map[int]time.Time{}
	return rulePlacer{
		simulation: sim,
		ejected: func(now time.Time, server int) bool {
			at, ok := lastFailure[server]
			return ok && now.Sub(at) < 2*time.Second
		},
		observe: func(now time.Time, server int, isFailure bool) {
			if isFailure {
				lastFailure[server] = now
			}
		},
	}
}

// newOraclePlacer ejects a gray server at its first failure and readmits it as soon as it recovers. Its loss rate is a lower
// bound for schedulers that learn of gray servers from failures.
func newOraclePlacer(sim *simulation) placer {
	knownGray := map[int]bool{}
	return rulePlacer{
		simulation: sim,
		ejected: func(_ time.Time, server int) bool {
			knownGray[server] = knownGray[server] && sim.servers[server].gray
			return knownGray[server]
		},
		observe: func(_ time.Time, server int, isFailure bool) {
			if isFailure && sim.servers[server].gray {
				knownGray[server] = true
			}
		},
	}
}
