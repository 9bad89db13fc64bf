package scheduler

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// BenchmarkBacklog measures the cost of a request with its result at light load, at loads of 0.8 and 0.9 and while several hundred requests
// wait, with and without KeepInZone. 135 servers of 2 slots in 3 zones run requests of 200 ms of 40 teams; one in 9 fails, or 3 in 4 on
// 3 in 10 servers. In the mixed cases each zone has requests of all routes and priorities.
func BenchmarkBacklog(b *testing.B) {
	for _, c := range []struct {
		name        string
		mixed, gray bool
	}{{name: "plain"}, {name: "mixed", mixed: true}, {name: "gray", mixed: true, gray: true}} {
		for _, rate := range []int{300, 1100, 1200, 2000, 4000} {
			for _, keep := range []bool{false, true} {
				b.Run(fmt.Sprintf("%s/rate=%d/keep=%v", c.name, rate, keep), func(b *testing.B) {
					benchmarkBacklog(b, rate, keep, c.mixed, c.gray)
				})
			}
		}
	}
}

func benchmarkBacklog(b *testing.B, rate int, keep, mixed, gray bool) {
	now := startTime()
	p := todaysParams()
	p.KeepInZone = keep
	sc := New(p, invariant.New(func(string) {}), NewTickets(0))
	var servers []Server
	for i := range 135 {
		servers = append(servers, Server{ID: instanceID(i), Address: instanceAddress(i), Zone: zoneName(i % 3), Slots: 2})
	}
	sc.SetServers(now, servers)
	type run struct {
		ticket message.TicketID
		server azuretiller.InstanceID
		until  time.Time
	}
	var running []run
	start := func(decisions []Decision) {
		for _, d := range decisions {
			if d.Ticket != 0 {
				running = append(running, run{ticket: d.Ticket, server: d.Server.ID, until: now.Add(200 * time.Millisecond)})
			}
		}
	}
	waiting := 0
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Second / time.Duration(rate))
		for len(running) > 0 && !running[0].until.After(now) {
			r := running[0]
			running = running[1:]
			failed := i%9 == 0
			if n, _ := strconv.Atoi(string(r.server)); gray {
				failed = n%10 < 3 && i%4 != 0
			}
			result := message.Succeeded
			if failed {
				result = message.Failed
			}
			decisions, _ := sc.Finish(now, r.ticket, result, 200*time.Millisecond, 1500)
			start(decisions)
		}
		if i%50 == 0 {
			start(sc.Tick(now))
		}
		kind := i % 3
		if mixed {
			kind = i / 3 % 3
		}
		start(sc.Submit(now, Request{
			Key: Key{From: "10.1.0." + strconv.Itoa(i%120), Call: uint64(i)}, ID: strconv.Itoa(i), Zone: zoneName(i % 3), Team: azuretiller.TeamID("team-" + strconv.Itoa(i%40)),
			Route: azuretiller.RouteID("route-" + strconv.Itoa(kind)), Priority: kind, Idempotent: kind != 1,
			Deadline: now.Add(2500 * time.Millisecond), SoftDeadline: now.Add(time.Second),
		}))
		waiting += sc.queueLength()
	}
	b.ReportMetric(float64(waiting)/float64(b.N), "waiting/op")
}
