package rollout

import (
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// Params are the bounds of the deployment.
type Params struct {
	// ExposeShare and ExposeSlack bound the attempts on target servers: ExposeShare for each request of the service, plus
	// ExposeSlack.
	ExposeShare, ExposeSlack float64
	// Rollback is the time after the 50th bad response of a bad version after which it must get no request.
	Rollback time.Duration
}

// Controller decides about the rollout of one service.
type Controller struct {
	params Params
	order  azuretiller.RolloutOrder
	phase  Phase
	// deadline is the time limit.
	deadline time.Time
	started  time.Time
	// created is when this leader began to observe the old servers.
	created   time.Time
	exposure  exposure
	focus     *focus
	reference *reference
	evidence  *weighedEvidence
	inFlight  *inFlight
	// history is the evidence to be stored. The first inherited attempts of it are those of former leaders that have not been judged.
	history   []azuretiller.RolloutAttempt
	inherited int
	// bad counts the bad responses, including those that former leaders stored. badSince is when they reached badCountLimit.
	bad      int
	badSince time.Time
	// state is the last confirmed state, and wantState the one to be stored.
	state, wantState azuretiller.RolloutState
	// wantCutover means that the verdict is good, and cutover that it is stored.
	wantCutover, cutover bool
	// writing means that a write is under way. After an error the next one begins at retryAt.
	writing bool
	retryAt time.Time
	reason  string
	logs    []LogLine
	// logOdds is the log odds that the version is bad, as of the last Tick.
	logOdds float64
	// runningLogOdds also takes the attempts into account that run, as of runningAt.
	runningLogOdds float64
	runningAt      time.Time
	// suspectSince is when runningLogOdds reached cutoverBadLogOdds, or zero if it is lower.
	suspectSince time.Time
	// storedLogOdds is what the former leader stored. It applies until its attempts have been judged again.
	storedLogOdds float64
	// trusted means that the evidence of the former leader suffices.
	trusted bool
	paused  bool
	// cutoverDue is the time of the cutover, once it has come.
	cutoverDue time.Time
}

// New returns the controller of a rollout. If the stored progress belongs to another target version, or is empty, the rollout
// starts at now.
func New(now time.Time, p Params, order azuretiller.RolloutOrder, stored azuretiller.RolloutProgress) *Controller {
	if stored.Target != order.Target || stored.State == 0 {
		stored = azuretiller.RolloutProgress{Target: order.Target, Started: now}
	}
	// The clock of the former leader may have been ahead of this one.
	started := stored.Started
	if latest := now.Add(-stored.Elapsed); started.After(latest) {
		started = latest
	}
	prior := 0.0
	if len(stored.Attempts) == 0 {
		prior = min(maxStoredLogOdds, max(-maxStoredLogOdds, stored.LogOdds))
	}
	c := &Controller{
		params: p, order: order, phase: Trial, started: started, created: now, deadline: started.Add(order.Duration),
		focus: newFocus(started), reference: newReference(), inFlight: newInFlight(),
		evidence: newWeighedEvidence(started, prior), history: slices.Clone(stored.Attempts), inherited: len(stored.Attempts),
		bad: stored.Bad, state: stored.State, wantState: azuretiller.RolloutActive, cutover: stored.Cutover, wantCutover: stored.Cutover,
		logOdds: stored.LogOdds, runningLogOdds: stored.LogOdds,
		storedLogOdds: stored.LogOdds, trusted: stored.LogOdds <= trustedStoredLogOdds && stored.Reserved >= trustedReserved,
	}
	c.exposure = exposure{
		params: p, started: started, requests: stored.Requests, countedSince: now,
		successor: stored.Reserved > 0, confirmed: stored.Reserved, attempted: stored.Reserved, used: stored.Reserved,
	}
	c.exposure.cutoverAt = c.cutoverAt()
	if c.bad >= badCountLimit {
		c.badSince = now.Add(-inheritedBadAge)
	}
	if stored.State.Final() {
		c.wantState = stored.State
	}
	switch {
	case stored.State == azuretiller.RolloutCompleted:
		c.phase = Completed
	case stored.State == azuretiller.RolloutReverted:
		c.phase = Reverted
	case stored.Cutover:
		c.phase = Cutover
	}
	return c
}

// CountRequest counts a request that reaches the service and is then sent to a server of either version. It is called once for
// each request, not for its further attempts.
func (c *Controller) CountRequest(now time.Time) {
	if now.Before(c.deadline) {
		c.exposure.requests++
		c.exposure.counted++
	}
}

// Expose reports whether an attempt on a target server may be placed now, and takes it from the reserved exposure. It is called
// for each attempt on a target server, also after the cutover, when it always allows the attempt.
func (c *Controller) Expose(now time.Time, route azuretiller.RouteID, server azuretiller.InstanceID) bool {
	if !c.MayExpose(now, route, server) {
		return false
	}
	c.exposure.used++
	c.exposure.placed++
	if c.phase != Completed {
		c.inFlight.add(now, route, server, c.focus.cold(now, server))
		c.focus.place(now, route, server)
		c.reference.route(route).exposed++
	}
	return true
}

// MayExpose reports the same as Expose without taking the attempt from the reserved exposure.
func (c *Controller) MayExpose(now time.Time, route azuretiller.RouteID, server azuretiller.InstanceID) bool {
	switch c.phase {
	case Cutover, Completed:
		return true
	case Trial:
	default:
		return false
	}
	if c.paused || !now.Before(c.deadline) {
		return false
	}
	available := c.exposure.available(now)
	return available > 0 && !c.reference.shedding(now) && c.reference.allows(route) &&
		c.focus.allows(route, server, available, c.exposure.visitSize(), c.reference.share(route))
}

// Observe records the result of an attempt on a server of either version. Each attempt that Expose admitted is observed once,
// with the result Cancelled if it was not made or its VM is lost.
func (c *Controller) Observe(now time.Time, o Outcome) {
	if c.phase == Completed || c.phase == Reverted {
		return
	}
	if !o.OnTarget {
		c.reference.observe(now, o)
		if kind := c.reference.classify(o); kind.evidence() {
			c.evidence.observeOld(now, o.Server, kind.unsuccessful())
		}
		return
	}
	result := attempt{route: o.Route, sent: now.Add(-o.Took), took: o.Took, judged: true, reported: true}
	result.cold = c.focus.cold(result.sent, o.Server)
	if result.cold && o.Result == message.Succeeded {
		o.Took /= coldSlowdown
	}
	result.kind = c.reference.classify(o)
	known, overdue := c.inFlight.report(o.Server, result)
	if !overdue && result.kind.bad() {
		c.countBad(now, o.Server)
	}
	if !known {
		// A former leader placed the attempt.
		c.record(o.Server, result)
	}
}

func (c *Controller) countBad(now time.Time, server azuretiller.InstanceID) {
	c.bad++
	c.focus.countBad(server)
	if c.bad >= badCountLimit && c.badSince.IsZero() {
		c.badSince = now
	}
}

// record takes a judged attempt into account and keeps it for a successor.
func (c *Controller) record(server azuretiller.InstanceID, a attempt) {
	if !a.kind.evidence() {
		return
	}
	c.weigh(c.evidence)(server, a)
	c.history = append(c.history, azuretiller.RolloutAttempt{
		Route: a.route, Server: server, Sent: a.sent.Sub(c.started), Took: a.took,
		Failed: a.kind == failedResponse, Overdue: a.kind == overdueResponse,
	})
	if surplus := len(c.history) - storedAttempts; surplus > 0 {
		c.history = slices.Delete(c.history, 0, surplus)
	}
}

// judgeInherited takes the attempts of former leaders into account, compared with what this leader knows of the old servers.
func (c *Controller) judgeInherited() {
	for _, a := range c.history[:c.inherited] {
		kind := goodResponse
		switch {
		case a.Failed:
			kind = failedResponse
		case a.Overdue:
			kind = overdueResponse
		}
		c.weigh(c.evidence)(a.Server, attempt{route: a.Route, sent: c.started.Add(a.Sent), took: a.Took, kind: kind, cold: a.Sent < coldTime})
	}
	c.inherited = 0
	c.trusted = c.trusted && len(c.history) == 0
}

// weigh returns a function that takes a judged attempt into account.
func (c *Controller) weigh(e *weighedEvidence) func(azuretiller.InstanceID, attempt) {
	return func(server azuretiller.InstanceID, a attempt) {
		if a.kind.evidence() {
			e.observe(server, a, c.reference.route(a.route))
		}
	}
}

// Phase returns the current phase. It is Cutover only after the store confirmed the cutover, and Completed only after it
// confirmed the completion; Reverted takes effect before it is stored.
func (c *Controller) Phase() Phase { return c.phase }

// State returns the last state that the store confirmed, which is the state that may be reported to the operator. It is zero
// until the first progress is confirmed.
func (c *Controller) State() azuretiller.RolloutState { return c.state }

// Status describes the rollout for dumps and metrics.
func (c *Controller) Status(now time.Time) Status {
	return Status{
		Phase: c.phase, Progress: c.snapshot(now, c.exposure.confirmed), Used: c.exposure.placed,
		TimeLeft: c.deadline.Sub(now), LogOdds: c.logOdds, Reason: c.reason,
	}
}

// judge takes the attempts into account that have a result or run for very long.
func (c *Controller) judge(now time.Time) {
	limit := func(a attempt) time.Duration {
		threshold := c.overdueLimit(a.route)
		if a.cold {
			threshold *= coldSlowdown
		}
		return max(overdueAfter, threshold)
	}
	c.inFlight.judgeOverdue(now, limit, func(server azuretiller.InstanceID) { c.countBad(now, server) })
	if now.Sub(c.created) >= referenceWarmup {
		c.judgeInherited()
		c.inFlight.take(c.record)
	}
}

func (c *Controller) overdueLimit(route azuretiller.RouteID) time.Duration {
	return time.Duration(overdueFactor * float64(c.reference.threshold(route)))
}
