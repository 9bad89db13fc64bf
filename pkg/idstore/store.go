package idstore

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/idempotency"
	"github.com/azuretiller/azuretiller/pkg/peers"
	"github.com/azuretiller/azuretiller/pkg/rendezvous"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
)

const (
	replicaCount = 3
	callTimeout  = 400 * time.Millisecond
	// maxClockSkew is the largest accepted difference between the clock of the caller that created an ID and that of this VM.
	maxClockSkew = 2 * time.Second
)

// Store reserves request IDs on the VMs that rendezvous hashing chooses for them.
type Store struct {
	common *common.Common
	peers  *peers.Client
	// ctx ends with Close.
	ctx    context.Context
	cancel context.CancelFunc
	// mu guards closed; no call of Finish begins once it is set.
	mu     sync.Mutex
	closed bool
	// finishing are the calls of Finish to replicas.
	finishing sync.WaitGroup
}

// New returns a store that reaches the other VMs through the given client.
func New(c *common.Common, client *peers.Client) *Store {
	ctx, cancel := context.WithCancel(context.Background())
	return &Store{common: c, peers: client, ctx: ctx, cancel: cancel}
}

// Reserve reserves an ID on its replicas. The request may be dispatched only if the code is CodeOK. The response is set if an
// earlier request with the ID has ended.
func (s *Store) Reserve(ctx context.Context, snap *snapshot.Snapshot, key idempotency.Key, owner string, fingerprint []byte) (azuretiller.Code, idempotency.Response) {
	replicas := s.replicas(snap, key)
	results := make(chan *peers.Reservation, len(replicas))
	for _, vm := range replicas {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			r, err := s.peers.Reserve(callCtx, vm, key, owner, fingerprint)
			if err != nil {
				results <- nil
				return
			}
			results <- &r
		}()
	}
	var reservations []peers.Reservation
	for range replicas {
		if r := <-results; r != nil {
			reservations = append(reservations, *r)
		}
	}
	code, response := Combine(reservations, len(replicas), key.ID, s.common.Clock.Now())
	if code != azuretiller.CodeOK {
		// This code says that the request did not run, so the replicas release the ID.
		s.Finish(snap, key, owner, idempotency.Response{Code: azuretiller.CodeIDStoreUnavailable})
	}
	return code, response
}

// Combine derives the result of a reservation from the responses that arrived in time. The parameter asked is the number of
// replicas that were asked.
func Combine(reservations []peers.Reservation, asked int, id azuretiller.RequestID, now time.Time) (azuretiller.Code, idempotency.Response) {
	var completeFor time.Duration
	inProgress, fingerprintMismatch := false, false
	for _, r := range reservations {
		switch r.State {
		case idempotency.Finished:
			if r.Response.Code == azuretiller.CodeOK {
				return azuretiller.CodeReplayed, r.Response
			}
			return r.Response.Code, r.Response
		case idempotency.InProgress:
			inProgress = true
		case idempotency.FingerprintMismatch:
			fingerprintMismatch = true
		}
		completeFor = max(completeFor, r.CompleteFor)
	}
	switch {
	case fingerprintMismatch:
		return azuretiller.CodeRequestIDReused, idempotency.Response{}
	case inProgress:
		return azuretiller.CodeInProgress, idempotency.Response{}
	case len(reservations) < min(2, asked) || asked == 0:
		return azuretiller.CodeIDStoreUnavailable, idempotency.Response{}
	case completeFor < idempotency.Retention && !createdWithin(id, completeFor, now):
		return azuretiller.CodeIDUnknownAge, idempotency.Response{}
	default:
		return azuretiller.CodeOK, idempotency.Response{}
	}
}

// createdWithin reports whether the ID is a version 7 UUID that is younger than the given age even if the clocks differ by
// maxClockSkew. It returns false for other IDs, because their age is unknown.
func createdWithin(id azuretiller.RequestID, age time.Duration, now time.Time) bool {
	u, err := uuid.Parse(string(id))
	if err != nil || u.Version() != 7 {
		return false
	}
	seconds, nanos := u.Time().UnixTime()
	createdAt := time.Unix(seconds, nanos)
	return now.Sub(createdAt) < age-maxClockSkew && createdAt.Sub(now) < maxClockSkew
}

// Finish sends the response of a request to the replicas of its ID. They store the response, or release the ID if its code says
// that the request did not run. Finish does not wait for them; Close does.
func (s *Store) Finish(snap *snapshot.Snapshot, key idempotency.Key, owner string, response idempotency.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		s.common.Log.WithField("request", owner).Debug("the response of a request ended too late for the replicas of its id")
		return
	}
	for _, vm := range s.replicas(snap, key) {
		s.finishing.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
			defer cancel()
			if err := s.peers.Finish(ctx, vm, key, owner, response); err != nil {
				s.common.Log.WithField("vm", vm.ID).WithField("error", err).Debug("failed to send the response of a request to a replica")
			}
		})
	}
}

// Close waits until the replicas have received the responses of all requests that have ended. If the context ends before, it ends the calls that
// are left. Responses of requests that end later are not sent.
func (s *Store) Close(ctx context.Context) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	defer s.cancel()
	defer context.AfterFunc(ctx, s.cancel)()
	s.finishing.Wait()
}

// replicas returns the VMs that store an ID, in different zones if possible.
func (s *Store) replicas(snap *snapshot.Snapshot, key idempotency.Key) []azuretiller.VM {
	return rendezvous.AcrossZones("id/"+string(key.Team)+"/"+string(key.ID), snap.Live, replicaCount)
}
