package worker

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/platform"
)

// Fault is one way in which a backend server fails.
type Fault int

// The faults of a backend server.
const (
	// Healthy servers answer well.
	Healthy Fault = iota
	// Errors are answered with 500.
	Errors
	// Resets end the connection before an answer.
	Resets
	// Truncates ends the answer early.
	Truncates
	// Foreign answers with the id of another request.
	Foreign
	// Doubles sends a second answer after the first one.
	Doubles
	// Sheds turns requests away with the proof that they did not run.
	Sheds
	// Unframed answers have no length and end with the connection.
	Unframed
	// Busy answers 503 without the proof that the request did not run.
	Busy
)

// Run is one execution of a request, as the server saw it.
type Run struct {
	Attempt  string
	Team     string
	Key      string
	Deadline string
	Method   string
	Target   string
	Body     string
	Host     string
	At       time.Time
}

// Worker is one backend server.
type Worker struct {
	id       string
	service  string
	zone     string
	listener net.Listener

	// address is what the server says of itself in the registry.
	address string

	mu    sync.Mutex
	fault Fault
	work  time.Duration
	runs  []Run
	left  int
}

// New returns a server that listens on a free port of the loopback address.
func New(ctx context.Context, id, service, zone string) (*Worker, error) {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &Worker{id: id, service: service, zone: zone, listener: l, address: l.Addr().String()}, nil
}

// Entry returns what the server says of itself in the registry.
func (w *Worker) Entry(state string, sequence int) []byte {
	data, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1",
		"concurrencyLimit": 3, "state": state, "warmupLeft": "0ms", "sequence": sequence, "born": 1,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// Address returns the host:port the server listens on.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Behind lets the server name another address in the registry, such as that of a proxy.
func (w *Worker) Behind(address string) { w.address = address }

// ID returns the server's id in the registry.
func (w *Worker) ID() azuretiller.InstanceID { return azuretiller.InstanceID(w.id) }

// Set changes how the server fails and how long it works on a request.
func (w *Worker) Set(fault Fault, work time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault, w.work = fault, work
}

// Runs returns the requests that ran.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Left returns the number of requests whose connection ended while they ran.
func (w *Worker) Left() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left
}

// Serve answers requests until the context ends.
func (w *Worker) Serve(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = w.listener.Close() })
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		go w.serve(conn)
	}
}

func (w *Worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if target := request.Header.Get(platform.HeaderInstance); target != w.id {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		return
	}
	w.mu.Lock()
	fault, work := w.fault, w.work
	if fault != Sheds {
		w.runs = append(w.runs, Run{
			Attempt:  request.Header.Get(platform.HeaderAttempt),
			Team:     request.Header.Get(platform.HeaderTeam),
			Key:      request.Header.Get("Authorization"),
			Deadline: request.Header.Get(platform.HeaderDeadline),
			Method:   request.Method,
			Target:   request.RequestURI,
			Body:     string(body),
			Host:     request.Host,
			At:       time.Now(),
		})
	}
	w.mu.Unlock()
	if work > 0 && w.leaves(conn, work) {
		return
	}
	_, _ = io.WriteString(conn, answer(fault, request.Header.Get(platform.HeaderAttempt), w.id))
}

// leaves waits for the time that the work takes and reports whether the connection ended meanwhile.
func (w *Worker) leaves(conn net.Conn, work time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(work))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left++
	return true
}

func answer(fault Fault, attempt, id string) string {
	const text = "made by "
	whole := func(status int, attempt string) string {
		body := text + id
		return fmt.Sprintf("HTTP/1.1 %d Status\r\n%s: %s\r\n%s: signed\r\nContent-Length: %s\r\n\r\n%s",
			status, platform.HeaderAttempt, attempt, platform.HeaderSignature, strconv.Itoa(len(body)), body)
	}
	switch fault {
	case Errors:
		return whole(http.StatusInternalServerError, attempt)
	case Resets:
		return ""
	case Truncates:
		full := whole(http.StatusOK, attempt)
		return full[:len(full)-3]
	case Foreign:
		return whole(http.StatusOK, "another")
	case Doubles:
		return whole(http.StatusOK, attempt) + whole(http.StatusOK, "another")
	case Sheds:
		return "HTTP/1.1 503 Service Unavailable\r\n" + platform.HeaderNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	case Unframed:
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: signed\r\n\r\n%s%s", platform.HeaderAttempt, attempt, platform.HeaderSignature, text, id)
	case Busy:
		return whole(http.StatusServiceUnavailable, attempt)
	default:
		return whole(http.StatusOK, attempt)
	}
}
