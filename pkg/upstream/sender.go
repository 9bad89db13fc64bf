package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/bytebudget"
	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/resetconn"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	// connectTimeout bounds the time to open a connection, which takes milliseconds inside a region.
	connectTimeout = 250 * time.Millisecond
	// maxBufferedBody is the size in bytes up to which a body is read completely before any of it is sent to the caller, so that a
	// truncated response can still be replaced.
	maxBufferedBody = 1 << 20
	// maxBufferedBodies is the size in bytes of all bodies that are buffered at the same time. Further bodies are sent to the caller
	// while they are read.
	maxBufferedBodies = 32 << 20
	// unreservedBody is the size in bytes up to which a body is buffered even if maxBufferedBodies is reached.
	unreservedBody = 16 << 10
	readBufferSize = 16 << 10
	// maxHeadBytes is the size in bytes of the largest accepted head of a response, including the informational responses before it.
	maxHeadBytes = 64 << 10
	// maxHeadLines is the number of lines of the longest accepted head. A parsed line takes up to a hundred bytes in addition to its text.
	maxHeadLines = 256
	// unreservedHead is the size in bytes up to which a head is read even if maxHeads is reached. It includes the start of the body that
	// arrives with the head.
	unreservedHead = 16 << 10
	// maxHeads is the size in bytes of all larger heads that are kept at the same time.
	maxHeads = 8 << 20
	// maxInformational is the number of consecutive informational (1xx) responses after which the attempt fails.
	maxInformational = 5
)

// Attempt is one attempt of a request, which is sent to one backend server.
type Attempt struct {
	// Address is the host:port of the server.
	Address string
	Server  azuretiller.InstanceID
	Method  string
	// Target is the request target as the caller sent it.
	Target  string
	Host    string
	Headers http.Header
	// Body is nil if the request has no body. It may be read until the connection is closed.
	Body io.Reader
	// BodySize is the size of the body in bytes, or -1 if it is unknown.
	BodySize int64
	// ID is the value of the header platform.HeaderAttempt of the caller, which the server returns in its response.
	ID string
	// Deadline is the time after which the caller no longer waits for the response.
	Deadline time.Time
}

// Response is the result of an attempt.
type Response struct {
	Result  message.Result
	Status  int
	Headers http.Header
	// Body is the complete body, or its first part if RemainingBody is set.
	Body []byte
	// RemainingBody reads the part of the body that follows Body; closing it closes the connection.
	RemainingBody io.ReadCloser
	ContentLength int64
	// Notice is what the server said about further requests.
	Notice platform.ServerNotice
	Err    error
	held   holds
}

// Signed reports whether the response has the signature header of a backend server.
func (r Response) Signed() bool { return r.Headers.Get(platform.HeaderSignature) != "" }

// Sender sends attempts to backend servers. It opens a new connection for each attempt, so that a late response is never matched to
// a later request.
type Sender struct {
	dial          func(ctx context.Context, network, address string) (net.Conn, error)
	heads, bodies *bytebudget.Budget
}

// New returns a sender.
func New() *Sender {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	return &Sender{dial: dialer.DialContext, heads: bytebudget.New(maxHeads), bodies: bytebudget.New(maxBufferedBodies)}
}

// Send sends an attempt and returns its response; it returns early when the context ends. The response counts towards maxHeads and
// maxBufferedBodies until the context ends, unless KeepUntil gives another one.
func (s *Sender) Send(ctx context.Context, a Attempt) Response {
	conn, err := s.dial(ctx, "tcp", a.Address)
	if err != nil {
		if ctx.Err() != nil {
			return Response{Result: contextResult(ctx), Err: ctx.Err()}
		}
		result := message.Unreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			result = message.ConnectionRefused
		}
		return Response{Result: result, Err: errors.Wrap(err, "connect")}
	}
	conn = resetconn.New(conn)
	closeConn := func() { _ = conn.Close() }
	stop := context.AfterFunc(ctx, closeConn)
	response := s.exchange(ctx, conn, a)
	if response.RemainingBody == nil {
		stop()
		_ = conn.Close()
	} else {
		response.held = append(response.held, hold{closeConn, stop})
	}
	return response
}

// contextResult returns TimedOut if the context ended by its deadline, and Cancelled if it was cancelled.
func contextResult(ctx context.Context) message.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return message.TimedOut
	}
	return message.Cancelled
}

