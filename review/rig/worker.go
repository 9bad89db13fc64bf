//go:build review

package main

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const slots = 3

// worker is a stand-in for a worker of the service.
type worker struct {
	id, zone string
	rec      *record
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	born     int64
	sequence atomic.Int64

	mu   sync.Mutex
	runs []run
	// leaving means that the worker no longer writes to the store, and says in all its answers that it leaves.
	leaving bool
}

// run is a request on which a worker began to work.
type run struct {
	id, target, body, tenant string
	at                       time.Time
}

func newWorker(id, zone string, rec *record) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, zone: zone, rec: rec, listener: l, slots: make(chan struct{}, slots), born: time.Now().UnixMilli()}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

func (w *worker) entry(state string) map[string]any {
	return map[string]any{
		"service": "orders", "address": w.listener.Addr().String(), "zone": w.zone, "version": "v1", "concurrencyLimit": slots,
		"state": state, "warmupLeft": "0ms", "sequence": w.sequence.Add(1), "born": w.born,
	}
}

// heartbeat writes the worker's entry until it leaves.
func (w *worker) heartbeat(s *store) {
	for {
		w.mu.Lock()
		if w.leaving {
			w.mu.Unlock()
			return
		}
		s.put("keyed.servers", w.id, w.entry("ready"))
		w.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
	}
}

// leave removes the worker's entry without a report of draining, and returns when the store accepted that.
func (w *worker) leave(s *store) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
	return s.put("keyed.servers", w.id, nil)
}

func (w *worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// exit ends the worker and its connections.
func (w *worker) exit() {
	w.rec.note("worker %s exits", w.id)
	_ = w.server.Close()
}

func (w *worker) arrivals() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

// ServeHTTP runs a request. The query parameter work is the time that it takes in milliseconds.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Attempt-Id")
	rw.Header().Set("X-Request-Attempt-Id", id)
	if w.isLeaving() {
		rw.Header().Set("Server-Leaving", "1")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	reject := func(status int) {
		w.rec.note("worker %s rejects %s %s with %d (X-Not-Executed)", w.id, id, r.RequestURI, status)
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(status)
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		reject(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		reject(http.StatusBadRequest)
		return
	}
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	default:
		reject(http.StatusServiceUnavailable)
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, run{id, r.RequestURI, string(body), r.Header.Get("X-Tenant-Id"), time.Now()})
	w.mu.Unlock()
	w.rec.note("worker %s runs %s: %s %s, tenant %s, body of %d bytes", w.id, id, r.Method, r.RequestURI, r.Header.Get("X-Tenant-Id"), len(body))
	work, _ := strconv.Atoi(r.URL.Query().Get("work"))
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-r.Context().Done():
		w.rec.note("worker %s: the connection of %s closed while it was at work", w.id, id)
		return
	}
	if w.isLeaving() {
		rw.Header().Set("Server-Leaving", "1")
	}
	answer := "done by " + w.id
	rw.Header().Set("X-Response-Signature", "sig-"+id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(rw, answer)
}
