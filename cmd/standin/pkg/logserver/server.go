package logserver

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
	"github.com/azuretiller/azuretiller/pkg/platform"
)

const maxAppendBytes = 16 << 20

// Faults are the faults of the platform that can be switched on while it runs.
type Faults struct {
	// Out makes the log answer nothing but errors.
	Out bool `json:"out"`
	// Lose is the number of coming appends whose answers are lost after they took effect.
	Lose int `json:"lose"`
}

// Server serves the platform's protocol.
type Server struct {
	log    *memlog.Log
	token  string
	lag    time.Duration
	router chi.Router
	// rate is the number of appends a second that are taken.
	rate int

	mu     sync.Mutex
	vms    map[string]listed
	second int64
	taken  int
}

type listed struct {
	leaving bool
	since   time.Time
}

// New returns a platform whose VM list shows changes after a lag.
func New(log *memlog.Log, token string, rate int, lag time.Duration) *Server {
	s := &Server{log: log, token: token, lag: lag, rate: rate, router: chi.NewRouter(), vms: map[string]listed{}}
	s.router.Use(s.authenticate)
	s.router.Post("/log", s.append)
	s.router.Get("/log", s.read)
	s.router.Get("/vms", s.list)
	s.router.Put("/vms/{id}", s.put)
	s.router.Post("/faults", s.fault)
	return s
}

// ServeHTTP serves one call.
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
	if !s.admit() {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	offset, err := s.log.Append(r.Context(), data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	answer(w, platform.AppendAnswer{Offset: uint64(offset)})
}

// admit counts the appends of the current second.
func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	second := time.Now().Unix()
	if second != s.second {
		s.second = second
		s.taken = 0
	}
	s.taken++
	return s.rate <= 0 || s.taken <= s.rate
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	most, _ := strconv.Atoi(r.URL.Query().Get("most"))
	entries, oldest, err := s.log.Read(r.Context(), azuretiller.Offset(from), most)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	out := platform.ReadAnswer{Oldest: uint64(oldest)}
	for _, e := range entries {
		out.Entries = append(out.Entries, platform.EntryAnswer{Offset: uint64(e.Offset), Data: e.Data})
	}
	answer(w, out)
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []platform.VMAnswer{}
	for id, vm := range s.vms {
		out = append(out, platform.VMAnswer{ID: id, Leaving: vm.leaving && time.Since(vm.since) > s.lag})
	}
	answer(w, out)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms[chi.URLParam(r, "id")] = listed{leaving: r.URL.Query().Get("leaving") == "true", since: time.Now()}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) fault(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.log.SetOut(f.Out)
	s.log.LoseAnswers(f.Lose)
	w.WriteHeader(http.StatusNoContent)
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
