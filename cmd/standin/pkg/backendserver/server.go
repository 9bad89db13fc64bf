package backendserver

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/platform"
)

// Fault is a fault that a backend server injects into its responses.
type Fault int

// The faults of a backend server.
const (
	// Healthy sends a complete, successful response.
	Healthy Fault = iota
	// InternalError sends a response with status 500.
	InternalError
	// CloseConnection closes the connection before a response.
	CloseConnection
	// TruncateResponse closes the connection before the response body is complete.
	TruncateResponse
	// WrongAttemptID sends a response with the attempt ID of another request.
	WrongAttemptID
	// DuplicateResponse sends a second response after the first one.
	DuplicateResponse
	// RejectNotRun sends 503 with the header that proves that the request did not run.
	RejectNotRun
	// OmitContentLength sends a response without a length; the end of the connection ends the body.
	OmitContentLength
	// RejectWithoutNotRun runs the request and sends 503, without the header that proves that it did not run.
	RejectWithoutNotRun
	// EndlessHead sends headers until the connection is closed.
	EndlessHead
	// EndlessBody sends a body without a length until the connection is closed.
	EndlessBody
	// RepeatRefusal rejects the first request like RejectNotRun, and runs all later ones but sends the refusal of the first one again.
	RepeatRefusal
	// ForeignError sends a response with status 500 and the attempt ID of another request.
	ForeignError

	// LastFault is the fault with the highest number of those before the faults in EndlessFaults.
	LastFault = ForeignError
)

// HeaderRejectEarly is the header of requests that the server rejects with status 413 before it has read their body.
const HeaderRejectEarly = "Standin-Reject-Early"

// HeaderServiceTime is the header with the time that the server takes for the request, if it is not the one that was set.
const HeaderServiceTime = "Standin-Service-Time"

// FirstVersion is the version of servers for which no other one was set.
const FirstVersion = "v1"

// Run is one execution of a request, as the server received it.
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

// Server is one backend server.
type Server struct {
	id      string
	service string
	zone    string
	// version is the one in the server's registry entry.
	version  string
	listener net.Listener

	// address is the host:port that the server's registry entry contains.
	address string

	mu          sync.Mutex
	fault       Fault
	serviceTime time.Duration
	runs        []Run
	disconnects int
	// refusal is the refusal that RepeatRefusal sends again, empty before the first one.
	refusal     string
	notice      Notice
	incarnation int
	arrivals    []Arrival
}

// New returns a server that listens on a free port of the loopback address.
func New(ctx context.Context, id, service, zone string) (*Server, error) {
	var listenConfig net.ListenConfig
	l, err := listenConfig.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &Server{id: id, service: service, zone: zone, version: FirstVersion, listener: l, address: l.Addr().String(), incarnation: 1}, nil
}

// RegistryEntry returns the server's entry for the registry.
func (s *Server) RegistryEntry(state string, sequence int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version,
		"concurrencyLimit": 3, "state": state, "warmupLeft": "0ms", "sequence": sequence, "born": s.incarnation,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// Address returns the host:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Advertise sets the address in the server's registry entry, such as that of a proxy.
func (s *Server) Advertise(address string) { s.address = address }

// SetVersion sets the version in the server's registry entry.
func (s *Server) SetVersion(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
}

// ID returns the server's ID in the registry.
func (s *Server) ID() azuretiller.InstanceID { return azuretiller.InstanceID(s.id) }

// SetFault sets the fault that the server injects and the time that it takes for a request.
func (s *Server) SetFault(fault Fault, serviceTime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.serviceTime, s.refusal = fault, serviceTime, ""
}

// SetNotice sets what the server says in its responses about further requests.
func (s *Server) SetNotice(n Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notice = n
}

// Restart begins the next incarnation of the server, with the same ID and address and without a notice.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	s.notice = Notice{}
}

// Arrivals returns the requests that reached the server.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// Runs returns the requests that the server has run.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Disconnects returns the number of requests whose connection was closed while they ran or while an endless response was sent.
func (s *Server) Disconnects() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disconnects
}

// Serve serves requests until the context ends.
func (s *Server) Serve(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = s.listener.Close() })
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		go s.serve(conn)
	}
}

