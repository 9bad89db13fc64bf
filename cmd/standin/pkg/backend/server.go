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
	// FaultsPath takes the faults to switch on, as JSON.
	FaultsPath = "/.standin/faults"
	// ReportPath answers with what the server ran.
	ReportPath = "/.standin/report"
	healthPath = "/healthz"
	// coldFactor is how many times longer work takes on a cold server.
	coldFactor  = 4.0
	probeTime   = 25 * time.Millisecond
	maxBody     = 64 << 20
	chunk       = 16 << 10
	requestID   = "X-Request-Id"
	workHeader  = "X-Work-Id"
	notRun      = "X-Not-Run"
	drainHeader = "X-Draining"
)

// Server is one backend server.
type Server struct {
	name  string
	slots int
	work  time.Duration
	warm  time.Duration

	mu      sync.Mutex
	random  *rand.Rand
	faults  Faults
	since   time.Time
	started time.Time
	// warmth is the time of work that the server did since it was cold.
	warmth  time.Duration
	running int
	down    bool
	report  Report
	secrets []string
}

// Report says what a server ran.
type Report struct {
	Name string `json:"name"`
	// Runs maps the callers' own ids of their work to the number of times it ran.
	Runs map[string]int `json:"runs"`
	// Paths counts the requests for each path.
	Paths map[string]int `json:"paths"`
	// Leaks are the places where a key was seen.
	Leaks []string `json:"leaks"`
	// Overruns counts requests that arrived while all slots were taken.
	Overruns int `json:"overruns"`
	Crashes  int `json:"crashes"`
	// LastRun is when work last arrived.
	LastRun time.Time `json:"last_run"`
}

// New returns a server; work is the time of a request, and warm the time of work after which a cold server is warm.
func New(name string, slots int, work, warm time.Duration, seed uint64) *Server {
	return &Server{
		name:    name,
		slots:   slots,
		work:    work,
		warm:    warm,
		random:  rand.New(rand.NewPCG(seed, 0)),
		started: time.Now(),
		report:  Report{Name: name, Runs: map[string]int{}, Paths: map[string]int{}},
	}
}

// Watch makes the server look for keys in what it receives.
func (s *Server) Watch(secrets []string) { s.secrets = secrets }

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

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.since = time.Now()
	if f.Cold {
		s.warmth = 0
	}
}

// Report returns a copy of what the server ran.
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
	time.Sleep(probeTime)
	s.mu.Lock()
	unwell := s.faults.Unwell
	s.mu.Unlock()
	if unwell {
		http.Error(w, "unwell", http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(w, "well\n")
}

// plan is what happens to one request.
type plan struct {
	faults Faults
	fail   bool
	time   time.Duration
}

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	p, ok := s.begin(r)
	if !ok {
		w.Header().Set(notRun, "true")
		http.Error(w, "no slot", http.StatusServiceUnavailable)
		return
	}
	defer s.end(p)
	if p.faults.Poison != "" && strings.Contains(r.URL.Path, p.faults.Poison) {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.note(r)
	select {
	case <-time.After(p.time):
	case <-r.Context().Done():
		return
	}
	if p.faults.Late > 0 {
		time.Sleep(time.Duration(p.faults.Late) * time.Millisecond)
	}
	if p.faults.Reset {
		panic(http.ErrAbortHandler)
	}
	s.respond(w, r, p, body)
}

// begin takes a slot, or returns false when the server does not start the request.
func (s *Server) begin(r *http.Request) (plan, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.look(r)
	s.report.LastRun = time.Now()
	if s.running >= s.slots {
		s.report.Overruns++
		return plan{}, false
	}
	if s.faults.Shed || s.down {
		return plan{}, false
	}
	s.running++
	p := plan{faults: s.faults, time: s.duration(r)}
	if s.faults.Flap > 0 && int(time.Since(s.since).Milliseconds())/s.faults.Flap%2 == 1 {
		p.faults = Faults{}
	}
	if strings.HasPrefix(r.URL.Path, p.faults.Route) {
		p.fail = s.random.Float64() < p.faults.Fail
		if p.faults.Slow > 1 {
			p.time = time.Duration(float64(p.time) * p.faults.Slow)
		}
	}
	return p, true
}

// duration is the usual time of a request: given by the caller or the server's own, longer while it is cold.
func (s *Server) duration(r *http.Request) time.Duration {
	work := s.work
	if ms, err := strconv.Atoi(r.URL.Query().Get("work")); err == nil {
		work = time.Duration(ms) * time.Millisecond
	}
	if s.warmth >= s.warm {
		return work
	}
	cold := 1 - float64(s.warmth)/float64(s.warm)
	return time.Duration(float64(work) * (1 + (coldFactor-1)*cold))
}

func (s *Server) end(p plan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.warmth += p.time
}

// crash makes the server cold and useless for a while.
func (s *Server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Crashes++
	s.warmth = 0
	s.down = true
	time.AfterFunc(time.Second, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.down = false
	})
}

func (s *Server) note(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Paths[r.URL.Path]++
	if id := r.Header.Get(workHeader); id != "" {
		s.report.Runs[id]++
	}
}

// look searches a request for keys.
func (s *Server) look(r *http.Request) {
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

func (s *Server) respond(w http.ResponseWriter, r *http.Request, p plan, body []byte) {
	id := r.Header.Get(requestID)
	if p.faults.Cross {
		id = "another request"
	}
	w.Header().Set(requestID, id)
	if p.faults.Drain {
		w.Header().Set(drainHeader, "true")
	}
	if p.fail {
		http.Error(w, "gray failure", http.StatusInternalServerError)
		return
	}
	if size, err := strconv.Atoi(r.URL.Query().Get("size")); err == nil {
		s.stream(w, size, p.faults.Truncate)
		return
	}
	text := fmt.Sprintf("%s %s %s work=%s body=%d\n", s.name, r.Method, r.URL.Path, r.Header.Get(workHeader), len(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if p.faults.Truncate {
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

func (s *Server) stream(w http.ResponseWriter, size int, truncate bool) {
	w.Header().Set("Content-Length", strconv.Itoa(size))
	part := make([]byte, chunk)
	for sent := 0; sent < size; {
		n := min(chunk, size-sent)
		if truncate && sent > size/2 {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write(part[:n]); err != nil {
			return
		}
		sent += n
	}
}
