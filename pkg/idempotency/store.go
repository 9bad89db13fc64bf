package idempotency

import (
	"bytes"
	"container/list"
	"net/http"
	"time"

	"github.com/azuretiller/azuretiller"
)

const (
	// Retention is how long a request ID is stored.
	Retention = 10 * time.Minute
	// maxEntries is the maximum number of stored IDs, and maxBytes that of the bytes in them: of IDs, response headers and response bodies.
	maxEntries = 200_000
	maxBytes   = 64 << 20
	// bytesShare is the share of the memory of the VM for these bytes, as a divisor, and entryShare the memory of the VM for each stored ID. An
	// entry takes about 600 bytes besides.
	bytesShare = 4
	entryShare = 2 << 10
	// headerLineBytes is the number of bytes that a line of a header takes besides its text.
	headerLineBytes = 64
	// MaxBodyBytes is the maximum size in bytes of one response body that is stored.
	MaxBodyBytes = 32 << 10
)

// Key identifies a request of a team.
type Key struct {
	Team azuretiller.TeamID
	ID   azuretiller.RequestID
}

// State is the result of Reserve for a request ID.
type State int

// The results of Reserve.
const (
	// Reserved means that the ID was not stored before and is now reserved for the owner that was passed to Reserve.
	Reserved State = iota + 1
	// InProgress means that an earlier request with the ID reserved it and has not ended.
	InProgress
	// Finished means that an earlier request with the ID has ended. Reserve then returns its response.
	Finished
	// FingerprintMismatch means that the ID was used by an earlier request with another fingerprint.
	FingerprintMismatch
)

// Response is the stored response of a request that ended.
type Response struct {
	Code    azuretiller.Code
	Status  int
	Headers http.Header
	Body    []byte
	// Replayable is false when the body was larger than MaxBodyBytes and was not stored.
	Replayable bool
}

// Store stores request IDs for the duration of Retention. Callers pass in the current time.
type Store struct {
	entries     map[Key]*list.Element
	oldestFirst *list.List
	// bytes is the size of all entries.
	bytes, maxBytes, maxEntries int
	// completeSince is when the store was created or last evicted an ID before its Retention had passed. It may lack IDs that
	// were reserved earlier.
	completeSince time.Time
}

type entry struct {
	key Key
	// owner identifies the request that made the reservation; only that request may finish or release it.
	owner       string
	fingerprint []byte
	reservedAt  time.Time
	finished    bool
	response    Response
}

// New returns an empty store. It has no record of IDs that were used before the given time. It takes less than the usual maximum on a VM whose
// memory, in bytes, is small; 0 stands for a VM of any size.
func New(now time.Time, memory int64) *Store {
	s := &Store{entries: map[Key]*list.Element{}, oldestFirst: list.New(), completeSince: now, maxBytes: maxBytes, maxEntries: maxEntries}
	if memory > 0 {
		s.maxBytes = min(s.maxBytes, int(memory/bytesShare))
		s.maxEntries = min(s.maxEntries, int(memory/entryShare))
	}
	return s
}

// size returns the number of bytes that the entry counts.
func (e *entry) size() int {
	size := len(e.key.Team) + len(e.key.ID) + len(e.owner) + len(e.fingerprint) + len(e.response.Body)
	for name, values := range e.response.Headers {
		for _, value := range values {
			size += len(name) + len(value) + headerLineBytes
		}
	}
	return size
}

// Reserve reserves an ID for an owner unless the ID is already stored. It also returns the period up to now for which the
// store has all reserved IDs, and the response if the state is Finished.
func (s *Store) Reserve(key Key, owner string, fingerprint []byte, now time.Time) (state State, response Response, completeFor time.Duration) {
	s.expire(now)
	completeFor = now.Sub(s.completeSince)
	element, ok := s.entries[key]
	if !ok {
		e := &entry{key: key, owner: owner, fingerprint: fingerprint, reservedAt: now}
		s.entries[key] = s.oldestFirst.PushBack(e)
		s.bytes += e.size()
		s.evictOldest(now)
		return Reserved, Response{}, completeFor
	}
	e := element.Value.(*entry)
	switch {
	case !bytes.Equal(e.fingerprint, fingerprint):
		return FingerprintMismatch, Response{}, completeFor
	case e.finished:
		return Finished, e.response, completeFor
	default:
		return InProgress, Response{}, completeFor
	}
}

// Release deletes a reservation of the given owner. It is called when the request did not run.
func (s *Store) Release(key Key, owner string) {
	element, ok := s.entries[key]
	if !ok {
		return
	}
	if e := element.Value.(*entry); e.owner == owner && !e.finished {
		s.remove(element)
	}
}

// Finish stores the response of a request, which is returned to retries with the same ID.
func (s *Store) Finish(key Key, owner string, response Response, now time.Time) {
	element, ok := s.entries[key]
	if !ok {
		return
	}
	e := element.Value.(*entry)
	if e.owner != owner || e.finished {
		return
	}
	s.bytes -= e.size()
	e.finished = true
	e.response = response
	s.bytes += e.size()
	s.evictOldest(now)
}

// expire deletes the IDs that were reserved at least Retention ago.
func (s *Store) expire(now time.Time) {
	for oldest := s.oldestFirst.Front(); oldest != nil; oldest = s.oldestFirst.Front() {
		if now.Sub(oldest.Value.(*entry).reservedAt) < Retention {
			return
		}
		s.remove(oldest)
	}
}

// evictOldest deletes the oldest IDs while there are too many IDs or too many bytes. The store is then no
// longer complete for earlier IDs, as after a restart.
func (s *Store) evictOldest(now time.Time) {
	for s.oldestFirst.Len() > s.maxEntries || s.bytes > s.maxBytes {
		s.remove(s.oldestFirst.Front())
		s.completeSince = now
	}
}

func (s *Store) remove(element *list.Element) {
	e := element.Value.(*entry)
	s.bytes -= e.size()
	delete(s.entries, e.key)
	s.oldestFirst.Remove(element)
}

// Len returns the number of stored IDs.
func (s *Store) Len() int { return s.oldestFirst.Len() }
