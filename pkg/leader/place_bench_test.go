package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
)

// BenchmarkAsk measures the handling of a PlaceRequest and its Report, without encoding or sending datagrams.
func BenchmarkAsk(b *testing.B) {
	for _, size := range []int{8, 40, 150} {
		b.Run(fmt.Sprint(size, " servers"), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			l := New(now, Params{Scheduler: scheduler.Params{RetryRatio: 0.2, RetrySlack: 60}}, invariant.NewPanicking(), 1, "vm", "10.0.0.1:1", azuretiller.RateLedger{}, nil)
			var servers []scheduler.Server
			for i := range size {
				servers = append(servers, scheduler.Server{ID: azuretiller.InstanceID(fmt.Sprint("i-", i)), Address: fmt.Sprint("10.1.0.", i, ":80"), Slots: 3})
			}
			l.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"service": servers})
			request := message.PlaceRequest{
				Request: "9c41d07be2a35f68", Route: "route", Team: "team", Timeout: time.Second, SoftTimeout: time.Second, Attempt: 1,
				Backends: []config.Backend{{Service: "service", Weight: 1}},
			}
			call := uint64(0)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				call++
				for _, e := range l.Receive(now, "10.0.0.2:1", message.Envelope{Call: call, Body: request}) {
					if s, ok := e.(Send); ok {
						if response, ok := s.Message.Body.(message.PlaceResponse); ok && response.Ticket != 0 {
							l.Receive(now, "10.0.0.2:1", message.Envelope{Call: call, Body: message.Report{Ticket: response.Ticket, Result: message.Succeeded, Took: 200 * time.Millisecond, Term: 1}})
						}
					}
				}
				if call%50 == 0 {
					l.Tick(now)
				}
			}
		})
	}
}

// BenchmarkAskInZones is BenchmarkAsk with callers and servers in 4 zones and requests that are kept in their zones. A share of the slots
// is taken by attempts that run until the next ones take their place; with 1, the own zone of every request is full.
func BenchmarkAskInZones(b *testing.B) {
	for _, keep := range []bool{false, true} {
		for _, load := range []float64{0.5, 0.95, 1} {
			b.Run(fmt.Sprintf("keep %v, load %.2f", keep, load), func(b *testing.B) {
				const size, zones, slots = 150, 4, 3
				now := time.Unix(1_000_000, 0)
				p := Params{Scheduler: scheduler.Params{RetryRatio: 0.2, RetrySlack: 60, CrossZoneCost: 0.03, CrossZoneCostPerKiB: 0.0035, KeepInZone: keep}}
				l := New(now, p, invariant.NewPanicking(), 1, "vm", "10.0.0.1:1", azuretiller.RateLedger{}, nil)
				var servers []scheduler.Server
				for i := range size {
					servers = append(servers, scheduler.Server{ID: azuretiller.InstanceID(fmt.Sprint("i-", i)), Address: fmt.Sprint("10.1.0.", i, ":80"), Slots: slots, Zone: azuretiller.Zone(fmt.Sprint("zone-", i%zones))})
				}
				l.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"service": servers})
				for zone := range zones {
					l.Receive(now, fmt.Sprintf("10.0.0.%d:1", zone), message.Envelope{Call: 1, Body: message.Heartbeat{VM: azuretiller.VMID(fmt.Sprint("vm-", zone)), Zone: azuretiller.Zone(fmt.Sprint("zone-", zone))}})
				}
				request := message.PlaceRequest{
					Request: "9c41d07be2a35f68", Route: "route", Team: "team", Timeout: 3 * time.Second, SoftTimeout: time.Second, Attempt: 1,
					Backends: []config.Backend{{Service: "service", Weight: 1}},
				}
				var running []message.TicketID
				call := uint64(10)
				for b.Loop() {
					now = now.Add(time.Millisecond)
					call++
					effects := l.Receive(now, fmt.Sprintf("10.0.0.%d:1", call%zones), message.Envelope{Call: call, Body: request})
					if float64(len(running)) >= load*size*slots {
						effects = append(effects, l.Receive(now, "10.0.0.2:1", message.Envelope{Call: call, Body: message.Report{Ticket: running[0], Result: message.Succeeded, Took: 200 * time.Millisecond, Term: 1}})...)
						running = running[1:]
					}
					for _, e := range effects {
						if s, ok := e.(Send); ok {
							if response, ok := s.Message.Body.(message.PlaceResponse); ok && response.Ticket != 0 {
								running = append(running, response.Ticket)
							}
						}
					}
					if call%50 == 0 {
						l.Tick(now)
					}
				}
			})
		}
	}
}
