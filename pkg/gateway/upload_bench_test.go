package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"

	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/upstream"
)

// gatheringSender holds all attempts until as many as expected are under way, and then reads their bodies.
type gatheringSender struct {
	arrived *sync.WaitGroup
	proceed chan struct{}
}

// Send reads the body of the attempt.
func (s gatheringSender) Send(_ context.Context, a upstream.Attempt) upstream.Response {
	s.arrived.Done()
	<-s.proceed
	if _, err := io.CopyBuffer(io.Discard, struct{ io.Reader }{a.Body}, make([]byte, 16<<10)); err != nil {
		panic(err)
	}
	return newResponse(message.Succeeded, http.StatusOK)
}

// BenchmarkUploads measures uploads that are under way at the same time, without connections. held-KiB/upload is the memory that one of them
// occupies while all wait for their servers, and B/op what one allocates in all. Each byte is copied once into the buffer and once out of it,
// and once if it is streamed.
func BenchmarkUploads(b *testing.B) {
	for _, size := range []int64{60_000, 4 << 20} {
		for _, uploads := range []int{1, 100, 1000} {
			b.Run(fmt.Sprintf("%d KiB/%d", size>>10, uploads), func(b *testing.B) {
				g := newTestGateway(nil)
				g.Gateway.transport = grantingTransport{answers: make(chan any, uploads)}
				state := readyState()
				state.LeaderAddress = ""
				g.state.Store(state)
				b.ReportAllocs()
				var held uint64
				for b.Loop() {
					var arrived, done sync.WaitGroup
					arrived.Add(uploads)
					sender := gatheringSender{arrived: &arrived, proceed: make(chan struct{})}
					g.Gateway.sender = sender
					before := heapInUse()
					for range uploads {
						done.Go(func() {
							r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "http://h/orders/1", io.LimitReader(zeros{}, size))
							r.ContentLength = size
							g.ServeHTTP(httptest.NewRecorder(), r)
						})
					}
					arrived.Wait()
					held += heapInUse() - before
					close(sender.proceed)
					done.Wait()
				}
				b.ReportMetric(float64(held)/1024/float64(b.N*uploads), "held-KiB/upload")
			})
		}
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