// exchange sends the request on the connection and reads the response.
func (s *Sender) exchange(ctx context.Context, conn net.Conn, a Attempt) (response Response) {
	var bodyInterrupted atomic.Bool
	var held holds
	defer func() { response.held = held }()
	// A server may respond before it has read all of a long body, so the request is written while the response is read.
	go func() {
		if err := writeRequest(conn, a); errors.Is(err, errBodyInterrupted) {
			// The server notices that the body is incomplete.
			bodyInterrupted.Store(true)
			_ = conn.Close()
		}
	}()
	head := &headReader{reader: conn, reserve: func() bool { return held.reserve(ctx, s.heads, maxHeadBytes) }}
	httpResponse, err := readResponse(bufio.NewReaderSize(head, readBufferSize), a)
	if err != nil {
		if ctx.Err() != nil {
			return Response{Result: contextResult(ctx), Err: err}
		}
		if bodyInterrupted.Load() {
			return Response{Result: message.Cancelled, Err: errBodyInterrupted}
		}
		if !head.ended {
			return Response{Result: message.Failed, Err: err}
		}
		return Response{Result: message.Reset, Err: err}
	}
	head.endHead()
	notice := platform.DecodeServerNotice(httpResponse.StatusCode, httpResponse.Header)
	defer func() {
		response.Notice = notice
		if response.RemainingBody == nil {
			// The connection is closed first, since closing the body would read the remaining part of it.
			_ = conn.Close()
			_ = httpResponse.Body.Close()
		}
	}()
	if httpResponse.Header.Get(platform.HeaderAttempt) != a.ID {
		// Neither a refusal nor an error of another request says anything about this one.
		return Response{Result: message.Failed, Err: errors.New("response belongs to another request")}
	}
	response = Response{Status: httpResponse.StatusCode, Headers: httpResponse.Header, ContentLength: httpResponse.ContentLength}
	response.Result, response.Err = classify(httpResponse)
	serverError := response.Signed() && response.Status >= http.StatusInternalServerError
	if response.Result != message.Succeeded && !serverError {
		// The caller never gets this body.
		return response
	}
	var complete bool
	response.Body, complete, err = s.readBody(ctx, httpResponse, &held)
	switch {
	case err != nil && ctx.Err() != nil:
		return Response{Result: contextResult(ctx), Err: err}
	case err != nil && bodyInterrupted.Load():
		return Response{Result: message.Cancelled, Err: errBodyInterrupted}
	case err != nil:
		return Response{Result: message.Failed, Err: errors.Wrap(err, "read response body")}
	case !complete:
		response.RemainingBody = &remainingBody{ReadCloser: httpResponse.Body, conn: conn}
	}
	return response
}

// readBody reads a body up to maxBufferedBody, or up to unreservedBody while maxBufferedBodies is reached, and reports whether the body
// is complete.
func (s *Sender) readBody(ctx context.Context, r *http.Response, held *holds) (data []byte, complete bool, err error) {
	data, err = io.ReadAll(io.LimitReader(r.Body, unreservedBody))
	if err != nil || len(data) < unreservedBody {
		return data, true, err
	}
	size := int64(maxBufferedBody - unreservedBody)
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength-unreservedBody)
	}
	if !held.reserve(ctx, s.bodies, size) {
		return data, false, nil
	}
	// The additional byte tells a complete body from a longer one. The buffer gets its full size at once, since growing it would
	// allocate more than was reserved.
	buffer := bytes.NewBuffer(data)
	buffer.Grow(int(size) + 1 + bytes.MinRead)
	n, err := buffer.ReadFrom(io.LimitReader(r.Body, size+1))
	return buffer.Bytes(), n <= size, err
}

// remainingBody is the part of a body that has not been read yet, with its connection.
type remainingBody struct {
	io.ReadCloser
	conn net.Conn
}

// Close closes the connection and the body.
func (r *remainingBody) Close() error {
	err := r.conn.Close()
	_ = r.ReadCloser.Close()
	return errors.Wrap(err, "close connection to backend server")
}

// readResponse returns the first response that is not informational. Responses with a status that HTTP does not have are errors: net/http accepts
// any three digits.
func readResponse(reader *bufio.Reader, a Attempt) (*http.Response, error) {
	for range maxInformational {
		httpResponse, err := http.ReadResponse(reader, &http.Request{Method: a.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		if !headers.IsValidStatus(httpResponse.StatusCode) {
			return nil, errors.Newf("response has the invalid status %03d", httpResponse.StatusCode)
		}
		if httpResponse.StatusCode >= http.StatusOK {
			return httpResponse, nil
		}
	}
	return nil, errors.New("too many informational (1xx) responses")
}

// classify returns what a response to the attempt says about the execution of the request.
func classify(r *http.Response) (message.Result, error) {
	switch {
	case r.StatusCode == http.StatusMisdirectedRequest:
		return message.Misdirected, errors.New("address belongs to another server (status 421)")
	case platform.ProvesNotRun(r.StatusCode, r.Header):
		return message.Shed, errors.Newf("backend server did not run the request (status %d)", r.StatusCode)
	case r.StatusCode < http.StatusMultipleChoices && r.Header.Get(platform.HeaderSignature) == "":
		return message.Failed, errors.New("response has no signature header")
	case r.StatusCode >= http.StatusInternalServerError || platform.PromisesNotRun(r.StatusCode):
		return message.Failed, errors.Newf("backend server responded with status %d", r.StatusCode)
	}
	return message.Succeeded, nil
}
