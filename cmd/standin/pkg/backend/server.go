package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// FaultsPath is the endpoint that replaces the injected faults; the body is Faults as JSON.
	FaultsPath = "/.standin/faults"
	// ReportPath is the endpoint that returns the Report as JSON.
	ReportPath = "/.standin/report"
	healthPath = "/healthz"
	// coldSlowdown is the factor by which a request takes longer on a completely cold server.
	coldSlowdown = 4.0
	// healthCheckTime is how long the health endpoint takes to respond.
	healthCheckTime = 25 * time.Millisecond
	maxBodyBytes    = 64 << 20
	chunkBytes      = 16 << 10
	requestIDHeader = "X-Request-Id"
	workIDHeader    = "X-Work-Id"
	notRunHeader    = "X-Not-Run"
	drainingHeader  = "X-Draining"
)

// Server is an http.Handler that behaves as one backend server.
type Server struct {
	name        string
	slots       int
	serviceTime time.Duration
	warmupTime  time.Duration

	mu          sync.Mutex
	random      *rand.Rand
	faults      Faults
	faultsSince time.Time
	started     time.Time
	// workSinceCold is the total duration of the requests that ran since the server was last cold.
	workSinceCold time.Duration
	running       int
	// down is true for 1 s after a crash. The server then rejects all requests, but its health endpoint still responds.
	down    bool
	report  Report
	secrets []string
}

// Report lists what a server received and ran.
type Report struct {
	Name string `json:"name"`
	// Runs maps the work ID that a caller sent with its request to the number of times that the request ran.
	Runs map[string]int `json:"runs"`
	// Paths counts the requests that ran, by path.
	Paths map[string]int `json:"paths"`
	// Leaks lists where an API key was found: the name of a header, or "target" for the URL.
	Leaks []string `json:"leaks"`
	// Overruns counts requests that arrived while all slots were in use.
	Overruns int `json:"overruns"`
	Crashes  int `json:"crashes"`
	// LastArrival is the time when a request last arrived.
	LastArrival time.Time `json:"last_run"`
}

// New returns a cold server. A request takes serviceTime on a warm server. The server is warm after its requests have run
// for warmupTime in total.
func New(name string, slots int, serviceTime, warmupTime time.Duration, seed uint64) *Server {
	return &Server{
		name:        name,
		slots:       slots,
		serviceTime: serviceTime,
		warmupTime:  warmupTime,
		random:      rand.New(rand.NewPCG(seed, 0)),
		started:     time.Now(),
		report:      Report{Name: name, Runs: map[string]int{}, Paths: map[string]int{}},
	}
}

// SetSecrets sets the API keys that the server looks for in URLs and headers; call it before the first request.
func (s *Server) SetSecrets(secrets []string) { s.secrets = secrets }

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case FaultsPath:
		s.serveFaults(w, r)
	case ReportPath:
		_ = json.NewEncoder(w).Encode(s.Report())
	case healthPath:
		s.serveHealth(w)
	default:
		s.serveWork(w, r)
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.faultsSince = time.Now()
	if f.Cold {
		s.workSinceCold = 0
	}
}

// Report returns a copy of the report.
func (s *Server) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.report
	out.Runs = make(map[string]int, len(s.report.Runs))
	for k, v := range s.report.Runs {
		out.Runs[k] = v
	}
	out.Paths = make(map[string]int, len(s.report.Paths))
	for k, v := range s.report.Paths {
		out.Paths[k] = v
	}
	return out
}

