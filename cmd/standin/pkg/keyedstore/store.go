package keyedstore

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// The topics whose records are written again after a restore.
const (
	topicOperator = "keyed.op"
	topicServers  = "keyed.servers"
)

// Store keeps topics of keyed records in memory and serves the store's HTTP API.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// changed is closed and replaced at each append.
	changed chan struct{}
	faults  Faults
	calls   int
	// era counts the restores.
	era int
}

// Faults are the faults that the store injects into its responses.
type Faults struct {
	// RefusedUserAgents holds the User-Agent values of callers that get 503; RefuseAll returns 503 to every caller.
	RefusedUserAgents map[string]bool
	RefuseAll         bool
	// DropAppendResponses performs appends, but closes the connection without a response.
	DropAppendResponses bool
	// Delay is added before each response.
	Delay time.Duration
}

type topic struct {
	records [][]byte
	// first is the oldest offset that can be read. Older records are kept, because they may be the newest of their key.
	first int
}

// New returns an empty store.
func New() *Store { return &Store{topics: map[string]*topic{}, changed: make(chan struct{})} }

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put appends a record for a key; a nil value deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	record := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, [][]byte{append(record, value...)})
}

// DropHistory deletes the history of a topic; the newest record of each key stays.
func (s *Store) DropHistory(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first = len(t.records)
}

// Copy is the state of all topics at one time.
type Copy struct {
	// lengths are the numbers of records of the topics.
	lengths map[string]int
}

// Copy returns a copy of the current state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{lengths: map[string]int{}}
	for name, t := range s.topics {
		c.lengths[name] = len(t.records)
	}
	return c
}

// Restore puts the store back to a copy and starts a new era, in which the offsets of the lost records are used again. The function that
// it returns writes the newest lost record of each key of the operator and the backend servers again; those of the system stay lost.
func (s *Store) Restore(c Copy) (rewrite func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := map[string][][]byte{}
	for name, t := range s.topics {
		length := min(c.lengths[name], len(t.records))
		if name == topicOperator || name == topicServers {
			lost[name] = newestOfKeys(t.records[length:])
		}
		t.records = slices.Clone(t.records[:length])
		t.first = min(t.first, length)
	}
	s.era++
	s.notify()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for name, records := range lost {
			s.add(name, records)
		}
	}
}

// newestOfKeys returns the newest record of each key, in order.
func newestOfKeys(records [][]byte) [][]byte {
	var newest [][]byte
	seen := map[string]bool{}
	for _, record := range slices.Backward(records) {
		key, _, ok := splitRecord(record)
		if ok && !seen[key] {
			seen[key] = true
			newest = append(newest, record)
		}
	}
	slices.Reverse(newest)
	return newest
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

func (s *Store) add(name string, records [][]byte) int {
	t := s.topic(name)
	offset := len(t.records)
	t.records = append(t.records, records...)
	s.notify()
	return offset
}

// notify wakes the reads that wait for a change.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setEra sets the header with the era; the caller holds the mutex, so that the era is that of the records in the response.
func (s *Store) setEra(w http.ResponseWriter) { w.Header().Set("Store-Era", strconv.Itoa(s.era)) }

// Handler returns the HTTP handler of the store's API.
func (s *Store) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(s.injectFaults)
	r.Get("/-/log-newest", s.newest)
	r.Get("/-/log-read", s.read)
	r.Post("/-/log-append", s.append)
	return r
}

func (s *Store) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		faults := s.faults
		s.setEra(w)
		s.mu.Unlock()
		time.Sleep(faults.Delay)
		if faults.RefuseAll || faults.RefusedUserAgents[r.Header.Get("User-Agent")] {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// newest serves the newest value of each key of a topic; deleted keys are left out.
func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	values := map[string][]byte{}
	var order []string
	offsets := map[string]int{}
	for offset, record := range t.records {
		key, value, ok := splitRecord(record)
		if !ok {
			continue
		}
		if _, seen := values[key]; !seen {
			order = append(order, key)
		}
		values[key], offsets[key] = value, offset
	}
	end := len(t.records)
	s.setEra(w)
	s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for _, key := range order {
		if len(values[key]) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(values[key]), offsets[key]})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": false, "end": end})
}

// splitRecord returns the key and the value of a record. The first byte of a record is the length of the key.
func splitRecord(record []byte) (string, []byte, bool) {
	if len(record) == 0 || len(record) < 1+int(record[0]) {
		return "", nil, false
	}
	n := 1 + int(record[0])
	return string(record[1:n]), record[n:], true
}

// read serves the records of a topic from an offset on. If there are none, it waits for up to waitMs milliseconds.
func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(r.URL.Query().Get("topic"))
		end, first, changed := len(t.records), t.first, s.changed
		records := t.records[min(from, end):]
		s.setEra(w)
		s.mu.Unlock()
		if from < first || from > end {
			writeJSON(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if len(records) > 0 || waitMs == 0 {
			_, _ = w.Write(encodeRecords(end, first, records))
			return
		}
		select {
		case <-changed:
		case <-deadline:
			waitMs = 0
		case <-r.Context().Done():
			return
		}
	}
}

// encodeRecords returns the two offsets in 8 bytes each, and then each record with its length in 4 bytes, all in big-endian order.
func encodeRecords(end, first int, records [][]byte) []byte {
	data := binary.BigEndian.AppendUint64(nil, uint64(end))
	data = binary.BigEndian.AppendUint64(data, uint64(first))
	for _, record := range records {
		data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
		data = append(data, record...)
	}
	return data
}

// append adds records to a topic. If the query gives an offset "at", they are added only if the topic ends there.
func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for rest := body; len(rest) >= 4; {
		size := int(binary.BigEndian.Uint32(rest))
		if len(rest) < 4+size {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, rest[4:4+size])
		rest = rest[4+size:]
	}
	s.mu.Lock()
	s.setEra(w)
	name := r.URL.Query().Get("topic")
	logEnd := len(s.topic(name).records)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(logEnd) {
		s.mu.Unlock()
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": logEnd})
		return
	}
	offset := s.add(name, records)
	dropResponse := s.faults.DropAppendResponses
	s.mu.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": offset + len(records)})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Newest returns the newest value of a key, nil if there is none.
func (s *Store) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range slices.Backward(s.topic(name).records) {
		if k, value, ok := splitRecord(record); ok && k == key {
			return value
		}
	}
	return nil
}

// Count returns the number of records of a topic.
func (s *Store) Count(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(name).records)
}
