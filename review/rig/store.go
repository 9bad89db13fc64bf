//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store with the calls that the VMs use.
type store struct {
	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
	address string
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string][][]byte{}, changed: make(chan struct{}), address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/log-newest", s.newest)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("POST /-/log-append", s.append)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }()
	return s, nil
}

// put writes a record for a key, and returns when it was accepted; a nil value deletes the key.
func (s *store) put(topic, key string, value any) time.Time {
	record := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		record = append(record, data...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, record)
	return time.Now()
}

func (s *store) add(topic string, records ...[]byte) {
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

func split(record []byte) (key string, value []byte) {
	n := 1 + int(record[0])
	return string(record[1:n]), record[n:]
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("topic")]
	s.mu.Unlock()
	last := map[string]int{}
	for i, record := range records {
		key, _ := split(record)
		last[key] = i
	}
	items := []item{}
	for i, record := range records {
		if key, value := split(record); last[key] == i && len(value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(value), i})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": false, "end": len(records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := s.topics[q.Get("topic")], s.changed
		s.mu.Unlock()
		if from < len(records) || wait == 0 {
			data := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			data = binary.BigEndian.AppendUint64(data, 0)
			for _, record := range records[min(from, len(records)):] {
				data = append(binary.BigEndian.AppendUint32(data, uint32(len(record))), record...)
			}
			_, _ = w.Write(data)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := 4 + int(binary.BigEndian.Uint32(body))
		if n > len(body) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records, body = append(records, body[4:n]), body[n:]
	}
	q := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[q.Get("topic")])
	if at := q.Get("at"); at != "" && at != strconv.Itoa(end) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"end": end})
		return
	}
	s.add(q.Get("topic"), records...)
	_ = json.NewEncoder(w).Encode(map[string]any{"offset": end, "end": end + len(records)})
}

// proxy forwards connections to the store for one VM.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	conns    map[net.Conn]bool
	isCut    bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		p.mu.Lock()
		if p.isCut {
			p.mu.Unlock()
			_ = caller.(*net.TCPConn).SetLinger(0)
			_, _ = caller.Close(), target.Close()
			continue
		}
		p.conns[caller], p.conns[target] = true, true
		p.mu.Unlock()
		pipe := func(to, from net.Conn) {
			_, _ = io.Copy(to, from)
			_, _ = to.Close(), from.Close()
			p.mu.Lock()
			delete(p.conns, from)
			p.mu.Unlock()
		}
		go pipe(target, caller)
		go pipe(caller, target)
	}
}

// cut resets all connections, and every new one until heal is called.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
}
