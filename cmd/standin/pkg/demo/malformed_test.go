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

// testMalformed sends what is no proper request, each on its own connection, and then a proper one.
func testMalformed(t *testing.T, p *fixture) {
	const head = "GET /own/malformed HTTP/1.1\r\nHost: own\r\n"
	reached := 0
	p.handle("/own/malformed", func(http.ResponseWriter, *http.Request) { reached++ })
	tests := []struct {
		desc, raw string
		status    int
	}{
		{"no HTTP", "hello\r\n\r\n", http.StatusBadRequest},
		{"no host", "GET /own/malformed HTTP/1.1\r\n\r\n", http.StatusBadRequest},
		{"head too long", head + "X-Long: " + strings.Repeat("x", 1<<17) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"two lengths", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", http.StatusBadRequest},
		{"negative length", head + "Content-Length: -1\r\n\r\n", http.StatusBadRequest},
		{"unknown coding", head + "Transfer-Encoding: gzip\r\n\r\n", http.StatusNotImplemented},
		{"space in a name", head + "X Y: z\r\n\r\n", http.StatusBadRequest},
		{"line end in a value", head + "X-Y: a\rb\r\n\r\n", http.StatusBadRequest},
	}
	for _, tc := range tests {
		require.Equal(t, tc.status, p.sendRaw(t, tc.raw), tc.desc)
	}
	require.Zero(t, reached)
	require.Equal(t, azuretiller.CodeOK, p.send(t, 0, p.request(t, http.MethodGet, "/own/malformed", nil, "")).code)
}

// sendRaw writes text to a VM's callers' address and returns the status of the answer.
func (p *fixture) sendRaw(t *testing.T, raw string) int {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", p.vms[0].settings.VM.Caller)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(callTimeout)))
	// The VM may answer and close before it has read all.
	_, _ = fmt.Fprint(conn, raw)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}
