package leader

import (
	"math"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/crash"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
)

func (l *Leader) receivePlaceRequest(now time.Time, from string, call uint64, request message.PlaceRequest) []Effect {
	key := scheduler.Key{From: from, Call: call}
	if cached, ok := l.recentResponses[key]; ok {
		return []Effect{Send{To: from, Message: message.Envelope{Call: call, Body: cached.response}}}
	}
	var effects []Effect
	if request.LastReport != nil {
		effects = l.receiveReport(now, from, *request.LastReport)
	}
	refuse := func(code azuretiller.Code, wait time.Duration) []Effect {
		response := message.PlaceResponse{Code: code, RetryAfter: wait, Term: l.term}
		l.recentResponses[key] = &cachedResponse{at: now, response: response}
		fields := log.Fields{"request": request.Request, "code": int(code), "retry_after": wait, "attempt": request.Attempt, "team": request.Team, "term": l.term}
		return append(effects,
			Send{To: from, Message: message.Envelope{Call: call, Body: response}},
			LogLine{"refused", fields})
	}
	if now.Before(l.serversAwaitedUntil) {
		// The VM sends the request again.
		return append(effects, Send{To: from, Message: message.Envelope{Call: call, Body: message.PlaceResponse{Queued: true, Term: l.term}}})
	}
	if l.awaitsRollouts(now, request.Backends) {
		return append(effects, Send{To: from, Message: message.Envelope{Call: call, Body: message.PlaceResponse{Queued: true, Term: l.term}}})
	}
	if admitted, wait := l.crashes.Admit(fingerprint(request.Fingerprint), now); !admitted {
		return refuse(azuretiller.CodeHeldBack, wait)
	}
	if request.Attempt <= 1 {
		if wait, ok := l.takeToken(now, request.Team); !ok {
			effects = append(effects, l.writeRates(now)...)
			if l.awaitsTokens(now) {
				// The VM sends the request again.
				return append(effects, Send{To: from, Message: message.Envelope{Call: call, Body: message.PlaceResponse{Queued: true, Term: l.term}}})
			}
			for _, b := range request.Backends {
				l.scheduler(b.Service).RecordRejection(now)
			}
			return refuse(l.rateCode(), wait)
		}
	}
	service := l.pickService(request.Route, request.Backends)
	zone := azuretiller.Zone("")
	if m := l.members[from]; m != nil {
		zone = m.heartbeat.Zone
	}
	r := scheduler.Request{
		Key:             key,
		ID:              request.Request,
		Zone:            zone,
		Team:            request.Team,
		Route:           request.Route,
		Priority:        request.Priority,
		Shared:          l.params.Scheduler.FavorUrgent && len(request.Backends) > 1,
		Idempotent:      request.Idempotent,
		SubmittedBefore: request.Attempt > 1,
		PreviouslySent:  request.Attempt > 1 && (request.Hedge || request.LastReport == nil || request.LastReport.Result.Sent()),
		Tried:           request.Tried,
		Deadline:        now.Add(request.Timeout),
		SoftDeadline:    now.Add(request.SoftTimeout),
		Fingerprint:     request.Fingerprint,
	}
	decisions := l.scheduler(service).Submit(now, r)
	for _, d := range decisions {
		if d.Key == key && d.Code != azuretiller.CodeOK && request.Attempt <= 1 {
			l.limiter.Refund(request.Team)
		}
	}
	return append(effects, l.applyDecisions(now, service, decisions)...)
}

func fingerprint(hash uint64) crash.Fingerprint {
	return crash.Fingerprint(strconv.FormatUint(hash, 16))
}

