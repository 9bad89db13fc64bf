package dispatch_test

import (
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/dispatch"
	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/pool"
)

// TestInvalidStatusFailsAttempt guards against a response with a status that HTTP does not have: it must not reach the caller, count as a
// success of the server or as proof that the request did not run, and its connection must not be used again.
func TestInvalidStatusFailsAttempt(t *testing.T) {
	for _, status := range []string{"000", "001", "+01", "099", "600", "999"} {
		invalid := "HTTP/1.1 " + status + " Status\r\n"
		for name, head := range map[string]string{
			"alone":                  invalid + "Content-Length: 0\r\n\r\n",
			"before a response":      invalid + "Content-Length: 0\r\n\r\n" + formatResponse(200, "second", false, "late"),
			"after an informational": "HTTP/1.1 103 Early Hints\r\n\r\n" + invalid + "Content-Length: 0\r\n\r\n",
			"with a refusal":         invalid + headers.NotRun + ": true\r\n" + headers.RequestID + ": second\r\nContent-Length: 2\r\n\r\nno",
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				s := dispatch.New()
				defer s.Close()
				server := startServer(t, func(conn net.Conn, number int32, id string) {
					response := formatResponse(200, id, false, fmt.Sprint("connection ", number))
					if id == "second" {
						response = head
					}
					_, _ = io.WriteString(conn, response)
				})
				require.Equal(t, "connection 1", readBody(t, send(t.Context(), s, server, "first")))
				second := send(t.Context(), s, server, "second")
				assert.Equal(t, pool.ConnectionBroken, second.Kind)
				assert.Nil(t, second.Response)
				third := send(t.Context(), s, server, "third")
				for third.Kind == pool.Unreachable {
					third = send(t.Context(), s, server, "third")
				}
				require.Equal(t, pool.Succeeded, third.Kind)
				assert.Equal(t, "connection 2", readBody(t, third))
			})
		}
	}
}

// TestInvalidStatusFailsProbe guards against a server that counts as healthy because of such a response.
func TestInvalidStatusFailsProbe(t *testing.T) {
	for status, healthy := range map[string]bool{"000": false, "099": false, "600": false, "204": true} {
		s := dispatch.New()
		server := startServer(t, func(conn net.Conn, _ int32, _ string) {
			_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Status\r\nContent-Length: 0\r\n\r\n")
		})
		assert.Equal(t, healthy, s.Probe(t.Context(), server, "/health"), status)
		s.Close()
	}
}
