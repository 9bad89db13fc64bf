package fleetwire

import (
	"fmt"
	"testing"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// BenchmarkMessages measures the encoded size of each kind of message in bytes, without the IP and UDP headers.
func BenchmarkMessages(b *testing.B) {
	view := message.View{Term: 3, Version: 100}
	for i := range 40 {
		view.Members = append(view.Members, message.Member{
			VM: azuretiller.VMID(fmt.Sprint("edge-perth-north-", i)), Zone: "perth-north", Callers: "10.1.0.24:8045", Peer: "10.1.0.24:7100", Ready: true, Power: 32,
		})
		view.Servers = append(view.Servers, message.Server{
			ID: "i-7f3a91c2aa", Service: "huvo11a", Address: "10.128.0.9:8080", Zone: "perth-north", Slots: 3, Success: 90,
		})
	}
	for name, body := range map[string]any{
		"beat":   message.Heartbeat{Incarnation: 1 << 60, Ready: true, Term: 3, ViewVersion: 100, ConfigRevision: 40},
		"answer": message.HeartbeatResponse{Term: 3, IsLeader: true, Leader: "edge-perth-north-5", LeaderAddress: "10.1.0.24:7100", ConfigRevision: 40, StaticFieldsKnown: true},
		"ask": message.PlaceRequest{
			Request: "9c41d07be2a35f68", Route: "r-427eya6", Team: "cuka620", Backends: []config.Backend{{Service: "huvo11a", Weight: 1}},
			Timeout: time.Second, SoftTimeout: time.Second, Priority: 1, Attempt: 1, Fingerprint: 1 << 60, Term: 3,
		},
		"grant":  message.PlaceResponse{Ticket: 10000, Server: "i-7f3a91c2aa", Address: "10.128.0.9:8080", Service: "huvo11a", Code: azuretiller.CodeOK, Term: 3},
		"report": message.Report{Ticket: 10000, Result: message.Succeeded, Took: 200 * time.Millisecond, Bytes: 1500, Term: 3},
		"seen":   message.ReportAck{Term: 3},
		"view40": view,
	} {
		b.Run(name, func(b *testing.B) {
			var data []byte
			for b.Loop() {
				var err error
				if data, err = Encode(message.Envelope{Call: 1 << 60, Body: body}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}
