package scheduler

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/retryafter"
	"github.com/azuretiller/azuretiller/pkg/virtualtime"
)

// shortageRoute is one kind of request to a service that has too little capacity.
type shortageRoute struct {
	id          azuretiller.RouteID
	priority    int
	rate        float64
	serviceTime time.Duration
	target      time.Duration
	idempotent  bool
	// shared means that the service is only one of several that serve the route.
	shared bool
	// value is what callers lose without a response.
	value float64
}

// shortage describes a service during and around a time with too little capacity.
type shortage struct {
	servers, slots int
	routes         []shortageRoute
	// factor is by how much the rates rise between from and until, and greedy by how much more those of the first of 5 teams do.
	factor, greedy float64
	// shed returns the share of requests that a server sheds between from and until.
	shed        func(server int) float64
	from, until time.Duration
	duration    time.Duration
	// impatient is the share of callers that retry at once after a refusal. The others wait for Retry-After.
	impatient  float64
	retrySlack float64
	// final means that no caller tries again.
	final bool
}

// shortageCounts counts calls, not their tries, of those that began while capacity was short.
type shortageCounts struct {
	calls, inTime, tries, refusedAtOnce, refusedLate, failed int
}

func (c shortageCounts) share() float64 { return float64(c.inTime) / float64(max(c.calls, 1)) }

func (c shortageCounts) String() string {
	return fmt.Sprintf("%d calls, in time %.4f, %.2f tries, refused at once %d, late %d, failed %d", c.calls, c.share(),
		float64(c.tries)/float64(max(c.calls, 1)), c.refusedAtOnce, c.refusedLate, c.failed)
}

type shortageCall struct {
	route     shortageRoute
	team      int
	impatient bool
	counted   bool
	// begun is the time of the first try and started that of the newest.
	begun, started time.Time
	tries          int
	attempted      []azuretiller.InstanceID
}

type shortageSimulation struct {
	shortage  shortage
	random    *rand.Rand
	schedule  *virtualtime.Schedule
	scheduler *Scheduler
	calls     map[uint64]*shortageCall
	last      uint64
	byRoute   map[azuretiller.RouteID]*shortageCounts
	// greedy and others are the calls of the team that sends more and of the other teams; patient and impatient are those of the others by
	// how they retry.
	greedy, others, patient, impatient shortageCounts
	value                              float64
	// retries counts attempts after the first by route, and busy is the slot time that was used.
	retries map[azuretiller.RouteID]int
	busy    time.Duration
	// returns counts tries after Retry-After by the 50 ms in which they began.
	returns map[int64]int
}

func newShortageSimulation(s shortage, seed uint64) *shortageSimulation {
	sim := &shortageSimulation{
		shortage: s, random: rand.New(rand.NewPCG(seed, 13)), schedule: virtualtime.New(startTime()),
		scheduler: New(Params{RetryRatio: 0.2, RetrySlack: s.retrySlack, FavorUrgent: true}, invariant.NewPanicking(), NewTickets(0)),
		calls:     map[uint64]*shortageCall{}, byRoute: map[azuretiller.RouteID]*shortageCounts{}, retries: map[azuretiller.RouteID]int{},
		returns: map[int64]int{},
	}
	var servers []Server
	for i := range s.servers {
		servers = append(servers, Server{ID: instanceID(i), Address: instanceAddress(i), Slots: s.slots})
	}
	sim.scheduler.SetServers(startTime(), servers)
	return sim
}

func (sim *shortageSimulation) run() {
	for _, r := range sim.shortage.routes {
		sim.byRoute[r.id] = &shortageCounts{}
		for team := range 5 {
			sim.scheduleArrival(r, team)
		}
	}
	sim.scheduleTick()
	sim.schedule.Run(sim.shortage.duration)
}

func (sim *shortageSimulation) scheduleTick() {
	sim.schedule.After(50*time.Millisecond, func() {
		sim.apply(sim.scheduler.Tick(sim.schedule.Now()))
		sim.scheduleTick()
	})
}

func (sim *shortageSimulation) isShort() bool {
	at := sim.schedule.Now().Sub(startTime())
	return at >= sim.shortage.from && at < sim.shortage.until
}

func (sim *shortageSimulation) scheduleArrival(r shortageRoute, team int) {
	rate := r.rate / 5
	if sim.isShort() {
		rate *= sim.shortage.factor
		if team == 0 {
			rate *= sim.shortage.greedy
		}
	}
	sim.schedule.After(min(exponential(sim.random, rate), time.Second), func() {
		call := &shortageCall{route: r, team: team, impatient: sim.random.Float64() < sim.shortage.impatient, counted: sim.isShort(), begun: sim.schedule.Now()}
		sim.count(call, func(c *shortageCounts) { c.calls++ })
		sim.try(call)
		sim.scheduleArrival(r, team)
	})
}

