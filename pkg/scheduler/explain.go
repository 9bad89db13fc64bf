package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/explanation"
	"github.com/azuretiller/azuretiller/pkg/fairqueue"
)

// Explain returns what Submit would do with a request now, and why, without changing the scheduler.
//
// It assumes that the requests that wait already still get no server. The request is expected to wait if one of the same priority, team and
// route waits, or if assignQueued ends its pass after maxMisses others with the same or a higher priority. With the request, the queue may reach
// maxMisses, so that others no longer wait for a better server and take the slot; this is left out.
func (sc *Scheduler) Explain(now time.Time, r Request) explanation.Service {
	probe := sc.probe()
	w := &waitingRequest{Request: r, enqueued: now, queueDeadline: queueDeadline(now, r), betterServerUntil: now.Add(betterServerWait)}
	retries := sc.retryBudget.Remaining()
	e := explanation.Service{Waiting: sc.queueLength(), Running: len(sc.running), Retries: &retries}
	preferUnused := probe.mayExplore(now, r) && probe.needsCoverage(now)
	for _, s := range probe.servers {
		e.Servers = append(e.Servers, probe.explainServer(now, s, w, preferUnused))
	}
	e.Result = probe.explainResult(now, w)
	slices.SortStableFunc(e.Servers, func(a, b explanation.Server) int {
		if a.Eligible != b.Eligible {
			if a.Eligible {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	if n := len(e.Servers) - explanation.MaxServers; n > 0 {
		e.Servers, e.OmittedServers = e.Servers[:explanation.MaxServers], n
	}
	for i := range e.Servers {
		e.Servers[i].Parts = probe.scoreParts(now, probe.find(e.Servers[i].ID), w, preferUnused)
	}
	return e
}

// probe returns a copy whose decisions do not affect the scheduler: estimates and windows are updated when they are read. The queues, the
// running attempts and the retry budget are shared and may only be read.
func (sc *Scheduler) probe() *Scheduler {
	probe := *sc
	probe.servers = make([]*server, 0, len(sc.servers))
	for _, s := range sc.servers {
		c := *s
		c.success, c.acceptance = s.success.Clone(), s.acceptance.Clone()
		c.recentStarts = slices.Clone(s.recentStarts)
		c.unreachableUntil, c.pausedFor = maps.Clone(s.unreachableUntil), maps.Clone(s.pausedFor)
		probe.servers = append(probe.servers, &c)
	}
	// Submit queues the request before it chooses a server, and the length of the queue counts there.
	own := &queue{urgency: math.MaxInt, requests: fairqueue.New[azuretiller.TeamID, azuretiller.RouteID, *waitingRequest]()}
	own.requests.Push("", 1, "", &waitingRequest{})
	probe.queues = append(slices.Clone(sc.queues), own)
	probe.demands = nil
	for _, d := range sc.demands {
		c := *d
		probe.demands = append(probe.demands, &c)
	}
	if sc.params.KeepInZone {
		probe.groupByZone()
	}
	return &probe
}

// chooseExplained chooses as assignQueued does. It is called on a probe.
func (sc *Scheduler) chooseExplained(now time.Time, w *waitingRequest) *server {
	if sc.params.KeepInZone {
		return sc.chooseByZone(now, w, false)
	}
	return sc.choose(now, w)
}

// explainResult repeats the steps of Submit. It is called on a probe.
func (sc *Scheduler) explainResult(now time.Time, w *waitingRequest) explanation.Result {
	refuse := func(code azuretiller.Code, retryAfter time.Duration, reason string) explanation.Result {
		return explanation.Result{Outcome: explanation.Refused, Code: code, RetryAfterMS: retryAfter.Milliseconds(), Reason: reason}
	}
	switch code := sc.serverCode(w.Request, now); code {
	case azuretiller.CodeOK:
	case azuretiller.CodeServersPaused:
		return refuse(code, noServerWait, "All open servers of the service leave or asked this VM for a pause.")
	default:
		return refuse(code, noServerWait, "The service has no open server.")
	}
	maxWait := w.queueDeadline.Sub(now)
	wait := sc.expectedWait(now, w.Request)
	if wait > maxWait {
		return refuse(azuretiller.CodeOverloaded, wait, fmt.Sprintf("The expected wait of %s exceeds the longest allowed wait of %s.", rounded(wait), rounded(maxWait)))
	}
	first, heads := 0, 0
	for _, q := range sc.queues {
		if q.urgency <= w.urgency() {
			heads += q.requests.Heads()
		}
		if q.urgency == w.urgency() {
			first += q.requests.LenOf(w.Team, w.Route)
		}
	}
	chosen := sc.chooseExplained(now, w)
	if chosen != nil && first == 0 && heads < maxMisses {
		return explanation.Result{
			Outcome: explanation.Placed, Code: azuretiller.CodeOK, Server: chosen.ID,
			Reason: fmt.Sprintf("Of the available servers, %s has the highest score.", chosen.ID),
		}
	}
	if sc.pausedThroughout(w) {
		return refuse(azuretiller.CodeServersPaused, noServerWait, "All open servers of the service pause for this VM for longer than the request may wait.")
	}
	if wait == 0 {
		// expectedWait is zero without requests ahead, but none of the slots is free.
		wait = sc.meanServiceTime() / time.Duration(max(sc.slots(), 1))
	}
	result := explanation.Result{Outcome: explanation.Waits, Code: azuretiller.CodeOK, MaxWaitMS: maxWait.Milliseconds()}
	switch {
	case first > 0:
		result.Reason = fmt.Sprintf("%d requests of the same priority, team and route wait already and come first.", first)
	case chosen != nil:
		result.Reason = "Many requests of the same or a higher priority wait and come first."
	case sc.hasAvailable(now, w):
		wait = min(wait, betterServerWait)
		result.Reason = "The request is not idempotent and waits for a busy server that is more likely to succeed than the free ones."
	case sc.hasFreeCapacity(now):
		result.Reason = "No server that this VM may use now has free capacity."
	default:
		result.Reason = "All open servers are busy, or limited because they are cold or down."
	}
	result.WaitMS = min(wait, maxWait).Milliseconds()
	return result
}

func (sc *Scheduler) hasAvailable(now time.Time, w *waitingRequest) bool {
	return slices.ContainsFunc(sc.servers, func(s *server) bool { return sc.isEligible(now, s, w) })
}

// isEligible reports whether a request may go to a server now.
func (sc *Scheduler) isEligible(now time.Time, s *server, w *waitingRequest) bool {
	return !slices.Contains(w.Tried, s.ID) && s.availableTo(w.Key.From, now) && (!s.Trial || sc.mayExpose(now, s, w)) && s.freeCapacity(now) > 0
}

func (sc *Scheduler) explainServer(now time.Time, s *server, w *waitingRequest, preferUnused bool) explanation.Server {
	e := explanation.Server{
		ID: s.ID, Zone: s.Zone, Busy: s.busy, Slots: s.Slots,
		Success:  s.successProbability(now),
		Score:    sc.score(now, s, w, preferUnused),
		Eligible: sc.isEligible(now, s, w),
	}
	for _, state := range []struct {
		name string
		set  bool
	}{
		{"closed", s.Closed},
		{"misdirected", s.misdirected},
		{"down", now.Before(s.downUntil)},
		{"cold", now.Before(s.ColdUntil)},
		{"on trial", s.Trial},
		{"trial not admitted", s.Trial && !sc.mayExpose(now, s, w)},
		{"paused", s.pauses(w.Key.From, now)},
		{"unreachable", !s.reachableFrom(w.Key.From, now)},
		{"withheld", slices.Contains(w.Tried, s.ID)},
		{"full", s.busy >= s.Slots},
	} {
		if state.set {
			e.State = append(e.State, state.name)
		}
	}
	return e
}

// scoreParts returns what each property of a server contributes to its score. The properties are removed one by one from a copy of the
// server, and each part is the change of the score; so the parts add up to the score however score weighs them.
func (sc *Scheduler) scoreParts(now time.Time, s *server, w *waitingRequest, preferUnused bool) []explanation.Part {
	c := *s
	current := sc.score(now, &c, w, preferUnused)
	var parts []explanation.Part
	for _, property := range []struct {
		name   string
		remove func()
	}{
		{"kept in use", func() { preferUnused = false }},
		{"on trial", func() { c.Trial = false }},
		{"no request yet", func() {
			if c.lastRequestStart.IsZero() {
				c.lastRequestStart = now
			}
		}},
		{"cold", func() { c.ColdUntil = time.Time{} }},
		{"other zone", func() { c.Zone = w.Zone }},
		{"load", func() { c.busy = 0 }},
	} {
		property.remove()
		next := sc.score(now, &c, w, preferUnused)
		// Differences below this are errors of rounding.
		if part := current - next; math.Abs(part) > 1e-9 {
			parts = append(parts, explanation.Part{Name: property.name, Value: part})
		}
		current = next
	}
	return append(parts, explanation.Part{Name: "risk of failure", Value: current})
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
