package clientlimits

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/loopback"
)

// slowRead is the number of bytes that a slow reader reads each sampleInterval, so that a large response takes minutes.
const slowRead = 4 << 10

// serveRequest returns the head of a request to "azuretiller serve" without the empty line at its end.
func serveRequest(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n", method, path, host, key)
}

// TestServeLegalHeadsOfManyLines guards against legal requests of very many lines that fill the memory while their bodies do not arrive.
func TestServeLegalHeadsOfManyLines(t *testing.T) {
	p := startServe(t, maxFds)
	load{address: address(loopback.CallerPort), connections: 600, send: func(conn net.Conn, number int) {
		start := serveRequest(http.MethodPost, "/orders/1") + "Content-Length: 5\r\n"
		_, _ = io.WriteString(conn, formatHead(start, number, legalSize)+"\r\n")
	}}.run(t, p.process)
	p.check(t)
}

// TestServeAlmostCompleteHeads guards against heads that lack only the empty line at their end.
func TestServeAlmostCompleteHeads(t *testing.T) {
	p := startServe(t, maxFds)
	load{address: address(loopback.CallerPort), connections: 600, send: func(conn net.Conn, number int) {
		_, _ = io.WriteString(conn, formatHead(serveRequest(http.MethodPost, "/orders/1"), number, legalSize))
	}}.run(t, p.process)
	p.check(t)
}

// TestServeHeadsToOperatorListener guards against the same heads, without a token, on the operators' listener.
func TestServeHeadsToOperatorListener(t *testing.T) {
	p := startServe(t, maxFds)
	load{address: address(operatorPort), connections: 600, send: func(conn net.Conn, number int) {
		head := formatHead("POST /edits HTTP/1.1\r\nHost: "+host+"\r\nContent-Length: 5\r\n", number, legalSize)
		if number%2 == 0 {
			head += "\r\n"
		}
		_, _ = io.WriteString(conn, head)
	}}.run(t, p.process)
	p.check(t)
}

// TestServeLegalReadsOfManyLines guards against the same requests without a body, which run until the client leaves.
func TestServeLegalReadsOfManyLines(t *testing.T) {
	p := startServe(t, maxFds)
	load{address: address(loopback.CallerPort), connections: 600, send: func(conn net.Conn, number int) {
		_, _ = io.WriteString(conn, formatHead(serveRequest(http.MethodGet, slowPath), number, legalSize)+"\r\n")
	}}.run(t, p.process)
	p.check(t)
}

// TestServeUploadsThatDoNotEnd guards against bodies that lack their last byte.
func TestServeUploadsThatDoNotEnd(t *testing.T) {
	p := startServe(t, maxFds)
	load{address: address(loopback.CallerPort), connections: 600, send: func(conn net.Conn, _ int) {
		length := fmt.Sprintf("Content-Length: %d\r\n\r\n", uploadSize)
		_, _ = io.WriteString(conn, serveRequest(http.MethodPost, "/orders/1")+length+strings.Repeat("x", uploadSize-1))
	}}.run(t, p.process)
	p.check(t)
}

// TestServeUnreadResponses guards against responses that their callers do not read.
func TestServeUnreadResponses(t *testing.T) {
	p := startServe(t, maxFds)
	load{address: address(loopback.CallerPort), connections: 600, send: func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, serveRequest(http.MethodGet, largePath)+"\r\n")
	}}.run(t, p.process)
	p.check(t)
}

// TestServeIdleConnections guards against idle connections to each of the listeners that exhaust the descriptors.
func TestServeIdleConnections(t *testing.T) {
	for _, c := range []struct {
		name string
		port int
	}{{"callers", loopback.CallerPort}, {"operators", operatorPort}, {"peers", loopback.PeerPort}} {
		t.Run(c.name, func(t *testing.T) {
			p := startServe(t, fewFds)
			load{address: address(c.port), connections: 1200, send: sendIdle}.run(t, p.process)
			p.check(t)
		})
	}
}

// TestServeStopsBesideSlowBodies guards against a process that does not stop while callers send their bodies byte by byte.
func TestServeStopsBesideSlowBodies(t *testing.T) {
	p := startServe(t, maxFds)
	for range 3 {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address(loopback.CallerPort))
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, serveRequest(http.MethodPost, "/orders/1")+fmt.Sprintf("Content-Length: %d\r\n\r\n", uploadSize))
		require.NoError(t, err)
		go func() {
			for _, err := conn.Write([]byte("x")); err == nil; _, err = conn.Write([]byte("x")) {
				time.Sleep(sampleInterval)
			}
		}()
	}
	p.requireAnswer(t, "beside slow bodies")
	p.requireStop(t)
}

// TestServeStopsBesideSlowReaders guards against a process that does not stop while callers read their responses slowly.
func TestServeStopsBesideSlowReaders(t *testing.T) {
	p := startServe(t, maxFds)
	for range 3 {
		conn, reader := dialOrdinary(t)
		_, err := io.WriteString(conn, serveRequest(http.MethodGet, largePath)+"\r\n")
		require.NoError(t, err)
		_, err = reader.ReadByte()
		require.NoError(t, err, "the response has begun")
		go func() {
			for _, err := io.CopyN(io.Discard, reader, slowRead); err == nil; _, err = io.CopyN(io.Discard, reader, slowRead) {
				time.Sleep(sampleInterval)
			}
		}()
	}
	p.requireStop(t)
}

// requireStop requires that the process ends after SIGTERM.
func (p serveProcess) requireStop(t *testing.T) {
	t.Helper()
	require.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
	ctx, cancel := context.WithTimeout(t.Context(), guardTimeout)
	defer cancel()
	p.waitUntil(ctx)
	require.NoError(t, ctx.Err(), "the process ends")
}

// TestServeSingleLegalHeadIsServed guards against limits that refuse a single request within the limits under calm conditions.
func TestServeSingleLegalHeadIsServed(t *testing.T) {
	p := startServe(t, maxFds)
	for shape := range 4 {
		conn, reader := dialOrdinary(t)
		_, err := io.WriteString(conn, formatHead(serveRequest(http.MethodGet, "/reads/1"), shape, legalSize)+"\r\n")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, readStatus(reader), shape)
	}
	p.check(t)
}
