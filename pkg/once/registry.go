package once

import (
	"bytes"
	"container/list"
	"net/http"
	"time"

	"github.com/azuretiller/azuretiller"
)

const (
	// Window is how long a request ID is stored.
	Window       = 10 * time.Minute
	maxEntries   = 200_000
	maxBodyBytes = 64 << 20
	// LargestAnswer is the maximum size in bytes of an answer's body that is stored.
	LargestAnswer = 32 << 10
)

// Key identifies a request of a team.
type Key struct {
	Team azuretiller.TeamID
	ID   azuretiller.RequestID
}

// State is the state of a request ID in a registry.
type State int

// The states of a request ID.
const (
	// Reserved means that the ID was not stored before and is now reserved for the owner that was passed to Reserve.
	Reserved State = iota + 1
	// InProgress means that a request with the ID has started and has not ended.
	InProgress
	// Finished means that the request ended.
	Finished
	// Different means that the ID belongs to a request with another fingerprint.
	Different
)

// Answer is the stored answer of a request that ended.
type Answer struct {
	Code    azuretiller.Code
	Status  int
	Headers http.Header
	Body    []byte
	// Kept is false when the body was larger than LargestAnswer and was not stored.
	Kept bool
}

// Registry stores request IDs for the duration of Window. Callers pass in the current time.
type Registry struct {
	entries     map[Key]*list.Element
	oldestFirst *list.List
	// bodyBytes is the total size of the stored answer bodies.
	bodyBytes int
	// completeSince is the time since which no reservation was missed or evicted early.
	completeSince time.Time
}

type entry struct {
	key         Key
	owner       string
	fingerprint []byte
	reservedAt  time.Time
	finished    bool
	answer      Answer
}

// New returns an empty registry. It has no record of IDs that were used before the given time.
func New(now time.Time) *Registry {
	return &Registry{entries: map[Key]*list.Element{}, oldestFirst: list.New(), completeSince: now}
}

// Reserve reserves an ID for an owner unless the ID is already stored. It also returns the period up to now for which the
// registry holds all IDs, and the answer if the state is Finished.
func (r *Registry) Reserve(key Key, owner string, fingerprint []byte, now time.Time) (state State, answer Answer, completeFor time.Duration) {
	r.expire(now)
	completeFor = now.Sub(r.completeSince)
	element, ok := r.entries[key]
	if !ok {
		r.entries[key] = r.oldestFirst.PushBack(&entry{key: key, owner: owner, fingerprint: fingerprint, reservedAt: now})
		r.evictOldest(now)
		return Reserved, Answer{}, completeFor
	}
	e := element.Value.(*entry)
	switch {
	case !bytes.Equal(e.fingerprint, fingerprint):
		return Different, Answer{}, completeFor
	case e.finished:
		return Finished, e.answer, completeFor
	default:
		return InProgress, Answer{}, completeFor
	}
}

// Release deletes a reservation of the given owner. It is called when the request did not run.
func (r *Registry) Release(key Key, owner string) {
	element, ok := r.entries[key]
	if !ok {
		return
	}
	if e := element.Value.(*entry); e.owner == owner && !e.finished {
		r.remove(element)
	}
}

// Finish stores the answer of a request, which is returned to retries with the same ID.
func (r *Registry) Finish(key Key, owner string, answer Answer, now time.Time) {
	element, ok := r.entries[key]
	if !ok {
		return
	}
	e := element.Value.(*entry)
	if e.owner != owner || e.finished {
		return
	}
	e.finished = true
	e.answer = answer
	r.bodyBytes += len(answer.Body)
	r.evictOldest(now)
}

// expire deletes the IDs that were reserved at least Window ago.
func (r *Registry) expire(now time.Time) {
	for oldest := r.oldestFirst.Front(); oldest != nil; oldest = r.oldestFirst.Front() {
		if now.Sub(oldest.Value.(*entry).reservedAt) < Window {
			return
		}
		r.remove(oldest)
	}
}

// evictOldest deletes the oldest IDs while there are too many IDs or bytes. The registry is then no longer complete for
// earlier IDs, as after a restart.
func (r *Registry) evictOldest(now time.Time) {
	for r.oldestFirst.Len() > maxEntries || r.bodyBytes > maxBodyBytes {
		r.remove(r.oldestFirst.Front())
		r.completeSince = now
	}
}

func (r *Registry) remove(element *list.Element) {
	e := element.Value.(*entry)
	r.bodyBytes -= len(e.answer.Body)
	delete(r.entries, e.key)
	r.oldestFirst.Remove(element)
}

// Len returns the number of stored IDs.
func (r *Registry) Len() int { return r.oldestFirst.Len() }
