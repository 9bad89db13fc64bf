package zoneflow

import (
	"math"
	"time"
)

const (
	// lateCost is the cost of using up all the time that a request can spare, as a fraction of the value of a response. A request waits in
	// its zone until the wait costs as much as the bytes would.
	lateCost = 0.6
	// minPatience and maxPatience bound the wait in the own zone as a share of the time that a request can spare. Service times vary, so
	// that requests which wait for longer than maxPatience begin to miss their target latency.
	minPatience = 0.05
	maxPatience = 0.25
	// urgentPatience scales the wait of requests with priority 0.
	urgentPatience = 0.7
	// reserveShare is the share of the slots of a zone that requests of other zones leave free.
	reserveShare = 0.04
	// suspectCost is the cost, besides that of the bytes, of going to another zone for a server that is less likely to fail. It is below
	// Cost since a failure costs more than the delay of the crossing.
	suspectCost = 0.005
	// maxSuspectCost bounds that cost for requests that are not idempotent, which lose their whole value with a failure, whatever the size of
	// their bodies.
	maxSuspectCost = 0.002
	// suspectMargin is the difference of success probabilities from which a request waits for a better server of its own zone.
	suspectMargin = 0.05
)

// Flow holds the costs by which requests of one service leave their availability zone.
type Flow struct {
	// Cost is the cost of sending a request to another zone, as a fraction of the value of a response, and CostPerKiB the additional cost
	// of each 1,024 bytes of the bodies.
	Cost, CostPerKiB float64
}

// Request is what the decision needs to know of a request.
type Request struct {
	// Spare is the time that the request had to its target latency when it arrived, less the usual service time. Waited is the time since.
	Spare, Waited time.Duration
	// Size is the usual size of the bodies of request and response, in bytes.
	Size float64
	// Priority is 0 for the most urgent requests.
	Priority   int
	Idempotent bool
}

// Zone is the state of an availability zone. Waiting counts its requests of the same priority or a more urgent one.
type Zone struct{ Slots, Free, Waiting int }

// Claim is what entitles a request to the slots of other zones.
type Claim int

const (
	// Foreign is a request that leaves the slots which the waiting requests of the other zone need, and its reserve.
	Foreign Claim = iota
	// Late is a request that may miss its target latency otherwise. It leaves only the slots which the waiting requests need.
	Late
	// Unserved is a request without servers in its own zone. It competes for every free slot.
	Unserved
)

// Candidates are the success probabilities that a request may choose from; 0 means that there is no such server. Own and Elsewhere are
// those of the best servers with a free slot in the zone of the request and in zones that accept it, and OwnBusy is that of the best
// server of its zone without a free slot.
type Candidates struct{ Own, OwnBusy, Elsewhere float64 }

// Waits reports whether a request still waits for a slot of its own zone: whether the time that it has waited and the time that the
// waiting requests of the zone need stay within the share of its spare time that the bytes are worth. All requests of the zone count, so
// that small ones leave and make room for large ones that wait.
func (f Flow) Waits(r Request, own Zone, serviceTime time.Duration) bool {
	if own.Slots <= 0 {
		return false
	}
	share := min(max(f.crossingCost(r)/lateCost, minPatience), maxPatience)
	if r.Priority == 0 {
		share *= urgentPatience
	}
	backlog := serviceTime * time.Duration(max(own.Waiting-own.Free, 0)) / time.Duration(own.Slots)
	return r.Waited+backlog < time.Duration(share*float64(r.Spare))
}

// Accepts reports whether a zone has a free slot for a request of another zone.
func (f Flow) Accepts(z Zone, c Claim) bool {
	switch c {
	case Unserved:
		return z.Free > 0
	case Late:
		return z.Free > z.Waiting
	default:
		return z.Free-z.Waiting > int(math.Ceil(reserveShare*float64(z.Slots)))
	}
}

// Decide returns what a request does. With patient set, it can still wait for a slot of its own zone.
func (f Flow) Decide(r Request, c Candidates, patient bool) Verdict {
	cost := suspectCost + f.CostPerKiB*r.Size/1024
	if !r.Idempotent {
		cost = min(cost, maxSuspectCost)
	}
	switch {
	case c.Own > 0 && c.Own >= c.Elsewhere-cost && (!patient || c.Own >= c.OwnBusy-suspectMargin):
		return Stay
	case patient && c.OwnBusy >= c.Elsewhere-cost:
		return Wait
	case c.Own > 0 && c.Own >= c.Elsewhere-cost:
		return Stay
	case c.Elsewhere > 0 && c.Own > 0:
		return LeaveSuspected
	case c.Elsewhere > 0:
		return LeaveFull
	default:
		return Wait
	}
}

func (f Flow) crossingCost(r Request) float64 { return f.Cost + f.CostPerKiB*r.Size/1024 }
