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

func BenchmarkBacklog(b *testing.B) {
	for _, keep := range []bool{false, true} {
		for _, rate := range []int{300, 1200, 2000, 4000} {
			b.Run(fmt.Sprint(keep, "-", rate), func(b *testing.B) {
				now := time.Unix(1_000_000, 0)
				p := Params{RetryRatio: 0.2, RetrySlack: 200, CrossZoneCost: 0.03, CrossZoneCostPerKiB: 0.0035}
				p.KeepInZone = keep
				sc := New(p, invariant.New(func(string) {}), NewTickets(0))
				var servers []Server
				for i := range 135 {
					servers = append(servers, Server{ID: azuretiller.InstanceID(strconv.Itoa(i)), Address: fmt.Sprint("10.0.0.", i, ":80"), Zone: azuretiller.Zone(fmt.Sprint("z", i%3)), Slots: 2})
				}
				sc.SetServers(now, servers)
				type run struct {
					t  message.TicketID
					at time.Time
				}
				var running []run
				add := func(ds []Decision, at time.Time) {
					for _, d := range ds {
						if d.Ticket != 0 {
							running = append(running, run{d.Ticket, at.Add(200 * time.Millisecond)})
						}
					}
				}
				b.ResetTimer()
				for i := range b.N {
					now = now.Add(time.Second / time.Duration(rate))
					for len(running) > 0 && !running[0].at.After(now) {
						r := running[0]
						running = running[1:]
						result := message.Succeeded
						if i%9 == 0 {
							result = message.Failed
						}
						ds, _ := sc.Finish(now, r.t, result, 200*time.Millisecond, 1500)
						add(ds, now)
					}
					if i%50 == 0 {
						add(sc.Tick(now), now)
					}
					add(sc.Submit(now, Request{Key: Key{From: "10.1.0." + strconv.Itoa(i%120), Call: uint64(i)}, ID: strconv.Itoa(i), Zone: azuretiller.Zone(fmt.Sprint("z", i%3)), Team: azuretiller.TeamID(fmt.Sprint("t", i%40)), Route: azuretiller.RouteID(fmt.Sprint("r", i%3)), Priority: i % 3, Idempotent: i%3 != 1, Deadline: now.Add(2500 * time.Millisecond), SoftDeadline: now.Add(time.Second)}), now)
				}
			})
		}
	}
}
