package once

import (
	"bytes"
	"container/list"
	"net/http"
	"time"

	"github.com/azuretiller/azuretiller"
)

const (
	// Window is how long a request id is remembered.
	Window     = 10 * time.Minute
	maxEntries = 200_000
	maxBytes   = 64 << 20
	// LargestAnswer is the size in bytes up to which an answer's body is kept.
	LargestAnswer = 32 << 10
)

// Key names a request of a team.
type Key struct {
	Team azuretiller.TeamID
	ID   azuretiller.RequestID
}

// State is what a registry knows of a request id.
type State int

// The states of a request id.
const (
	// Reserved means that the id was not known and now belongs to the one who asked.
	Reserved State = iota + 1
	// InProgress means that a request with the id was started and has not ended.
	InProgress
	// Finished means that the request ended.
	Finished
	// Different means that the id belongs to another request.
	Different
)

// Answer is the kept answer of a request that ended.
type Answer struct {
	Code    azuretiller.Code
	Status  int
	Headers http.Header
	Body    []byte
	// Kept is false when the answer was too large.
	Kept bool
}

// Registry remembers request ids for a window; it has no clock of its own.
type Registry struct {
	entries map[Key]*list.Element
	order   *list.List
	bytes   int
	// knowsSince is the time from which on no id was forgotten or missed.
	knowsSince time.Time
}

type entry struct {
	key         Key
	owner       string
	fingerprint []byte
	at          time.Time
	finished    bool
	answer      Answer
}

// New returns a registry that knows no id that was used before a time.
func New(now time.Time) *Registry {
	return &Registry{entries: map[Key]*list.Element{}, order: list.New(), knowsSince: now}
}

// Reserve looks an id up and, when it is not known, reserves it for an owner. Age is the time for which the registry knows all ids.
func (r *Registry) Reserve(key Key, owner string, fingerprint []byte, now time.Time) (state State, answer Answer, age time.Duration) {
	r.expire(now)
	age = now.Sub(r.knowsSince)
	element, ok := r.entries[key]
	if !ok {
		r.entries[key] = r.order.PushBack(&entry{key: key, owner: owner, fingerprint: fingerprint, at: now})
		r.makeRoom(now)
		return Reserved, Answer{}, age
	}
	e := element.Value.(*entry)
	switch {
	case !bytes.Equal(e.fingerprint, fingerprint):
		return Different, Answer{}, age
	case e.finished:
		return Finished, e.answer, age
	default:
		return InProgress, Answer{}, age
	}
}

// Release forgets a reservation of its owner, because the request did not run.
func (r *Registry) Release(key Key, owner string) {
	element, ok := r.entries[key]
	if !ok {
		return
	}
	if e := element.Value.(*entry); e.owner == owner && !e.finished {
		r.remove(element)
	}
}

// Finish keeps the answer of a request for those who send it again.
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
	r.bytes += len(answer.Body)
	r.makeRoom(now)
}

func (r *Registry) expire(now time.Time) {
	for front := r.order.Front(); front != nil; front = r.order.Front() {
		if now.Sub(front.Value.(*entry).at) < Window {
			return
		}
		r.remove(front)
	}
}

// makeRoom forgets the oldest ids when there are too many; from then on the registry is as good as newly started.
func (r *Registry) makeRoom(now time.Time) {
	for r.order.Len() > maxEntries || r.bytes > maxBytes {
		r.remove(r.order.Front())
		r.knowsSince = now
	}
}

func (r *Registry) remove(element *list.Element) {
	e := element.Value.(*entry)
	r.bytes -= len(e.answer.Body)
	delete(r.entries, e.key)
	r.order.Remove(element)
}

// Len returns the number of remembered ids.
func (r *Registry) Len() int { return r.order.Len() }