// applyDecisions caches the responses for the decisions of a scheduler, and returns the messages and log lines for them.
func (l *Leader) applyDecisions(now time.Time, service azuretiller.ServiceID, decisions []scheduler.Decision) []Effect {
	var effects []Effect
	for _, d := range decisions {
		response := message.PlaceResponse{
			Ticket:      d.Ticket,
			Server:      d.Server.ID,
			Address:     d.Server.Address,
			Service:     service,
			Code:        d.Code,
			RetryAfter:  d.RetryAfter,
			Queued:      d.Queued,
			Term:        l.term,
			Incarnation: d.Server.Incarnation,
		}
		l.recentResponses[d.Key] = &cachedResponse{at: now, response: response}
		effects = append(effects, Send{To: d.Key.From, Message: message.Envelope{Call: d.Key.Call, Body: response}})
		if d.Code == azuretiller.CodeOK && !d.Queued {
			l.runningAttempts[d.Ticket] = runningAttempt{
				service:     service,
				server:      d.Server.ID,
				requestID:   d.ID,
				fingerprint: fingerprint(d.Fingerprint),
				expiresAt:   d.Deadline.Add(responseRetention),

				vm: d.Key.From, route: d.Route, version: d.Server.Version, deadline: d.Deadline,
				furtherAttempt: d.SubmittedBefore, controller: l.countPlaced(now, service, d),
			}
		}
		effects = append(effects, l.decisionLogLine(service, d))
		if d.Refusal != "" {
			effects = append(effects, CountRefusal{Reason: string(d.Refusal)})
		}
		if d.CrossZone && l.params.Scheduler.KeepInZone {
			effects = append(effects, CountCrossing{Reason: d.Crossing.String()})
		}
	}
	return effects
}

func (l *Leader) decisionLogLine(service azuretiller.ServiceID, d scheduler.Decision) Effect {
	fields := log.Fields{"request": d.ID, "service": service, "term": l.term, "code": int(d.Code)}
	switch {
	case d.Queued:
		return LogLine{"queued", fields}
	case d.Code != azuretiller.CodeOK:
		fields["retry_after"] = d.RetryAfter
		if d.Refusal != "" {
			fields["why"] = string(d.Refusal)
		}
		return LogLine{"refused", fields}
	}
	fields["ticket"] = d.Ticket
	fields["server"] = d.Server.ID
	fields["chance"] = math.Round(d.SuccessProbability*100) / 100
	fields["busy"] = d.Busy
	fields["queued"] = d.QueueTime
	fields["crossed"] = d.CrossZone
	if d.CrossZone && l.params.Scheduler.KeepInZone {
		fields["crossed_why"] = d.Crossing.String()
	}
	return LogLine{"placed", fields}
}

func (l *Leader) receiveReport(now time.Time, from string, r message.Report) []Effect {
	if r.PauseFor > 0 {
		for _, s := range l.schedulers {
			s.Pause(now, r.Server, r.Incarnation, from, now.Add(r.PauseFor))
		}
	}
	effects := l.receiveLeaving(now, r)
	if r.Ticket == 0 {
		for _, s := range l.schedulers {
			s.Observe(now, r.Server, r.Result)
		}
		return effects
	}
	if r.Term != l.term {
		return effects
	}
	attempt, ok := l.runningAttempts[r.Ticket]
	if !ok {
		return effects
	}
	delete(l.runningAttempts, r.Ticket)
	l.observeRollout(now, attempt, r.Result, r.Took)
	switch r.Result {
	case message.Reset:
		if l.crashes.RecordCrash(attempt.fingerprint, azuretiller.ServerID(attempt.server), now) {
			effects = append(effects, LogLine{"request held back", log.Fields{"request": attempt.requestID, "server": attempt.server, "term": l.term}})
		}
	case message.Succeeded:
		l.crashes.RecordSuccess(attempt.fingerprint)
	default:
		l.crashes.EndTrial(attempt.fingerprint)
	}
	decisions, _ := l.schedulers[attempt.service].Finish(now, r.Ticket, r.Result, r.Took, r.Bytes)
	if r.Result != message.Succeeded && r.Result != message.Cancelled && r.Result != message.Withheld {
		probability, _ := l.schedulers[attempt.service].SuccessProbability(now, attempt.server)
		effects = append(effects, LogLine{"server doubted", log.Fields{
			"request": attempt.requestID, "server": attempt.server, "service": attempt.service, "result": r.Result, "took": r.Took,
			"chance": math.Round(probability*100) / 100, "term": l.term,
		}})
	}
	return append(effects, l.applyDecisions(now, attempt.service, decisions)...)
}
