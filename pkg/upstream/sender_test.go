package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/bytebudget"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	testID      = "attempt-1"
	testTimeout = 3 * time.Second
	signedHead  = "HTTP/1.1 200 OK\r\n" + platform.HeaderAttempt + ": " + testID + "\r\n" + platform.HeaderSignature + ": signed\r\n"
)

// server answers one request over an unbuffered pipe, so that the bytes it writes are those that the sender reads.
type server struct {
	// start is sent once, and repeated until the connection is closed; the server then closes the connection.
	start, repeated string
	// maxBytes ends a test in which the sender reads without a limit.
	maxBytes int
	// written is the number of bytes that the sender read; it is valid once done is closed.
	written int
	done    chan struct{}
}

func (s *server) dial(context.Context, string, string) (net.Conn, error) {
	client, conn := net.Pipe()
	s.done = make(chan struct{})
	go func() {
		defer close(s.done)
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		n, err := io.WriteString(conn, s.start)
		s.written = n
		for err == nil && s.repeated != "" && s.written < s.maxBytes {
			n, err = io.WriteString(conn, s.repeated)
			s.written += n
		}
	}()
	return client, nil
}

func newAttempt() Attempt {
	return Attempt{Method: http.MethodGet, Target: "/", Host: "h", ID: testID, Headers: http.Header{}, Deadline: time.Now().Add(testTimeout)}
}

func send(ctx context.Context, s *server) Response {
	sender := New()
	sender.dial = s.dial
	return sender.Send(ctx, newAttempt())
}

// TestEndlessResponseEndsAttempt guards against a backend server that fills the memory of the VM with a response that does not end.
func TestEndlessResponseEndsAttempt(t *testing.T) {
	line := strings.Repeat("x", 1<<10)
	chunked := signedHead + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct{ name, start, repeated string }{
		{"status line", "", line},
		{"bytes that are no response", "\r\n", "\r\n"},
		{"header line", signedHead + "X: ", line},
		{"headers", signedHead, "X: " + line + "\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"large informational responses", "", "HTTP/1.1 103 Early Hints\r\nX: " + strings.Repeat(line, 20) + "\r\n\r\n"},
		{"chunk extension", chunked + "1;", line},
		{"chunks with extensions", chunked, "1;" + line + "\r\nx\r\n"},
		{"trailer", chunked + "0\r\nX: ", line},
		{"trailers", chunked + "0\r\n", "X: " + line + "\r\n"},
		{"body of a response to another request", "HTTP/1.1 200 OK\r\n" + platform.HeaderAttempt + ": another\r\n\r\n", line},
		{"body without a signature", "HTTP/1.1 200 OK\r\n" + platform.HeaderAttempt + ": " + testID + "\r\n\r\n", line},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := &server{start: c.start, repeated: c.repeated, maxBytes: 4 << 20}
			response := send(ctx, s)
			<-s.done
			assert.Equal(t, message.Failed, response.Result)
			require.Error(t, response.Err)
			assert.Nil(t, response.RemainingBody)
			assert.LessOrEqual(t, s.written, maxHeadBytes)
		})
	}
}

// TestRefusalOfAnotherRequestIsNotBelieved guards against a server that repeats an earlier refusal: the request may have run, so that
// callers must not be told that it did not, and it must not run again on another server.
func TestRefusalOfAnotherRequestIsNotBelieved(t *testing.T) {
	const early = "HTTP/1.1 103 Early Hints\r\n\r\n"
	head := func(status, id string) string {
		response := "HTTP/1.1 " + status + "\r\n" + platform.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n"
		if id != "" {
			response += platform.HeaderAttempt + ": " + id + "\r\n"
		}
		return response + "\r\n"
	}
	type testCase struct {
		name, sentID, response string
		body                   int
		result                 message.Result
	}
	var cases []testCase
	for _, status := range []string{"400 Bad Request", "421 Misdirected Request", "429 Too Many Requests", "503 Service Unavailable"} {
		result := message.Shed
		if strings.HasPrefix(status, "421") {
			result = message.Misdirected
		}
		cases = append(cases,
			testCase{status, testID, head(status, testID), 0, result},
			testCase{status + " to a request without an ID", "", head(status, ""), 0, result},
			testCase{status + " before the body was read", testID, head(status, testID), 1 << 20, result},
			testCase{status + " of another request", testID, head(status, "another"), 0, message.Failed},
			testCase{status + " without the ID", testID, head(status, ""), 0, message.Failed},
			testCase{status + " with the ID of a request without one", "", head(status, "another"), 0, message.Failed},
			testCase{status + " of another request after a 103", testID, early + head(status, "another"), 0, message.Failed},
			testCase{status + " of another request before the body was read", testID, head(status, "another"), 1 << 20, message.Failed},
			testCase{status + " of another request before its own response", testID, head(status, "another") + head(status, testID), 0, message.Failed},
		)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sender := New()
			sender.dial = (&server{start: c.response}).dial
			a := newAttempt()
			a.ID = c.sentID
			a.Method, a.Body, a.BodySize = http.MethodPost, bytes.NewReader(make([]byte, c.body)), int64(c.body)
			response := sender.Send(t.Context(), a)
			assert.Equal(t, c.result, response.Result)
			require.Error(t, response.Err)
		})
	}
}