func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	attempt := request.Header.Get(platform.HeaderAttempt)
	if request.Header.Get(HeaderRejectEarly) != "" {
		_, _ = io.WriteString(conn, signedHead(http.StatusRequestEntityTooLarge, attempt)+"Content-Length: 0\r\n\r\n")
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	if instance := request.Header.Get(platform.HeaderInstance); instance != s.id {
		_, _ = io.WriteString(conn, formatRefusal(http.StatusMisdirectedRequest, attempt))
		return
	}
	s.mu.Lock()
	fault, serviceTime, refusal := s.fault, s.serviceTime, s.refusal
	if fault == RepeatRefusal && refusal == "" {
		fault = RejectNotRun
		s.refusal = formatRefusal(http.StatusServiceUnavailable, attempt)
	}
	if d, err := time.ParseDuration(request.Header.Get(HeaderServiceTime)); err == nil {
		serviceTime = d
	}
	arrival := len(s.arrivals)
	if s.notice.RetryAfter != "" && arrival%3 > 0 {
		fault = RejectNotRun
	}
	s.arrivals = append(s.arrivals, Arrival{Attempt: attempt, At: time.Now(), Incarnation: s.incarnation})
	if fault != RejectNotRun {
		s.runs = append(s.runs, Run{
			Attempt:  attempt,
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
	s.mu.Unlock()
	if serviceTime > 0 && s.disconnectsDuringWork(conn, serviceTime) {
		return
	}
	if r, ok := newEndlessResponse(fault, attempt, s.id); ok {
		r.write(conn)
		s.countDisconnect()
		return
	}
	if fault == RepeatRefusal {
		_, _ = io.WriteString(conn, refusal)
		return
	}
	_, _ = io.WriteString(conn, s.addNotice(arrival, formatResponse(fault, attempt, s.id)))
}

func (s *Server) countDisconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnects++
}

// addNotice returns a response with the headers of the server's notice, and records the response of an arrival.
func (s *Server) addNotice(arrival int, response string) string {
	statusLine, rest, ok := strings.Cut(response, "\r\n")
	if !ok {
		return response
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &s.arrivals[arrival]
	a.AnsweredAt = time.Now()
	a.Status, _ = strconv.Atoi(strings.Fields(statusLine)[1])
	a.Notice = s.notice
	if a.Incarnation != s.incarnation {
		// The notice of a new incarnation does not count for the requests of the former one.
		a.Notice = Notice{}
	}
	if a.Status != http.StatusServiceUnavailable {
		a.Notice.RetryAfter = ""
	}
	lines := []string{statusLine}
	if a.Notice.Leaving {
		lines = append(lines, platform.HeaderLeaving+": 1")
	}
	if a.Notice.RetryAfter != "" {
		lines = append(lines, "Retry-After: "+a.Notice.RetryAfter)
	}
	return strings.Join(append(lines, rest), "\r\n")
}

// disconnectsDuringWork waits for the service time and reports whether the connection was closed meanwhile.
func (s *Server) disconnectsDuringWork(conn net.Conn, serviceTime time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(serviceTime))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	s.countDisconnect()
	return true
}

// formatRefusal returns a response which states that the request with the given attempt ID did not run.
func formatRefusal(status int, attempt string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, platform.HeaderAttempt, attempt, platform.HeaderNotRun)
}

// signedHead returns the head of a response, without its last line.
func signedHead(status int, attempt string) string {
	return fmt.Sprintf("HTTP/1.1 %d Status\r\n%s: %s\r\n%s: signed\r\n", status, platform.HeaderAttempt, attempt, platform.HeaderSignature)
}

func formatResponse(fault Fault, attempt, id string) string {
	const bodyPrefix = "made by "
	framedResponse := func(status int, attempt string) string {
		body := bodyPrefix + id
		return signedHead(status, attempt) + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	switch fault {
	case InternalError:
		return framedResponse(http.StatusInternalServerError, attempt)
	case CloseConnection:
		return ""
	case TruncateResponse:
		response := framedResponse(http.StatusOK, attempt)
		return response[:len(response)-3]
	case WrongAttemptID:
		return framedResponse(http.StatusOK, "another")
	case DuplicateResponse:
		return framedResponse(http.StatusOK, attempt) + framedResponse(http.StatusOK, "another")
	case RejectNotRun:
		return formatRefusal(http.StatusServiceUnavailable, attempt)
	case OmitContentLength:
		return signedHead(http.StatusOK, attempt) + "\r\n" + bodyPrefix + id
	case ForeignError:
		return framedResponse(http.StatusInternalServerError, "another")
	case InvalidStatus:
		return strings.Replace(framedResponse(http.StatusOK, attempt), strconv.Itoa(http.StatusOK), "000", 1)
	case RejectWithoutNotRun:
		return framedResponse(http.StatusServiceUnavailable, attempt)
	default:
		return framedResponse(http.StatusOK, attempt)
	}
}

// Version returns the version in the server's registry entry.
func (s *Server) Version() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}