func (s *Server) serveHealth(w http.ResponseWriter) {
	time.Sleep(healthCheckTime)
	s.mu.Lock()
	unhealthy := s.faults.Unhealthy
	s.mu.Unlock()
	if unhealthy {
		http.Error(w, "unwell", http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, "well\n")
}

// execution describes how the server handles one request.
type execution struct {
	faults   Faults
	fail     bool
	duration time.Duration
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	e, ok := s.start(r)
	if !ok {
		w.Header().Set(requestIDHeader, r.Header.Get(requestIDHeader))
		w.Header().Set(notRunHeader, "true")
		http.Error(w, "no slot", http.StatusServiceUnavailable)
		return
	}
	defer s.finish(e)
	if e.faults.Poison != "" && strings.Contains(r.URL.Path, e.faults.Poison) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.recordRun(r)
	select {
	case <-time.After(e.duration):
	case <-r.Context().Done():
		return
	}
	if e.faults.LateMs > 0 {
		time.Sleep(time.Duration(e.faults.LateMs) * time.Millisecond)
	}
	if e.faults.Reset {
		panic(http.ErrAbortHandler)
	}
	s.respond(w, r, e, body)
}

// start takes a slot for a request. It returns false when the server rejects the request.
func (s *Server) start(r *http.Request) (execution, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findSecrets(r)
	s.report.LastArrival = time.Now()
	if s.running >= s.slots {
		s.report.Overruns++
		return execution{}, false
	}
	if s.faults.Shed || s.down {
		return execution{}, false
	}
	s.running++
	e := execution{faults: s.faults, duration: s.requestDuration(r)}
	if s.faults.FlapMs > 0 && int(time.Since(s.faultsSince).Milliseconds())/s.faults.FlapMs%2 == 1 {
		e.faults = Faults{}
	}
	if strings.HasPrefix(r.URL.Path, e.faults.Route) {
		e.fail = s.random.Float64() < e.faults.Fail
		if e.faults.Slow > 1 {
			e.duration = time.Duration(float64(e.duration) * e.faults.Slow)
		}
	}
	return e, true
}

// requestDuration returns how long a request takes without faults: the milliseconds in the query parameter work, or the
// service time of the server. It is longer while the server is cold.
func (s *Server) requestDuration(r *http.Request) time.Duration {
	duration := s.serviceTime
	if ms, err := strconv.Atoi(r.URL.Query().Get("work")); err == nil {
		duration = time.Duration(ms) * time.Millisecond
	}
	if s.workSinceCold >= s.warmupTime {
		return duration
	}
	coldness := 1 - float64(s.workSinceCold)/float64(s.warmupTime)
	return time.Duration(float64(duration) * (1 + (coldSlowdown-1)*coldness))
}

func (s *Server) finish(e execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.workSinceCold += e.duration
}

// crash makes the server cold and lets it reject all requests for 1 s.
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Crashes++
	s.workSinceCold = 0
	s.down = true
	time.AfterFunc(time.Second, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.down = false
	})
}

func (s *Server) recordRun(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Paths[r.URL.Path]++
	if id := r.Header.Get(workIDHeader); id != "" {
		s.report.Runs[id]++
	}
}

// findSecrets records API keys that appear in a request.
func (s *Server) findSecrets(r *http.Request) {
	for _, secret := range s.secrets {
		if strings.Contains(r.URL.String(), secret) {
			s.report.Leaks = append(s.report.Leaks, "target")
		}
		for name, values := range r.Header {
			if strings.Contains(strings.Join(values, "\n"), secret) {
				s.report.Leaks = append(s.report.Leaks, name)
			}
		}
	}
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, e execution, body []byte) {
	id := r.Header.Get(requestIDHeader)
	if e.faults.WrongRequestID {
		id = "another request"
	}
	w.Header().Set(requestIDHeader, id)
	if e.faults.Drain {
		w.Header().Set(drainingHeader, "true")
	}
	if e.fail {
		http.Error(w, "gray failure", http.StatusInternalServerError)
		return
	}
	if size, err := strconv.Atoi(r.URL.Query().Get("size")); err == nil {
		s.stream(w, size, e.faults.Truncate)
		return
	}
	text := fmt.Sprintf("%s %s %s work=%s body=%d\n", s.name, r.Method, r.URL.Path, r.Header.Get(workIDHeader), len(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if e.faults.Truncate {
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

func (s *Server) stream(w http.ResponseWriter, size int, truncate bool) {
	w.Header().Set("Content-Length", strconv.Itoa(size))
	chunk := make([]byte, chunkBytes)
	for sent := 0; sent < size; {
		n := min(chunkBytes, size-sent)
		if truncate && sent > size/2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		sent += n
	}
}