// TestFailureOfAnotherRequestIsNotForwarded guards against a server error that callers get for a request it does not belong to.
func TestFailureOfAnotherRequestIsNotForwarded(t *testing.T) {
	s := &server{start: "HTTP/1.1 500 Status\r\n" + platform.HeaderAttempt + ": another\r\n" + platform.HeaderSignature + ": signed\r\nContent-Length: 1\r\n\r\nx"}
	response := send(t.Context(), s)
	assert.Equal(t, message.Failed, response.Result)
	assert.False(t, response.Signed())
	assert.Zero(t, response.Status)
	assert.Empty(t, response.Body)
}

// TestTruncatedHeadIsReset checks that a connection that ends within the head still counts as a possible crash of the server.
func TestTruncatedHeadIsReset(t *testing.T) {
	for _, start := range []string{"", "HTTP/1.1 2", "HTTP/1.1 103 Early Hints\r\n\r\n", signedHead} {
		s := &server{start: start}
		assert.Equal(t, message.Reset, send(t.Context(), s).Result, start)
	}
}

// TestEndlessBodyEndsWithContext guards against an endless body that looks complete, or is read on, after the request has ended.
func TestEndlessBodyEndsWithContext(t *testing.T) {
	for _, c := range []struct{ name, head, repeated string }{
		{"without length", signedHead + "\r\n", strings.Repeat("x", 1<<10)},
		{"chunked", signedHead + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
		{"with length", signedHead + "Content-Length: 1000000000000\r\n\r\n", strings.Repeat("x", 1<<10)},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			s := &server{start: c.head, repeated: c.repeated, maxBytes: 1 << 30}
			response := send(ctx, s)
			require.Equal(t, message.Succeeded, response.Result)
			require.NotNil(t, response.RemainingBody)
			assert.LessOrEqual(t, len(response.Body), maxBufferedBody+1)
			_, err := io.CopyN(io.Discard, response.RemainingBody, 1<<20)
			require.NoError(t, err)
			cancel()
			_, err = io.Copy(io.Discard, response.RemainingBody)
			require.Error(t, err)
			<-s.done
		})
	}
}

// TestTricklingResponseEndsWithDeadline guards against a response that keeps an attempt alive by sending a byte from time to time.
func TestTricklingResponseEndsWithDeadline(t *testing.T) {
	for _, start := range []string{"", signedHead + "X: ", signedHead + "\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			client, conn := net.Pipe()
			sender := New()
			sender.dial = func(context.Context, string, string) (net.Conn, error) { return client, nil }
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, err := http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					_, err = io.WriteString(conn, start)
				}
				for err == nil {
					time.Sleep(time.Second)
					_, err = io.WriteString(conn, "x")
				}
			}()
			response := sender.Send(ctx, newAttempt())
			assert.Equal(t, message.TimedOut, response.Result)
			<-done
		})
	}
}

// TestBufferedBodiesStayWithinBudget guards against many long responses at once that fill the memory of the VM.
func TestBufferedBodiesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const buffered = 3
		sender := New()
		sender.bodies = bytebudget.New(buffered * maxBufferedBody)
		requests, endRequests := context.WithCancel(t.Context())
		body := strings.Repeat("x", maxBufferedBody)
		sendOne := func(ctx context.Context) Response {
			s := &server{start: signedHead + "\r\n" + body}
			sender.dial = s.dial
			return sender.Send(ctx, newAttempt())
		}
		for i := range 2 * buffered {
			response := sendOne(requests)
			require.Equal(t, message.Succeeded, response.Result)
			if i < buffered {
				assert.Nil(t, response.RemainingBody)
				assert.Len(t, response.Body, len(body))
				continue
			}
			require.NotNil(t, response.RemainingBody)
			assert.Len(t, response.Body, unreservedBody)
			rest, err := io.ReadAll(response.RemainingBody)
			require.NoError(t, err)
			assert.Len(t, rest, len(body)-unreservedBody)
		}
		endRequests()
		synctest.Wait()
		assert.Nil(t, sendOne(t.Context()).RemainingBody)
	})
}
