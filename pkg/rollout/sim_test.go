package rollout

import (
	"fmt"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/virtualtime"
)

const (
	simTick    = 50 * time.Millisecond
	simService = azuretiller.ServiceID("shop")
	simTarget  = azuretiller.Version("v2")
	// queueRetry and queueTimeout describe requests that find no free slot.
	queueRetry   = 20 * time.Millisecond
	queueTimeout = 500 * time.Millisecond
	// operatorBadLimit is the number of bad responses from which the operator counts Params.Rollback.
	operatorBadLimit = 50
)

func simStart() time.Time { return time.Unix(1_000_000, 0) }

func simParams() Params {
	return Params{ExposeShare: 0.1, ExposeSlack: 50, Rollback: 5 * time.Second}
}

type simServer struct {
	id       azuretiller.InstanceID
	onTarget bool
	gray     bool
	busy     int
	gone     bool
	failed   time.Time
	// since is the start of the server. Old servers have run for long. results are its recent responses.
	since   time.Time
	results tally
}

// simLeader is a controller with the part of the fleet's state that it knows.
type simLeader struct {
	controller *Controller
	replaced   bool
}

// simulation runs one rollout in virtual time.
type simulation struct {
	*simConfig
	schedule *virtualtime.Schedule
	old, new []*simServer
	nextID   int
	leader   *simLeader
	former   *simLeader
	// formerUntil is the end of the time in which the former leader decides for a part of the VMs.
	formerUntil time.Time
	stored      azuretiller.RolloutProgress
	oldRunning  int
	cutoverAt   time.Time

	result simResult
}

// simResult is what the operator measures.
type simResult struct {
	state   azuretiller.RolloutState
	decided time.Duration
	reason  string
	// requests and exposed are counted until the time limit, bad until the end.
	requests, exposed, bad int
	fiftiethBad, lastSent  time.Duration
	writes                 int
	oldAfterCompletion     bool
	// trialExceeded means that the attempts exceeded the bound at some time before a cutover.
	trialExceeded bool
}

func simulate(seed uint64, conditions simConditions) (*simConfig, simResult) {
	sim := &simulation{simConfig: newSimConfig(seed, conditions), schedule: virtualtime.New(simStart())}
	for range sim.oldCount {
		sim.old = append(sim.old, sim.newServer(false))
	}
	for _, s := range sim.old {
		s.since = simStart().Add(-time.Hour)
	}
	for range sim.newCount {
		sim.new = append(sim.new, sim.newServer(true))
	}
	sim.schedule.After(sim.seenAfter, sim.startLeader)
	for _, change := range sim.leaderChanges {
		sim.schedule.After(change.at, func() { sim.changeLeader(change) })
	}
	if sim.replaceEvery > 0 {
		sim.schedule.After(sim.replaceEvery, sim.replaceServer)
	}
	sim.scheduleArrival()
	sim.schedule.Run(sim.duration + 3*time.Second)
	return sim.simConfig, sim.result
}

func (sim *simulation) elapsed() time.Duration { return sim.schedule.Now().Sub(simStart()) }

func (sim *simulation) within(from, to time.Duration) bool {
	return sim.elapsed() >= from && sim.elapsed() < to
}

func (sim *simulation) newServer(onTarget bool) *simServer {
	sim.nextID++
	s := &simServer{id: azuretiller.InstanceID(fmt.Sprintf("s%04d", sim.nextID)), onTarget: onTarget, gray: chance(sim.random, sim.grayShare), since: sim.schedule.Now()}
	sim.scheduleGray(s)
	return s
}

func (sim *simulation) scheduleGray(s *simServer) {
	if sim.grayShare == 0 {
		return
	}
	mean := sim.grayPeriod
	if !s.gray {
		mean *= (1 - sim.grayShare) / sim.grayShare
	}
	sim.schedule.After(time.Duration(sim.random.ExpFloat64()*mean*float64(time.Second)), func() {
		s.gray = !s.gray
		sim.scheduleGray(s)
	})
}

// replaceServer replaces one server by another with a new id.
func (sim *simulation) replaceServer() {
	servers := sim.old
	if chance(sim.random, 0.5) {
		servers = sim.new
	}
	i := sim.random.IntN(len(servers))
	servers[i].gone = true
	sim.schedule.After(300*time.Millisecond, func() { servers[i] = sim.newServer(servers[i].onTarget) })
	sim.schedule.After(sim.replaceEvery, sim.replaceServer)
}

func (sim *simulation) startLeader() {
	order := azuretiller.RolloutOrder{Service: simService, Target: simTarget, Duration: sim.duration}
	sim.leader = &simLeader{controller: New(sim.schedule.Now(), simParams(), order, sim.stored)}
	sim.tick(sim.leader)
}

