package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

// The targets that the report is held to.
const (
	editTarget     = 2 * time.Second
	withdrawTarget = 2 * time.Second
	ejectionTarget = time.Second
	zoneTarget     = 3 * time.Second
	killTarget     = 3 * time.Second
	// lateResponseTime is how long the flood's last answers may arrive after the traffic ended.
	lateResponseTime = time.Second
)

// report is what the demo found.
type report struct {
	started        time.Time
	duration       time.Duration
	editTime       time.Duration
	withdrawTime   time.Duration
	ejectionTime   time.Duration
	zoneTime       time.Duration
	killTime       time.Duration
	staleVMs       int
	duplicateRuns  int
	falseNotRun    int
	doneWithoutRun int
	leaks          int
	overruns       int
	floodDone      int
	floodLimit     int
	mismatches     []string
	unanswered     int
}

func (r *report) compare(l *recorder, runs map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, f := range l.outcomes {
		switch n := runs[id]; {
		case n > 1:
			r.duplicateRuns++
		case f.notRun && n > 0:
			r.falseNotRun++
		case f.done && n == 0:
			r.doneWithoutRun++
		}
	}
	r.mismatches = l.mismatches
	r.unanswered = l.unanswered
	r.floodLimit = floodBurst + int(float64(floodRate)*(r.duration+lateResponseTime).Seconds())
	if t := l.teams[floodTeam]; t != nil {
		r.floodDone = t.Done
	}
}

func (r *report) print(out io.Writer, l *recorder, o Options) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	p("azuretiller demo: 4 zones, %d VMs, 2 services, %d teams, %s of traffic", len(zones())*vmsPerZone, len(teams()), r.duration.Round(time.Second))
	p("")
	p("answers by result code:")
	for _, code := range slices.Sorted(maps.Keys(l.codes)) {
		info, _ := azuretiller.Describe(code)
		p("  %d %-22s %-13s %6d", code, info.Name, info.Outcome, l.codes[code])
	}
	p("  connections without an answer        %8d", l.noResponse)
	p("")
	p("teams (wanted / done / refused for their rate):")
	for _, team := range slices.Sorted(maps.Keys(l.teams)) {
		t := l.teams[team]
		p("  %-8s %6d %6d %6d", team, t.Total, t.Done, t.Refused)
	}
	p("")
	p("latency added, without waiting for a slot: p50 %s p99 %s", micros(l.addedLatency.ValueAtQuantile(50)), micros(l.addedLatency.ValueAtQuantile(99)))
	p("waiting for a slot:                        p50 %s p99 %s", micros(l.queueTime.ValueAtQuantile(50)), micros(l.queueTime.ValueAtQuantile(99)))
	p("edit in force on all VMs after             %s (target %s)", r.editTime.Round(time.Millisecond), editTarget)
	p("withdrawn key last worked after            %s (target %s)", r.withdrawTime.Round(time.Millisecond), withdrawTarget)
	p("gray server ejected after                  %s (target %s)", r.ejectionTime.Round(time.Millisecond), ejectionTarget)
	p("zone out: last work reached it after       %s (target %s)", r.zoneTime.Round(time.Millisecond), zoneTarget)
	p("log out for 6 s: VMs that refused work     %d (target 0)", r.staleVMs)
	if o.Kill {
		p("killed VM out of address answers after     %s (target %s)", r.killTime.Round(time.Millisecond), killTarget)
	}
	p("work that ran twice                        %d (target 0)", r.duplicateRuns)
	p("refusals that said not run and lied        %d (target 0)", r.falseNotRun)
	p("answers without a run                      %d (target 0)", r.doneWithoutRun)
	p("answers to another request                 %d (target 0)", len(r.mismatches))
	p("idempotent requests without an answer      %d (target 0)", r.unanswered)
	p("keys seen by backend servers               %d (target 0)", r.leaks)
	p("team at 5 times its rate: requests done    %d (limit %d)", r.floodDone, r.floodLimit)
	p("requests beyond the slots of a server      %d", r.overruns)
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// unanswered lists the promises that do not hold.
func (r *report) violations(o Options) []string {
	var out []string
	check := func(ok bool, text string) {
		if !ok {
			out = append(out, text)
		}
	}
	check(r.editTime <= editTarget, "an edit was in force too late")
	check(r.withdrawTime <= withdrawTarget, "a withdrawn key worked too long")
	check(r.ejectionTime <= ejectionTarget, "a gray server was ejected too late")
	check(r.zoneTime <= zoneTarget, "work reached a zone that was out")
	check(r.staleVMs == 0, "the outage of the log stopped a VM")
	check(!o.Kill || r.killTime <= killTarget, "a killed VM stood in address answers too long")
	check(r.duplicateRuns == 0, "work ran twice")
	check(r.falseNotRun == 0, "a refusal lied")
	check(r.doneWithoutRun == 0, "an answer had no run")
	check(len(r.mismatches) == 0, "a caller got the answer to another request")
	check(r.unanswered == 0, "an idempotent request got no answer")
	check(r.leaks == 0, "a backend server saw a key")
	check(r.floodDone <= r.floodLimit, "a team exceeded its rate and burst")
	return out
}
