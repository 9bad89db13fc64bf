package gateway

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/message"
)

// TestConnectionIsUsableAfterRefusedBody checks that a caller that sends the rest of an unwanted body can send its next request.
func TestConnectionIsUsableAfterRefusedBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := startUpload(t, 1)
		u.sendHead(t, "/unknown/1", "Content-Length: 2000\r\n")
		u.receive(t)
		u.send(t, strings.Repeat("x", 2000))
		u.sendHead(t, "/orders/1", "Content-Length: 1\r\n")
		u.send(t, "y")
		a := <-u.attempts
		got, err := io.ReadAll(a.Body)
		require.NoError(t, err)
		assert.Equal(t, "y", string(got))
		u.results <- newResponse(message.Succeeded, 200)
		assert.Equal(t, 200, u.receive(t).status)
	})
}

// TestLateBodyOfRefusedRequestIsNoRequest guards against callers that get the response to another request: the body of a refused upload arrives
// after the VM stopped waiting for it, and looks like a request.
func TestLateBodyOfRefusedRequestIsNoRequest(t *testing.T) {
	for _, arrived := range []int{0, 10} {
		synctest.Test(t, func(t *testing.T) {
			u := startUpload(t, 1)
			body := "POST /orders/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
			u.sendHead(t, "/unknown/1", fmt.Sprintf("Content-Length: %d\r\n", len(body)))
			assert.Equal(t, 404, u.receive(t).status)
			u.send(t, body[:arrived])
			time.Sleep(unreadBodyTimeout + time.Second)
			go func() { _, _ = io.WriteString(u.caller, body[arrived:]+body) }()
			_, err := u.reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF, "%d bytes arrived in time", arrived)
			assert.Empty(t, u.attempts)
		})
	}
}
