package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
)

// Upper limits of the durations in the report. Each exceeded target is a violation.
const (
	editTarget     = 2 * time.Second
	withdrawTarget = 2 * time.Second
	ejectionTarget = time.Second
	zoneTarget     = 3 * time.Second
	killTarget     = 3 * time.Second
	// lateResponseTime is the time after the end of the traffic in which the last responses to the flooding team may arrive.
	lateResponseTime = time.Second
)

// report holds the findings of the demo.
type report struct {
	// started and duration describe the traffic.
	started  time.Time
	duration time.Duration
	// editTime is the time until all VMs have applied an edit.
	editTime time.Duration
	// withdrawTime is the time between the withdrawal of an API key and the last successful request with it.
	withdrawTime time.Duration
	// ejectionTime is the time until a server with a gray failure is ejected.
	ejectionTime time.Duration
	// zoneTime is the time between taking a zone out of service and the last request to one of its backend servers.
	zoneTime time.Duration
	// killTime is the time until no VM lists the killed VM as live.
	killTime time.Duration
	// staleVMs counts VMs whose configuration became too old to serve requests during the outage of the log.
	staleVMs int
	// duplicateRuns counts operations that are not idempotent and ran more than once.
	duplicateRuns int
	// falseNotRun counts operations that ran although the caller was told that they did not.
	falseNotRun int
	// doneWithoutRun counts operations that did not run although the caller was told that they were done.
	doneWithoutRun int
	// leaks counts API keys that backend servers found in requests.
	leaks int
	// overruns counts requests that arrived at a backend server while all its slots were in use.
	overruns int
	// floodDone counts the completed requests of the flooding team, and floodLimit is the highest permitted number.
	floodDone  int
	floodLimit int
	// mismatches describes responses that belong to another operation.
	mismatches []string
	// failedIdempotent counts idempotent operations that failed for another reason than the rate limit or the withdrawn key.
	failedIdempotent int
}

// compare compares the outcomes that callers received with the number of runs of each operation, and copies the other counts of
// the recorder.
func (r *report) compare(rec *recorder, runs map[string]int) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for id, o := range rec.outcomes {
		switch n := runs[id]; {
		case n > 1:
			r.duplicateRuns++
		case o.notRun && n > 0:
			r.falseNotRun++
		case o.done && n == 0:
			r.doneWithoutRun++
		}
	}
	r.mismatches = rec.mismatches
	r.failedIdempotent = rec.failedIdempotent
	r.floodLimit = floodBurst + int(float64(floodRate)*(r.duration+lateResponseTime).Seconds())
	if t := rec.teams[floodTeam]; t != nil {
		r.floodDone = t.Done
	}
}

func (r *report) print(out io.Writer, rec *recorder, o Options) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	printLine := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	printLine("azuretiller demo: 4 zones, %d VMs, 2 services, %d teams, %s of traffic", len(zones())*vmsPerZone, len(teams()), r.duration.Round(time.Second))
	printLine("")
	printLine("responses by result code:")
	for _, code := range slices.Sorted(maps.Keys(rec.codes)) {
		info, _ := azuretiller.LookupCode(code)
		printLine("  %d %-22s %-13s %6d", code, info.Name, info.Outcome, rec.codes[code])
	}
	printLine("  attempts without a complete response %8d", rec.noResponse)
	printLine("")
	printLine("teams (requests / done / refused by the rate limit):")
	for _, team := range slices.Sorted(maps.Keys(rec.teams)) {
		t := rec.teams[team]
		printLine("  %-8s %6d %6d %6d", team, t.Total, t.Done, t.Refused)
	}
	printLine("")
	printLine("latency added, without waiting for a slot: p50 %s p99 %s", micros(rec.addedLatency.ValueAtQuantile(50)), micros(rec.addedLatency.ValueAtQuantile(99)))
	printLine("waiting for a slot:                        p50 %s p99 %s", micros(rec.queueTime.ValueAtQuantile(50)), micros(rec.queueTime.ValueAtQuantile(99)))
	printLine("edit in force on all VMs after             %s (target %s)", r.editTime.Round(time.Millisecond), editTarget)
	printLine("withdrawn key last worked after            %s (target %s)", r.withdrawTime.Round(time.Millisecond), withdrawTarget)
	printLine("gray server ejected after                  %s (target %s)", r.ejectionTime.Round(time.Millisecond), ejectionTarget)
	printLine("zone out of service: last request after    %s (target %s)", r.zoneTime.Round(time.Millisecond), zoneTarget)
	printLine("log down for 6 s: VMs that became stale    %d (target 0)", r.staleVMs)
	if o.Kill {
		printLine("killed VM no longer listed as live after   %s (target %s)", r.killTime.Round(time.Millisecond), killTarget)
	}
	printLine("non-idempotent requests that ran twice     %d (target 0)", r.duplicateRuns)
	printLine("requests reported as not-run that ran      %d (target 0)", r.falseNotRun)
	printLine("requests reported as done that did not run %d (target 0)", r.doneWithoutRun)
	printLine("responses to another request               %d (target 0)", len(r.mismatches))
	printLine("idempotent requests that failed            %d (target 0)", r.failedIdempotent)
	printLine("API keys seen by backend servers           %d (target 0)", r.leaks)
	printLine("team at 5 times its rate: requests done    %d (limit %d)", r.floodDone, r.floodLimit)
	printLine("requests to a server without a free slot   %d", r.overruns)
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// violations returns a text for each guarantee that was violated.
func (r *report) violations(o Options) []string {
	var out []string
	check := func(ok bool, text string) {
		if !ok {
			out = append(out, text)
		}
	}
	check(r.editTime <= editTarget, "an edit was not in force on all VMs within the target")
	check(r.withdrawTime <= withdrawTarget, "a withdrawn API key was accepted for longer than the target")
	check(r.ejectionTime <= ejectionTarget, "a server with a gray failure was not ejected within the target")
	check(r.zoneTime <= zoneTarget, "a backend server in a zone out of service received requests for longer than the target")
	check(r.staleVMs == 0, "the configuration of a VM became too old to serve requests during the outage of the log")
	check(!o.Kill || r.killTime <= killTarget, "a killed VM was listed as live for longer than the target")
	check(r.duplicateRuns == 0, "a non-idempotent request ran more than once")
	check(r.falseNotRun == 0, "a request reported as not run had run")
	check(r.doneWithoutRun == 0, "a request reported as done had not run")
	check(len(r.mismatches) == 0, "a caller received the response to another request")
	check(r.failedIdempotent == 0, "an idempotent request failed for another reason than the rate limit or the withdrawn key")
	check(r.leaks == 0, "a backend server received an API key")
	check(r.floodDone <= r.floodLimit, "a team exceeded its rate and burst")
	return out
}
