package clientlimits

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/backendserver"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/loopback"
	"github.com/azuretiller/azuretiller/platform"
)

// legalSize is the size in bytes of the largest head that the tests count as legal.
const legalSize = maxHeaderBytes - 64

// uploadSize is the size in bytes of the largest body that is buffered as a whole.
const uploadSize = 1 << 20

// TestLegalHeadsOfManyLines guards against legal requests of very many short or odd header lines that fill the memory while their responses
// are pending: their bodies never arrive.
func TestLegalHeadsOfManyLines(t *testing.T) {
	p := startProcess(t, maxFds, servers)
	load{address: address(loopback.CallerPort), connections: 400, send: func(conn net.Conn, number int) {
		start := requestStart(http.MethodPost, "/orders/1", number) + "Content-Length: 5\r\n"
		_, _ = io.WriteString(conn, formatHead(start, number, legalSize)+"\r\n")
	}}.run(t, p)
	p.check(t)
}

// TestLegalReadsOfManyLines guards against the same requests without a body, which wait for a backend server or are refused.
func TestLegalReadsOfManyLines(t *testing.T) {
	p := startProcess(t, maxFds, servers)
	load{address: address(loopback.CallerPort), connections: 400, send: func(conn net.Conn, number int) {
		_, _ = io.WriteString(conn, formatHead(requestStart(http.MethodGet, "/reads/1", number), number, legalSize)+"\r\n")
	}}.run(t, p)
	p.check(t)
}

// TestAlmostCompleteHeadsOfManyLines guards against heads that lack only the empty line at their end and fill the memory meanwhile.
func TestAlmostCompleteHeadsOfManyLines(t *testing.T) {
	p := startProcess(t, maxFds, servers)
	load{address: address(loopback.CallerPort), connections: 600, send: func(conn net.Conn, number int) {
		_, _ = io.WriteString(conn, formatHead(requestStart(http.MethodPost, "/orders/1", number), number, legalSize))
	}}.run(t, p)
	p.check(t)
}

// TestPipelinedHeadsOfManyLines guards against almost complete heads that follow a request on the same connection, so that a part of them is
// read together with it.
func TestPipelinedHeadsOfManyLines(t *testing.T) {
	p := startProcess(t, maxFds, servers)
	load{address: address(loopback.CallerPort), connections: 1500, send: func(conn net.Conn, number int) {
		_, _ = io.WriteString(conn, requestStart(http.MethodGet, "/none", number)+"\r\n"+formatHead(requestStart(http.MethodGet, "/none", number), number, 3500))
	}}.run(t, p)
	p.check(t)
}

// TestHeadsOverTheLimit guards against complete heads that are larger than the configuration allows.
func TestHeadsOverTheLimit(t *testing.T) {
	p := startProcess(t, maxFds, servers)
	load{address: address(loopback.CallerPort), connections: 300, send: func(conn net.Conn, number int) {
		start := requestStart(http.MethodPost, "/orders/1", number) + "Content-Length: 5\r\n"
		_, _ = io.WriteString(conn, formatHead(start, number, 60<<10)+"\r\n")
	}}.run(t, p)
	p.check(t)
}

// TestHeadsWithoutEnd guards against heads that never end: short lines, one long line, and a long request line.
func TestHeadsWithoutEnd(t *testing.T) {
	p := startProcess(t, maxFds, servers)
	load{address: address(loopback.CallerPort), connections: 600, send: func(conn net.Conn, number int) {
		switch number % 8 {
		case 0:
			_, _ = io.WriteString(conn, requestStart(http.MethodGet, "/reads/1", number))
			writeEndlessly(conn, "a: b\r\n")
		case 1:
			_, _ = io.WriteString(conn, requestStart(http.MethodGet, "/reads/1", number)+"a: ")
			writeEndlessly(conn, "b")
		case 2:
			_, _ = io.WriteString(conn, "GET /")
			writeEndlessly(conn, "b")
		default:
			_, _ = io.WriteString(conn, formatHead(requestStart(http.MethodGet, "/reads/1", number), number, 60<<10))
			writeEndlessly(conn, "a:\n")
		}
	}}.run(t, p)
	p.check(t)
}

// TestEmptyLinesWithoutEnd guards against empty lines before a request, also after a request with a body, after which net/http accepts some.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	p := startProcess(t, maxFds, servers)
	load{address: address(loopback.CallerPort), connections: 600, send: func(conn net.Conn, number int) {
		if number%2 == 0 {
			_, _ = io.WriteString(conn, requestStart(http.MethodPost, "/none", number)+"Content-Length: 1\r\n\r\nb")
		}
		writeEndlessly(conn, "\r\n")
	}}.run(t, p)
	p.check(t)
}

// TestUploadsThatDoNotEnd guards against bodies up to the buffered size that lack their last byte.
func TestUploadsThatDoNotEnd(t *testing.T) {
	p := startProcess(t, maxFds, servers)
	load{address: address(loopback.CallerPort), connections: 400, send: func(conn net.Conn, number int) {
		_, _ = io.WriteString(conn, requestStart(http.MethodPost, "/orders/1", number)+fmt.Sprintf("Content-Length: %d\r\n\r\n", uploadSize)+strings.Repeat("x", uploadSize-1))
	}}.run(t, p)
	p.check(t)
}

