package leader

import (
	"math"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/crash"
	"github.com/azuretiller/azuretiller/pkg/desk"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/meter"
)

// firstTokens is what a team may spend at the beginning of a term.
func (l *Leader) firstTokens(_ azuretiller.TeamID, limit meter.Limit) azuretiller.Millitokens {
	window := float64(limit.Rate)*l.params.RateWindow.Seconds() + float64(limit.Burst)
	tolerance := l.params.RateOver*window + l.params.RateSlack*float64(azuretiller.TokenCost)
	return min(limit.Burst, azuretiller.Millitokens(startShare*tolerance))
}

func (l *Leader) ask(now time.Time, from string, call uint64, a message.Ask) []Effect {
	key := desk.Key{From: from, Call: call}
	if before, ok := l.answered[key]; ok {
		return []Effect{Send{To: from, Message: message.Envelope{Call: call, Body: before.grant}}}
	}
	var effects []Effect
	if a.Last != nil {
		effects = l.report(now, *a.Last)
	}
	refuse := func(code azuretiller.Code, wait time.Duration) []Effect {
		grant := message.Grant{Code: code, RetryAfter: wait, Term: l.term}
		l.answered[key] = &answered{at: now, grant: grant}
		fields := log.Fields{"request": a.Request, "code": int(code), "retry_after": wait, "attempt": a.Attempt, "team": a.Team, "term": l.term}
		return append(effects,
			Send{To: from, Message: message.Envelope{Call: call, Body: grant}},
			Note{"refused", fields})
	}
	if admitted, wait := l.crashes.Admit(fingerprint(a.Fingerprint), now); !admitted {
		return refuse(azuretiller.CodeHeldBack, wait)
	}
	if a.Attempt <= 1 {
		if wait, ok := l.meter.Spend(now, a.Team, l.limit(now, a.Team)); !ok {
			for _, b := range a.Backends {
				l.desk(b.Service).Turned(now)
			}
			return refuse(azuretiller.CodeRateExceeded, wait)
		}
	}
	service := l.pick(a.Route, a.Backends)
	zone := azuretiller.Zone("")
	if m := l.members[from]; m != nil {
		zone = m.beat.Zone
	}
	r := desk.Request{
		Key:         key,
		ID:          a.Request,
		Zone:        zone,
		Team:        a.Team,
		Route:       a.Route,
		Priority:    a.Priority,
		Idempotent:  a.Idempotent,
		Repeat:      a.Attempt > 1 && (a.Hedge || a.Last == nil || a.Last.Result.Sent()),
		Tried:       a.Tried,
		Deadline:    now.Add(a.Deadline),
		Objective:   now.Add(a.Objective),
		Fingerprint: a.Fingerprint,
	}
	decisions := l.desk(service).Offer(now, r)
	for _, d := range decisions {
		if d.Key == key && d.Code != azuretiller.CodeOK && a.Attempt <= 1 {
			l.meter.Refund(a.Team)
		}
	}
	return append(effects, l.carryOut(now, service, decisions)...)
}

func fingerprint(hash uint64) crash.Fingerprint {
	return crash.Fingerprint(strconv.FormatUint(hash, 16))
}

func (l *Leader) limit(now time.Time, team azuretiller.TeamID) meter.Limit {
	if l.config == nil {
		return meter.Limit{}
	}
	t := l.config.Teams[team]
	share := l.share(now)
	return meter.Limit{
		Rate:  azuretiller.Millitokens(share * float64(t.Rate)),
		Burst: azuretiller.Millitokens(share * float64(t.Burst)),
	}
}

// share is the part of the rates that this leader may hand out: all, unless it may be cut off from a newer leader.
func (l *Leader) share(now time.Time) float64 {
	if !l.few() || now.Sub(l.confirmed) < confirmedFor {
		return 1
	}
	return float64(max(len(l.members), 1)) / float64(l.peak)
}

// few reports whether so few VMs follow that there may be a newer leader.
func (l *Leader) few() bool {
	return len(l.members) <= 1 || float64(len(l.members)) < fewShare*float64(l.peak)
}

// carryOut turns decisions of a desk into messages.
func (l *Leader) carryOut(now time.Time, service azuretiller.ServiceID, decisions []desk.Decision) []Effect {
	var effects []Effect
	for _, d := range decisions {
		grant := message.Grant{
			Ticket:     d.Ticket,
			Server:     d.Server.ID,
			Address:    d.Server.Address,
			Service:    service,
			Code:       d.Code,
			RetryAfter: d.RetryAfter,
			Waiting:    d.Waiting,
			Term:       l.term,
		}
		l.answered[d.Key] = &answered{at: now, grant: grant}
		effects = append(effects, Send{To: d.Key.From, Message: message.Envelope{Call: d.Key.Call, Body: grant}})
		if d.Code == azuretiller.CodeOK && !d.Waiting {
			l.requests[d.Ticket] = granted{
				service:     service,
				server:      d.Server.ID,
				request:     d.ID,
				fingerprint: fingerprint(d.Fingerprint),
				until:       d.Deadline.Add(answerMemory),
			}
		}
		effects = append(effects, l.noteDecision(service, d))
	}
	return effects
}

func (l *Leader) noteDecision(service azuretiller.ServiceID, d desk.Decision) Effect {
	fields := log.Fields{"request": d.ID, "service": service, "term": l.term, "code": int(d.Code)}
	switch {
	case d.Waiting:
		return Note{"queued", fields}
	case d.Code != azuretiller.CodeOK:
		fields["retry_after"] = d.RetryAfter
		return Note{"refused", fields}
	}
	fields["ticket"] = d.Ticket
	fields["server"] = d.Server.ID
	fields["chance"] = math.Round(d.Success*100) / 100
	fields["busy"] = d.Busy
	fields["queued"] = d.Queued
	fields["crossed"] = d.Crossed
	return Note{"placed", fields}
}

func (l *Leader) report(now time.Time, r message.Report) []Effect {
	if r.Ticket == 0 {
		for _, d := range l.desks {
			d.Observe(now, r.Server, r.Result != message.Succeeded)
		}
		return nil
	}
	if r.Term != l.term {
		return nil
	}
	g, ok := l.requests[r.Ticket]
	if !ok {
		return nil
	}
	delete(l.requests, r.Ticket)
	var effects []Effect
	switch r.Result {
	case message.Reset:
		if l.crashes.Crashed(g.fingerprint, azuretiller.ServerID(g.server), now) {
			effects = append(effects, Note{"request held back", log.Fields{"request": g.request, "server": g.server, "term": l.term}})
		}
	case message.Succeeded:
		l.crashes.Succeeded(g.fingerprint)
	default:
		l.crashes.Released(g.fingerprint)
	}
	decisions, _ := l.desks[g.service].Finish(now, r.Ticket, r.Result, r.Took, r.Bytes)
	if r.Result != message.Succeeded && r.Result != message.Cancelled {
		chance, _ := l.desks[g.service].Success(now, g.server)
		effects = append(effects, Note{"server doubted", log.Fields{
			"request": g.request, "server": g.server, "service": g.service, "result": r.Result, "took": r.Took,
			"chance": math.Round(chance*100) / 100, "term": l.term,
		}})
	}
	return append(effects, l.carryOut(now, g.service, decisions)...)
}
