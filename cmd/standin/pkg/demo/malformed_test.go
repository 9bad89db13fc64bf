package demo

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
)

// testMalformed sends malformed requests, each on its own connection, and then a valid one.
func testMalformed(t *testing.T, f *fixture) {
	const head = "GET /own/malformed HTTP/1.1\r\nHost: own\r\n"
	runs := 0
	f.handle("/own/malformed", func(http.ResponseWriter, *http.Request) { runs++ })
	tests := []struct {
		desc, raw string
		status    int
	}{
		{"not an HTTP request", "hello\r\n\r\n", http.StatusBadRequest},
		{"missing Host header", "GET /own/malformed HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"header too large", head + "X-Long: " + strings.Repeat("x", 1<<17) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"two Content-Length headers", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", http.StatusBadRequest},
		{"negative Content-Length", head + "Content-Length: -1\r\n\r\n", http.StatusBadRequest},
		{"unsupported Transfer-Encoding", head + "Transfer-Encoding: gzip\r\n\r\n", http.StatusNotImplemented},
		{"space in a header name", head + "X Y: z\r\n\r\n", http.StatusBadRequest},
		{"carriage return in a header value", head + "X-Y: a\rb\r\n\r\n", http.StatusBadRequest},
	}
	for _, tc := range tests {
		require.Equal(t, tc.status, f.sendRaw(t, tc.raw), tc.desc)
	}
	require.Zero(t, runs)
	require.Equal(t, azuretiller.CodeOK, f.send(t, 0, f.request(t, http.MethodGet, "/own/malformed", nil, "")).code)
}

// sendRaw writes raw bytes to the callers' address of a VM and returns the status of the response.
func (f *fixture) sendRaw(t *testing.T, raw string) int {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.vms[0].settings.VM.CallerAddress)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(callTimeout)))
	// A write error is no failure: the VM may respond and close the connection before it has read all bytes.
	_, _ = fmt.Fprint(conn, raw)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}
