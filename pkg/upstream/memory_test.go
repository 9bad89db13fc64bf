package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestHeadsOfManyResponsesStayWithinMemory guards against backend servers that fill the memory of the VM with heads of very many short lines:
// each line of a parsed head takes many times its size.
func TestHeadsOfManyResponsesStayWithinMemory(t *testing.T) {
	const attempts, maxPerAttempt = 200, 128 << 10
	var lines strings.Builder
	for i := 0; lines.Len() < maxHeadBytes-1<<10; i++ {
		lines.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	for _, c := range []struct{ name, start string }{
		{"headers", signedHead + lines.String()},
		{"long header line", signedHead + "X: " + strings.Repeat("x", maxHeadBytes-1<<10)},
		{"informational responses", strings.Repeat("HTTP/1.1 103 Early Hints\r\n"+lines.String()[:4096]+"\r\n", 3)},
		{"trailers", signedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + lines.String()},
	} {
		t.Run(c.name, func(t *testing.T) {
			sender := New()
			var read, ended sync.WaitGroup
			read.Add(attempts)
			ctx, cancel := context.WithCancel(t.Context())
			sender.dial = func(context.Context, string, string) (net.Conn, error) {
				client, conn := net.Pipe()
				go func() {
					_, err := http.ReadRequest(bufio.NewReader(conn))
					if err == nil {
						_, _ = io.WriteString(conn, c.start)
					}
					read.Done()
				}()
				return client, nil
			}
			before := heapInUse()
			for range attempts {
				ended.Go(func() { sender.Send(ctx, newAttempt()) })
			}
			read.Wait()
			assert.Less(t, (heapInUse()-before)/attempts, int64(maxPerAttempt))
			cancel()
			ended.Wait()
		})
	}
}

// heapInUse returns the bytes of the heap that are reachable.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
