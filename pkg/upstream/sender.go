package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	// connectTimeout is how long a connection may take; a path inside a region takes milliseconds.
	connectTimeout = 250 * time.Millisecond
	// wholeBytes is the largest body that is read before the caller gets any of it, so that a broken answer can be replaced.
	wholeBytes = 1 << 20
	readBuffer = 16 << 10
	// mostInformational bounds the interim answers before the final one.
	mostInformational = 5
)

// Attempt is one request to one backend server.
type Attempt struct {
	Address string
	Server  azuretiller.InstanceID
	Method  string
	// Target is the request target as the caller sent it.
	Target  string
	Host    string
	Headers http.Header
	Body    []byte
	// ID is the caller's id of the attempt, which the server echoes.
	ID string
	// Until is when the answer is of no use any more.
	Until time.Time
}

// Answer is what became of an attempt.
type Answer struct {
	Result  message.Result
	Status  int
	Headers http.Header
	// Body is the whole body, or its beginning if Rest is set.
	Body []byte
	// Rest is the body beyond Body; Close ends the connection.
	Rest   io.ReadCloser
	Length int64
	Err    error
}

// Signed reports whether a backend server made the answer.
func (a Answer) Signed() bool { return a.Headers.Get(platform.HeaderSignature) != "" }

// Sender makes the connections to backend servers, one for each attempt, so that no answer can meet a later request.
type Sender struct {
	dialer net.Dialer
}

// New returns a sender.
func New() *Sender { return &Sender{dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}} }

// Send makes an attempt; it ends early with the context.
func (s *Sender) Send(ctx context.Context, a Attempt) Answer {
	conn, err := s.dialer.DialContext(ctx, "tcp", a.Address)
	if err != nil {
		if ctx.Err() != nil {
			return Answer{Result: ended(ctx), Err: ctx.Err()}
		}
		result := message.Unreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			result = message.Down
		}
		return Answer{Result: result, Err: errors.Wrap(err, "connect")}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	answer := s.exchange(ctx, conn, a)
	if answer.Rest == nil {
		stop()
		_ = conn.Close()
	}
	return answer
}

// ended tells whether a context ended by its deadline or because the caller left.
func ended(ctx context.Context) message.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return message.TimedOut
	}
	return message.Cancelled
}

func (s *Sender) exchange(ctx context.Context, conn net.Conn, a Attempt) (answer Answer) {
	// A server may answer before it has read a long body, so the body is written beside the reading.
	go func() { _ = write(conn, a) }()
	reader := bufio.NewReaderSize(conn, readBuffer)
	response, err := readHead(reader, a)
	if err != nil {
		if ctx.Err() != nil {
			return Answer{Result: ended(ctx), Err: err}
		}
		return Answer{Result: message.Reset, Err: err}
	}
	defer func() {
		if answer.Rest == nil {
			// The connection goes first, since closing the body reads what is left of it.
			_ = conn.Close()
			_ = response.Body.Close()
		}
	}()
	answer = Answer{Status: response.StatusCode, Headers: response.Header, Length: response.ContentLength}
	answer.Result, answer.Err = judge(response, a)
	if answer.Result == message.Misdirected || answer.Result == message.Shed {
		return answer
	}
	answer.Body, err = io.ReadAll(io.LimitReader(response.Body, wholeBytes+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return Answer{Result: ended(ctx), Err: err}
	case err != nil:
		return Answer{Result: message.Failed, Err: errors.Wrap(err, "read the body")}
	case len(answer.Body) > wholeBytes:
		answer.Rest = &rest{ReadCloser: response.Body, conn: conn}
	}
	return answer
}

// rest is the part of a body that was not read yet.
type rest struct {
	io.ReadCloser
	conn net.Conn
}

// Close ends the connection.
func (r *rest) Close() error {
	err := r.conn.Close()
	_ = r.ReadCloser.Close()
	return errors.Wrap(err, "close the connection to a backend server")
}

func write(conn net.Conn, a Attempt) error {
	var head bytes.Buffer
	head.WriteString(a.Method + " " + a.Target + " HTTP/1.1\r\nHost: " + a.Host + "\r\n")
	h := a.Headers.Clone()
	h.Set("Connection", "close")
	h.Set(platform.HeaderInstance, string(a.Server))
	h.Set(platform.HeaderDeadline, strconv.FormatInt(max(time.Until(a.Until).Milliseconds(), 1), 10))
	if len(a.Body) > 0 || a.Method == http.MethodPost || a.Method == http.MethodPut || a.Method == http.MethodPatch {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	} else {
		h.Del("Content-Length")
	}
	if err := h.Write(&head); err != nil {
		return errors.Wrap(err, "write the head")
	}
	head.WriteString("\r\n")
	head.Write(a.Body)
	_, err := conn.Write(head.Bytes())
	return errors.Wrap(err, "write the request")
}

func readHead(reader *bufio.Reader, a Attempt) (*http.Response, error) {
	for range mostInformational {
		response, err := http.ReadResponse(reader, &http.Request{Method: a.Method})
		if err != nil {
			return nil, errors.Wrap(err, "read the answer")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// judge decides whether an answer is one to this request, and what it says about its execution.
func judge(r *http.Response, a Attempt) (message.Result, error) {
	switch {
	case r.StatusCode == http.StatusMisdirectedRequest:
		return message.Misdirected, errors.New("another server listens on the address")
	case platform.ProvesNotRun(r.StatusCode, r.Header):
		return message.Shed, errors.Newf("the server turned the request away with status %d", r.StatusCode)
	case r.Header.Get(platform.HeaderAttempt) != a.ID:
		return message.Failed, errors.New("the answer belongs to another request")
	case r.StatusCode < http.StatusMultipleChoices && r.Header.Get(platform.HeaderSignature) == "":
		return message.Failed, errors.New("the answer has no signature")
	case r.StatusCode >= http.StatusInternalServerError || platform.PromisesNotRun(r.StatusCode):
		return message.Failed, errors.Newf("the server answered with status %d", r.StatusCode)
	}
	return message.Succeeded, nil
}
