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
