package clientlimits

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/azuretiller/azuretiller/platform"
)

const (
	// holdTime is how long connections stay open after the last of them has sent its bytes.
	holdTime = 3 * time.Second
	// endlessBytes is how much a client without an end sends on one connection.
	endlessBytes = 1 << 20
	// dialers is the number of connections on which bytes are sent at the same time.
	dialers = 256
)

// load is what the clients of a test do.
type load struct {
	address     string
	connections int
	// send writes to a connection.
	send func(conn net.Conn, number int)
}

// run opens the connections, sends on all of them and keeps them open for holdTime after that.
func (l load) run(t *testing.T, p *process) {
	t.Helper()
	var mu sync.Mutex
	var conns []net.Conn
	var running sync.WaitGroup
	slots := make(chan struct{}, dialers)
	dialer := net.Dialer{Timeout: guardTimeout}
	for number := range l.connections {
		slots <- struct{}{}
		conn, err := dialer.DialContext(t.Context(), "tcp", l.address)
		if err != nil {
			<-slots
			continue
		}
		mu.Lock()
		conns = append(conns, conn)
		mu.Unlock()
		_ = conn.SetDeadline(time.Now().Add(guardTimeout))
		running.Go(func() {
			defer func() { <-slots }()
			l.send(conn, number)
		})
	}
	running.Wait()
	ctx, cancel := context.WithTimeout(t.Context(), holdTime)
	defer cancel()
	p.waitUntil(ctx)
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// formatHead returns a head of about size bytes that consists of short lines; the shape selects their form. The empty line at its end is
// missing.
func formatHead(start string, shape, size int) string {
	var b strings.Builder
	b.WriteString(start)
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	for i := 0; b.Len() < size-2; i++ {
		first, second := digits[i/len(digits)%len(digits)], digits[i%len(digits)]
		third := digits[i/len(digits)/len(digits)%len(digits)]
		switch shape % 4 {
		case 0:
			fmt.Fprintf(&b, "%c%c%c:\n", third, first, second)
		case 1:
			fmt.Fprintf(&b, "%c%c%c:\r\n", third, first, second)
		case 2:
			b.WriteString("a:\n")
		default:
			// Names with other characters than letters, digits and hyphens.
			fmt.Fprintf(&b, "!%c%c%c:1\r\n", first, second, third)
		}
	}
	return b.String()[:strings.LastIndex(b.String(), "\n")+1]
}

// requestStart returns the first lines of a request to an ordinary route.
func requestStart(method, path string, number int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: attempt-%d\r\nAuthorization: Bearer %s\r\n", method, path, host, platform.HeaderAttempt, number, key)
}

// writeEndlessly repeats a text up to endlessBytes or until the connection is closed.
func writeEndlessly(conn net.Conn, text string) {
	piece := strings.Repeat(text, 1+4096/len(text))
	for sent := 0; sent < endlessBytes; sent += len(piece) {
		if _, err := io.WriteString(conn, piece); err != nil {
			return
		}
	}
}