func (sim *simulation) changeLeader(change leaderChange) {
	if sim.leader == nil {
		return
	}
	sim.former = sim.leader
	sim.leader = nil
	sim.formerUntil = sim.schedule.Now().Add(change.gap + change.overlap)
	if change.overlap == 0 {
		sim.former.replaced = true
	}
	sim.schedule.After(change.gap, func() {
		sim.former.replaced = true
		sim.startLeader()
	})
}

func (sim *simulation) tick(l *simLeader) {
	now := sim.schedule.Now()
	if l != sim.leader && (l != sim.former || !now.Before(sim.formerUntil)) {
		return
	}
	s := Servers{OldInUse: sim.oldRunning > 0 || sim.cutoverAt.IsZero() || now.Before(sim.cutoverAt.Add(sim.confirmView))}
	for _, server := range sim.old {
		s.Old = append(s.Old, Server{ID: server.id, Slots: sim.slots})
	}
	for _, server := range sim.new {
		s.Target = append(s.Target, Server{ID: server.id, Slots: sim.slots})
	}
	for _, effect := range l.controller.Tick(now, s) {
		if store, ok := effect.(StoreProgress); ok {
			sim.store(l, store.Progress)
		}
	}
	if l.controller.Phase() == Cutover && sim.cutoverAt.IsZero() {
		sim.cutoverAt = now
	}
	sim.schedule.After(simTick, func() { sim.tick(l) })
}

// store writes progress. During an outage some writes are applied although they report an error.
func (sim *simulation) store(l *simLeader, p azuretiller.RolloutProgress) {
	sim.result.writes++
	sim.schedule.After(sim.storeLatency, func() {
		outage := sim.within(sim.storeOutageFrom, sim.storeOutageTo)
		if !l.replaced && (!outage || chance(sim.random, 0.3)) {
			sim.stored = p
		}
		var err error
		delay := sim.storeLatency / 2
		if outage || l.replaced {
			err, delay = errors.New("store unavailable"), 150*time.Millisecond
		}
		sim.schedule.After(delay, func() { sim.finishStore(l, p, err) })
	})
}

func (sim *simulation) finishStore(l *simLeader, p azuretiller.RolloutProgress, err error) {
	l.controller.Stored(sim.schedule.Now(), p, err)
	if err != nil || !l.controller.State().Final() || sim.result.state.Final() {
		return
	}
	if p.State == azuretiller.RolloutCompleted && sim.oldRunning > 0 {
		sim.result.oldAfterCompletion = true
	}
	sim.result.state = p.State
	sim.result.reason = l.controller.Status(sim.schedule.Now()).Reason
	// The status is written after the progress.
	sim.result.decided = sim.elapsed() + sim.storeLatency
}

func (sim *simulation) scheduleArrival() {
	rate := sim.rate
	if sim.within(sim.burstFrom, sim.burstTo) {
		rate *= sim.burstFactor
	}
	sim.schedule.After(time.Duration(sim.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if sim.elapsed() < sim.duration {
			sim.result.requests++
		}
		route := sim.route()
		leader := sim.leader
		if sim.former != nil && sim.schedule.Now().Before(sim.formerUntil) && chance(sim.random, 0.4) {
			leader = sim.former
		}
		if leader != nil {
			leader.controller.CountRequest(sim.schedule.Now())
		}
		sim.place(&simRequest{route: route, leader: leader, vm: sim.random.IntN(sim.vms), arrived: sim.schedule.Now()})
		sim.scheduleArrival()
	})
}

// faulty reports whether the version is bad for a request of the route that starts on the server now.
func (sim *simulation) faulty(s *simServer, route int) bool {
	if !sim.bad || !s.onTarget {
		return false
	}
	switch sim.trigger {
	case triggerLate:
		return sim.elapsed() >= sim.onset
	case triggerLoad:
		return s.busy >= sim.loadThreshold()
	case triggerRoute:
		return route == sim.badRoute
	default:
		return true
	}
}

// countBad counts a bad response of the target version as the operator does.
func (sim *simulation) countBad() {
	sim.result.bad++
	if sim.result.bad == operatorBadLimit {
		sim.result.fiftiethBad = sim.elapsed()
	}
}

// rollbackExceeded reports whether a bad version got a request too late.
func (r simResult) rollbackExceeded() bool {
	return r.fiftiethBad > 0 && r.lastSent > r.fiftiethBad+simParams().Rollback
}

// exposureExceeded reports whether a bad version got too many attempts.
func (r simResult) exposureExceeded() bool {
	p := simParams()
	return float64(r.exposed) > math.Floor(p.ExposeShare*float64(r.requests)+p.ExposeSlack)
}

func routeID(i int) azuretiller.RouteID {
	return azuretiller.RouteID(fmt.Sprintf("%s/%d", simService, i))
}

// responseIsBad reports whether a response counts as bad for the operator.
func (sim *simulation) responseIsBad(a *simAttempt) bool {
	return a.hedged || a.result != message.Succeeded && a.result != message.Shed || a.slowed
}
