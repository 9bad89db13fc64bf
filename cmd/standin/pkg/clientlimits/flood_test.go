package clientlimits

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/loopback"
)

const (
	floodClients  = 250
	floodSpan     = 20 * time.Second
	ordinaryPause = 100 * time.Millisecond
	// ordinaryTimeout is how long an ordinary caller waits for its response.
	ordinaryTimeout = 5 * time.Second
)

// TestFigureCallersBesideFlood prints how many of the requests of ordinary callers end without a response while a crowd opens stalled connections
// as fast as it can. It is run by hand (FIGURES=1), since the figure depends on the machine.
func TestFigureCallersBesideFlood(t *testing.T) {
	if os.Getenv("FIGURES") == "" {
		t.Skip("FIGURES is not set")
	}
	for _, s := range stalls() {
		t.Run(s.name, func(t *testing.T) {
			p := startProcess(t, maxFds, servers)
			ctx, cancel := context.WithTimeout(t.Context(), floodSpan)
			defer cancel()
			var running sync.WaitGroup
			for range floodClients {
				running.Go(func() { flood(ctx, s) })
			}
			kept, fresh := tally{}, tally{}
			running.Go(func() { kept.send(ctx, true) })
			running.Go(func() { fresh.send(ctx, false) })
			running.Wait()
			p.check(t)
			t.Logf("FIGURE kept connections: %v, new connections: %v (by status; 0: no response, -1: no connection)", kept, fresh)
		})
	}
}

// flood opens one stalled connection after the other and keeps each until the process closes it.
func flood(ctx context.Context, s stall) {
	for number := 0; ctx.Err() == nil; number++ {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", address(loopback.CallerPort))
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(floodSpan))
		reader := bufio.NewReader(conn)
		s.send(conn, reader, number)
		go func() {
			_, _ = io.Copy(io.Discard, reader)
			_ = conn.Close()
		}()
	}
}

// noConnection is the status of a request for which no connection could be opened, also for lack of ports in the test itself.
const noConnection = -1

// tally counts responses by status; 0 stands for none.
type tally map[int]int

// send sends ordinary requests until the context ends, each on a new connection unless the last one is kept.
func (a tally) send(ctx context.Context, keep bool) {
	var conn net.Conn
	var reader *bufio.Reader
	for ctx.Err() == nil {
		if conn == nil {
			dialer := net.Dialer{Timeout: ordinaryTimeout}
			var err error
			if conn, err = dialer.DialContext(ctx, "tcp", address(loopback.CallerPort)); err != nil {
				if ctx.Err() == nil {
					a[noConnection]++
					time.Sleep(ordinaryPause)
				}
				continue
			}
			reader = bufio.NewReader(conn)
		}
		_ = conn.SetDeadline(time.Now().Add(ordinaryTimeout))
		_, _ = io.WriteString(conn, ordinaryRequest)
		status := readStatus(reader)
		a[status]++
		if !keep || status == 0 {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(ordinaryPause)
	}
}