func (sim *shortageSimulation) count(call *shortageCall, change func(*shortageCounts)) {
	if !call.counted {
		return
	}
	change(sim.byRoute[call.route.id])
	if call.team == 0 {
		change(&sim.greedy)
		return
	}
	change(&sim.others)
	if call.impatient {
		change(&sim.impatient)
	} else {
		change(&sim.patient)
	}
}

// try sends the caller's request again, as a new request.
func (sim *shortageSimulation) try(call *shortageCall) {
	call.tries++
	call.attempted = nil
	call.started = sim.schedule.Now()
	sim.count(call, func(c *shortageCounts) { c.tries++ })
	sim.submit(call, false)
}

func (sim *shortageSimulation) submit(call *shortageCall, sent bool) {
	sim.last++
	sim.calls[sim.last] = call
	now := sim.schedule.Now()
	sim.apply(sim.scheduler.Submit(now, Request{
		Key: Key{From: "vm", Call: sim.last}, ID: strconv.FormatUint(sim.last, 10), Team: azuretiller.TeamID("team-" + strconv.Itoa(call.team)), Route: call.route.id,
		Priority: call.route.priority, Shared: call.route.shared, Idempotent: call.route.idempotent, SubmittedBefore: len(call.attempted) > 0, PreviouslySent: sent, Tried: call.attempted,
		Deadline: call.started.Add(3 * call.route.target), SoftDeadline: call.started.Add(call.route.target),
	}))
}

func (sim *shortageSimulation) apply(decisions []Decision) {
	for _, d := range decisions {
		switch {
		case d.Queued:
		case d.Code != azuretiller.CodeOK:
			sim.refused(sim.calls[d.Key.Call], retryafter.Spread(d.RetryAfter, d.ID))
		default:
			sim.start(sim.calls[d.Key.Call], d)
		}
	}
}

// refused lets the caller try again until it has waited for 3 s or tried 20 times.
func (sim *shortageSimulation) refused(call *shortageCall, wait time.Duration) {
	now := sim.schedule.Now()
	sim.count(call, func(c *shortageCounts) {
		if now.Sub(call.started) > 20*time.Millisecond {
			c.refusedLate++
		} else {
			c.refusedAtOnce++
		}
	})
	if call.impatient {
		wait = 5 * time.Millisecond
	}
	if sim.shortage.final || now.Add(wait).Sub(call.begun) > 3*time.Second || call.tries >= 20 {
		return
	}
	if !call.impatient {
		sim.returns[now.Add(wait).Sub(startTime()).Milliseconds()/50]++
	}
	sim.schedule.After(wait, func() { sim.try(call) })
}

func (sim *shortageSimulation) start(call *shortageCall, d Decision) {
	server, _ := strconv.Atoi(string(d.Server.ID))
	if len(call.attempted) > 0 {
		sim.retries[call.route.id]++
	}
	call.attempted = append(call.attempted, d.Server.ID)
	took := time.Duration((0.5 + 0.5*sim.random.ExpFloat64()) * float64(call.route.serviceTime))
	shed := sim.shortage.shed != nil && sim.isShort() && sim.random.Float64() < sim.shortage.shed(server)
	if shed {
		took = 2 * time.Millisecond
	}
	if sim.isShort() {
		sim.busy += took
	}
	sim.schedule.After(took, func() {
		now := sim.schedule.Now()
		result := message.Succeeded
		if shed {
			result = message.Shed
		} else if now.Sub(call.started) <= call.route.target {
			sim.count(call, func(c *shortageCounts) { c.inTime++ })
			if call.counted {
				sim.value += call.route.value
			}
		}
		decisions, _ := sim.scheduler.Finish(now, d.Ticket, result, took, 0)
		sim.apply(decisions)
		if !shed {
			return
		}
		if len(call.attempted) < 3 {
			// A shed request did not run, but its second attempt counts against the retry budget.
			sim.submit(call, true)
			return
		}
		sim.count(call, func(c *shortageCounts) { c.failed++ })
	})
}

func (sim *shortageSimulation) String() string {
	text := fmt.Sprintf("value %.0f", sim.value)
	for _, r := range sim.shortage.routes {
		text += fmt.Sprintf("\n  %s: %s, %d retries", r.id, sim.byRoute[r.id], sim.retries[r.id])
	}
	return text + fmt.Sprintf("\n  greedy team: %s\n  other teams: %s\n  patient: %s\n  impatient: %s", sim.greedy, sim.others, sim.patient, sim.impatient)
}
