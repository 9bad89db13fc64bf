package idstore

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/once"
	"github.com/azuretiller/azuretiller/pkg/peers"
	"github.com/azuretiller/azuretiller/pkg/placement"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
)

const (
	replicas    = 3
	callTimeout = 400 * time.Millisecond
	// clockSkew is how far the clock of a caller that made an id may be ahead of or behind ours.
	clockSkew = 2 * time.Second
)

// Store asks the VMs that are responsible for a request id.
type Store struct {
	common *common.Common
	peers  *peers.Peers
}

// New returns a store over calls to other VMs.
func New(c *common.Common, p *peers.Peers) *Store {
	return &Store{common: c, peers: p}
}

// Reserve reserves an id on the responsible VMs. The request may be dispatched only with CodeOK.
func (s *Store) Reserve(ctx context.Context, snap *snapshot.Snapshot, key once.Key, owner string, fingerprint []byte) (azuretiller.Code, once.Answer) {
	homes := s.homes(snap, key)
	answers := make(chan *peers.Reservation, len(homes))
	for _, vm := range homes {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			r, err := s.peers.Reserve(callCtx, vm, key, owner, fingerprint)
			if err != nil {
				answers <- nil
				return
			}
			answers <- &r
		}()
	}
	var got []peers.Reservation
	for range homes {
		if r := <-answers; r != nil {
			got = append(got, *r)
		}
	}
	code, answer := Decide(got, len(homes), key.ID, s.common.Clock.Now())
	if code != azuretiller.CodeOK {
		s.Finish(snap, key, owner, once.Answer{Code: azuretiller.CodeIDStoreUnavailable})
	}
	return code, answer
}

// Decide draws the conclusion from what the responsible VMs answered, of which there were asked many.
func Decide(got []peers.Reservation, asked int, id azuretiller.RequestID, now time.Time) (azuretiller.Code, once.Answer) {
	var oldest time.Duration
	progress, different := false, false
	for _, r := range got {
		switch r.State {
		case once.Finished:
			if r.Answer.Code == azuretiller.CodeOK {
				return azuretiller.CodeReplayed, r.Answer
			}
			return r.Answer.Code, r.Answer
		case once.InProgress:
			progress = true
		case once.Different:
			different = true
		}
		oldest = max(oldest, r.Age)
	}
	switch {
	case different:
		return azuretiller.CodeRequestIDReused, once.Answer{}
	case progress:
		return azuretiller.CodeInProgress, once.Answer{}
	case len(got) < min(2, asked) || asked == 0:
		return azuretiller.CodeIDStoreUnavailable, once.Answer{}
	case oldest < once.Window && !madeWithin(id, oldest, now):
		return azuretiller.CodeIDUnknownAge, once.Answer{}
	default:
		return azuretiller.CodeOK, once.Answer{}
	}
}

// madeWithin reports whether an id tells that it was made within the last while, by the time in a UUID of version 7.
func madeWithin(id azuretiller.RequestID, age time.Duration, now time.Time) bool {
	u, err := uuid.Parse(string(id))
	if err != nil || u.Version() != 7 {
		return false
	}
	seconds, nanos := u.Time().UnixTime()
	made := time.Unix(seconds, nanos)
	return now.Sub(made) < age-clockSkew && made.Sub(now) < clockSkew
}

// Finish keeps an answer on the responsible VMs, or forgets the id when the request did not run. It does not wait.
func (s *Store) Finish(snap *snapshot.Snapshot, key once.Key, owner string, answer once.Answer) {
	for _, vm := range s.homes(snap, key) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			if err := s.peers.Finish(ctx, vm, key, owner, answer); err != nil {
				s.common.Log.WithField("vm", vm.ID).WithField("error", err).Debug("answer not kept")
			}
		}()
	}
}

func (s *Store) homes(snap *snapshot.Snapshot, key once.Key) []azuretiller.VM {
	return placement.Spread("id/"+string(key.Team)+"/"+string(key.ID), snap.Live, replicas)
}
