package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/message"
)

const uploadSize = 200 << 10

// received is what a backend server got of a request body.
type received struct {
	body []byte
	err  error
}

// sendUpload sends a body to a server that reads it completely and then responds.
func sendUpload(t *testing.T, body io.Reader, size int64) (Response, received) {
	t.Helper()
	client, conn := net.Pipe()
	got := make(chan received, 1)
	go func() {
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			got <- received{err: err}
			return
		}
		data, err := io.ReadAll(request.Body)
		got <- received{data, err}
		if err == nil {
			_, _ = io.WriteString(conn, signedHead+"Content-Length: 2\r\n\r\nok")
		}
	}()
	sender := New()
	sender.dial = func(context.Context, string, string) (net.Conn, error) { return client, nil }
	a := newAttempt()
	a.Method, a.Body, a.BodySize = http.MethodPost, body, size
	response := sender.Send(t.Context(), a)
	return response, <-got
}

// TestUploadIsSentWhole checks bodies with and without a known size, also if they arrive in small pieces.
func TestUploadIsSentWhole(t *testing.T) {
	for _, size := range []int{0, 1, bodyBufferSize, uploadSize} {
		for _, known := range []bool{true, false} {
			want := strings.Repeat("u", size)
			declared := int64(size)
			if !known {
				declared = -1
			}
			response, got := sendUpload(t, iotest.HalfReader(strings.NewReader(want)), declared)
			require.NoError(t, got.err)
			assert.Equal(t, want, string(got.body))
			assert.Equal(t, message.Succeeded, response.Result)
		}
	}
}

// TestInterruptedUploadIsNeverWhole guards against a server that takes a part of a body for the whole, and against evidence against a
// server that could not respond.
func TestInterruptedUploadIsNeverWhole(t *testing.T) {
	part := strings.Repeat("u", uploadSize/2)
	for _, c := range []struct {
		name string
		body io.Reader
		size int64
	}{
		{"known size", io.MultiReader(strings.NewReader(part), iotest.ErrReader(io.ErrUnexpectedEOF)), uploadSize},
		{"unknown size", io.MultiReader(strings.NewReader(part), iotest.ErrReader(io.ErrUnexpectedEOF)), -1},
		{"shorter than it says", strings.NewReader(part), uploadSize},
	} {
		t.Run(c.name, func(t *testing.T) {
			response, got := sendUpload(t, c.body, c.size)
			require.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
			assert.Equal(t, message.Cancelled, response.Result)
			assert.False(t, response.Result.NotRun())
		})
	}
}

// TestEarlyResponseEndsUpload checks that a response which comes before the body was read is returned, and that nothing else is sent on its
// connection.
func TestEarlyResponseEndsUpload(t *testing.T) {
	client, conn := net.Pipe()
	rest := make(chan int64, 1)
	go func() {
		_, _ = http.ReadRequest(bufio.NewReaderSize(conn, 16))
		_, _ = io.WriteString(conn, signedHead+"Content-Length: 2\r\n\r\nok")
		n, _ := io.Copy(io.Discard, conn)
		rest <- n
	}()
	sender := New()
	sender.dial = func(context.Context, string, string) (net.Conn, error) { return client, nil }
	a := newAttempt()
	a.Method, a.Body, a.BodySize = http.MethodPost, strings.NewReader(strings.Repeat("u", uploadSize)), uploadSize
	response := sender.Send(t.Context(), a)
	assert.Equal(t, message.Succeeded, response.Result)
	assert.Equal(t, "ok", string(response.Body))
	assert.Less(t, <-rest, int64(uploadSize))
}

// TestTruncatedResponseIsNeverWhole cuts a response at each byte: a response that ends within its head or its body is no success, and with
// a body that the end of the connection ends, no success before the head is complete.
func TestTruncatedResponseIsNeverWhole(t *testing.T) {
	for _, more := range []string{"Content-Length: 12\r\n\r\nhello, world", "Transfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\n\r\n", "\r\n"} {
		whole := signedHead + more
		for cut := range len(whole) {
			s := &server{start: whole[:cut]}
			response := send(t.Context(), s)
			assert.NotEqual(t, message.Succeeded, response.Result, fmt.Sprintf("%q", whole[:cut]))
		}
		assert.Equal(t, message.Succeeded, send(t.Context(), &server{start: whole}).Result)
	}
}