// TestUnreadBytes guards against bytes that wait in the receive buffers of connections while a request runs. They count as memory of the VM.
func TestUnreadBytes(t *testing.T) {
	p := startProcess(t, maxFds, manyServers)
	for _, server := range p.servers {
		server.SetFault(backendserver.Healthy, guardTimeout)
	}
	p.mu.Lock()
	p.countUnread = true
	p.mu.Unlock()
	load{address: address(loopback.CallerPort), connections: 1200, send: func(conn net.Conn, number int) {
		_, _ = io.WriteString(conn, requestStart(http.MethodPost, "/orders/1", number)+"Content-Length: 0\r\n\r\n")
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(conn, strings.Repeat("x", endlessBytes))
	}}.run(t, p)
	for _, server := range p.servers {
		server.SetFault(backendserver.Healthy, 0)
	}
	p.check(t)
}

// TestIdleConnections guards against connections that exhaust the descriptors while they are idle, before or after a request, or slow in
// sending a head.
func TestIdleConnections(t *testing.T) {
	p := startProcess(t, fewFds, servers)
	load{address: address(loopback.CallerPort), connections: 1200, send: sendIdle}.run(t, p)
	p.check(t)
}

// TestSlowBodies guards against connections that exhaust the descriptors with requests of ordinary size whose bodies do not arrive.
func TestSlowBodies(t *testing.T) {
	p := startProcess(t, fewFds, servers)
	load{address: address(loopback.CallerPort), connections: 1200, send: func(conn net.Conn, number int) {
		length := "Content-Length: 5\r\n\r\n"
		if number%2 == 1 {
			length = "Transfer-Encoding: chunked\r\n\r\n5\r\n"
		}
		_, _ = io.WriteString(conn, requestStart(http.MethodPost, "/orders/1", number)+length)
	}}.run(t, p)
	p.check(t)
}

// sendIdle leaves a connection idle: some of them at once, some after an answered request and some in the middle of a request line.
func sendIdle(conn net.Conn, number int) {
	switch number % 3 {
	case 0:
		_, _ = io.WriteString(conn, "GET /re")
	case 1:
		_, _ = io.WriteString(conn, "GET /none HTTP/1.1\r\nHost: "+host+"\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
}

// TestIdleConnectionsOfOtherListeners guards against connections to the listeners for address look-ups, readiness and other VMs that exhaust
// the descriptors.
func TestIdleConnectionsOfOtherListeners(t *testing.T) {
	p := startProcess(t, fewFds, servers)
	ports := []int{loopback.ResolvePort, loopback.ReadinessPort, loopback.PeerPort}
	for _, port := range ports {
		load{address: address(port), connections: 1000, send: sendIdle}.run(t, p)
	}
	p.check(t)
}

func testOtherListener(t *testing.T, port int, path string) {
	p := startProcess(t, maxFds, servers)
	load{address: address(port), connections: 600, send: func(conn net.Conn, number int) {
		start := "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n"
		switch number % 4 {
		case 0:
			_, _ = io.WriteString(conn, formatHead(start, number/4, legalSize)+"\r\n")
		case 1:
			_, _ = io.WriteString(conn, formatHead(start, number/4, legalSize))
		case 2:
			_, _ = io.WriteString(conn, formatHead(start, number/4, 60<<10))
		default:
			_, _ = io.WriteString(conn, start)
			writeEndlessly(conn, "a:\n")
		}
	}}.run(t, p)
	p.check(t)
}

// TestHeadsToAddressListener guards against heads of many lines, over the limit and without an end that address look-ups carry.
func TestHeadsToAddressListener(t *testing.T) {
	testOtherListener(t, loopback.ResolvePort, platform.PathResolve+"?name="+host+"&zone=zone-0")
}

// TestHeadsToReadinessListener guards against the same heads in readiness checks.
func TestHeadsToReadinessListener(t *testing.T) {
	testOtherListener(t, loopback.ReadinessPort, platform.PathReady)
}

// TestHeadsToPeerListener guards against the same heads on the listener for other VMs.
func TestHeadsToPeerListener(t *testing.T) {
	testOtherListener(t, loopback.PeerPort, "/settings")
}

// TestSingleLegalHeadIsServed guards against limits that refuse a single request within the limits of the configuration under calm conditions.
func TestSingleLegalHeadIsServed(t *testing.T) {
	p := startProcess(t, maxFds, servers)
	for shape := range 4 {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address(loopback.CallerPort))
		require.NoError(t, err)
		_, err = io.WriteString(conn, formatHead(requestStart(http.MethodGet, "/reads/1", shape), shape, legalSize)+"\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode, shape)
		require.NoError(t, response.Body.Close())
		require.NoError(t, conn.Close())
	}
	p.check(t)
}
