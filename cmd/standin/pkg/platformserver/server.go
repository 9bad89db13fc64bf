package platformserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/memlog"
	"github.com/azuretiller/azuretiller/pkg/platformclient"
)

const maxAppendBytes = 16 << 20

// Faults are the faults of the platform that can be injected while the server runs.
type Faults struct {
	// Unavailable makes every call to the log fail.
	Unavailable bool `json:"out"`
	// DropResponses is the number of subsequent appends that take effect but whose responses are lost.
	DropResponses int `json:"lose"`
}

// Server serves the platform's HTTP API.
type Server struct {
	log       *memlog.Log
	token     string
	vmListLag time.Duration
	router    chi.Router
	// maxAppendsPerSecond limits the accepted appends; 0 means no limit.
	maxAppendsPerSecond int

	mu                sync.Mutex
	vms               map[string]listedVM
	currentSecond     int64
	appendsThisSecond int
}

type listedVM struct {
	leaving   bool
	changedAt time.Time
}

// New returns a server that serves a log and a VM list. The list shows a VM as leaving only vmListLag after the VM began to leave.
func New(log *memlog.Log, token string, maxAppendsPerSecond int, vmListLag time.Duration) *Server {
	s := &Server{log: log, token: token, vmListLag: vmListLag, maxAppendsPerSecond: maxAppendsPerSecond, router: chi.NewRouter(), vms: map[string]listedVM{}}
	s.router.Use(s.authenticate)
	s.router.Post("/log", s.append)
	s.router.Get("/log", s.readLog)
	s.router.Get("/vms", s.listVMs)
	s.router.Put("/vms/{id}", s.putVM)
	s.router.Post("/faults", s.setFaults)
	return s
}

// ServeHTTP authenticates and serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

func (s *Server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer "+s.token {
			http.Error(w, "wrong token", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	if err != nil {
		http.Error(w, "record too large", http.StatusRequestEntityTooLarge)
		return
	}
	if !s.allowAppend() {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	offset, err := s.log.Append(r.Context(), data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, platformclient.AppendResponse{Offset: uint64(offset)})
}

// allowAppend counts an append and reports whether it is within the limit of the current second.
func (s *Server) allowAppend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	second := time.Now().Unix()
	if second != s.currentSecond {
		s.currentSecond = second
		s.appendsThisSecond = 0
	}
	s.appendsThisSecond++
	return s.maxAppendsPerSecond <= 0 || s.appendsThisSecond <= s.maxAppendsPerSecond
}

func (s *Server) readLog(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	maxEntries, _ := strconv.Atoi(r.URL.Query().Get("most"))
	entries, oldest, err := s.log.Read(r.Context(), azuretiller.Offset(from), maxEntries)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	out := platformclient.ReadResponse{Oldest: uint64(oldest)}
	for _, e := range entries {
		out.Entries = append(out.Entries, platformclient.EntryResponse{Offset: uint64(e.Offset), Data: e.Data})
	}
	writeJSON(w, out)
}

func (s *Server) listVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []platformclient.VMResponse{}
	for id, vm := range s.vms {
		out = append(out, platformclient.VMResponse{ID: id, Leaving: vm.leaving && time.Since(vm.changedAt) > s.vmListLag})
	}
	writeJSON(w, out)
}

func (s *Server) putVM(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[chi.URLParam(r, "id")] = listedVM{leaving: r.URL.Query().Get("leaving") == "true", changedAt: time.Now()}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.log.SetUnavailable(f.Unavailable)
	s.log.DropResponses(f.DropResponses)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
