package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/fairqueue"
)

// queueDeadline returns the time until which a request may wait for a slot.
func queueDeadline(now time.Time, r Request) time.Time {
	wait := time.Duration(float64(r.Deadline.Sub(now)) * deadlineWaitShare)
	if untilSoftDeadline := r.SoftDeadline.Sub(now); untilSoftDeadline > 0 {
		wait = min(wait, time.Duration(float64(untilSoftDeadline)*softDeadlineWaitShare))
	}
	return now.Add(wait)
}

// expectedWait estimates how long a new request would wait for a slot. All waiting requests that are more urgent are served before it,
// and of those with its priority the ones that the fair order of teams and routes puts before it.
// More urgent requests that arrive meanwhile take the slots that they took lately.
func (sc *Scheduler) expectedWait(now time.Time, r Request) time.Duration {
	ahead := 0.0
	cost := func(route azuretiller.RouteID) float64 { return sc.serviceTimeOf(route).Seconds() }
	for _, q := range sc.queues {
		switch {
		case q.urgency < r.urgency():
			ahead += float64(q.requests.Len()) * sc.meanServiceTime().Seconds()
		case q.urgency == r.urgency():
			ahead += q.requests.Ahead(r.Team, 1, r.Route, cost)
		}
	}
	urgent := sc.urgentDemand(now, r)
	if ahead == 0 && (urgent == 0 || sc.hasFreeCapacity(now)) {
		return 0
	}
	slots := float64(max(sc.slots(), 1))
	left := max(slots-urgent, minLeftShare*slots)
	// The sum differs in its last bits with the order of the flows, so that cutting off the fraction would give one of two times.
	return time.Duration(math.Round((ahead + cost(r.Route)) / left * float64(time.Second)))
}

func (sc *Scheduler) slots() int {
	slots := 0
	for _, s := range sc.servers {
		if !s.Closed && !s.misdirected && !s.Trial {
			slots += s.Slots
		}
	}
	return slots
}

// drainTime estimates how long the running and waiting requests take.
func (sc *Scheduler) drainTime() time.Duration {
	requests := len(sc.running) + sc.queueLength()
	return max(sc.meanServiceTime()*time.Duration(requests)/time.Duration(max(sc.slots(), 1)), sc.meanServiceTime()/2)
}

func (sc *Scheduler) queueLength() int {
	n := 0
	for _, q := range sc.queues {
		n += q.requests.Len()
	}
	return n
}

// meanServiceTime returns the mean of the routes' average service times.
func (sc *Scheduler) meanServiceTime() time.Duration {
	if len(sc.serviceTimes) == 0 {
		return initialServiceTime
	}
	sum := time.Duration(0)
	for _, t := range sc.serviceTimes {
		sum += t
	}
	return sum / time.Duration(len(sc.serviceTimes))
}

func (sc *Scheduler) serviceTimeOf(route azuretiller.RouteID) time.Duration {
	if t, ok := sc.serviceTimes[route]; ok {
		return t
	}
	return initialServiceTime
}

// queue returns the queue of an urgency and a zone and creates it if there is none. The zone is empty unless requests are kept in their
// zones.
func (sc *Scheduler) queue(urgency int, zone azuretiller.Zone) *fairqueue.Queue[azuretiller.TeamID, azuretiller.RouteID, *waitingRequest] {
	i, found := slices.BinarySearchFunc(sc.queues, urgency, func(q *queue, u int) int {
		return cmp.Or(cmp.Compare(q.urgency, u), cmp.Compare(q.zone, zone))
	})
	if !found {
		sc.queues = slices.Insert(sc.queues, i, &queue{
			urgency:  urgency,
			zone:     zone,
			requests: fairqueue.New[azuretiller.TeamID, azuretiller.RouteID, *waitingRequest](),
		})
	}
	return sc.queues[i].requests
}

func (sc *Scheduler) hasFreeCapacity(now time.Time) bool {
	return slices.ContainsFunc(sc.servers, func(s *server) bool { return s.freeCapacity(now) > 0 })
}
