package leader

import (
	"maps"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/rollout"
)

// rolloutRetryInterval is the time from a failed read of the stored rollouts to the next one, and from a failed write to the next one. After a
// failed write, the store is read at once: a cutover must be stored within a second.
const rolloutRetryInterval = 150 * time.Millisecond

// errWriteUnknown means that the store does not hold a progress whose write had no clear result.
var errWriteUnknown = errors.New("the progress was not found in the store")

// rolloutStore is what the leader knows of the stored rollouts. One call is under way at a time.
type rolloutStore struct {
	stored azuretiller.StoredRollouts
	// known means that stored is up to date. It is false before the first read and after a write without a clear result.
	known bool
	// calling means that a call is under way. After failed calls, the next read is due at readAt, and the next write at writeAt.
	calling         bool
	readAt, writeAt time.Time
	// replaced means that the leader of a later term has written, so that this one must not.
	replaced bool
}

// ReadRollouts reads the stored rollouts. The process passes the result to RolloutsRead.
type ReadRollouts struct{}

// StoreRollout writes the progress of a rollout at a position. The process passes the result to RolloutStored.
type StoreRollout struct {
	At     azuretiller.Position
	Record azuretiller.RolloutRecord
}

// ReportRollout writes the status of a rollout at a position. The process passes the result to RolloutReported.
type ReportRollout struct {
	At      azuretiller.Position
	Service azuretiller.ServiceID
	Status  azuretiller.RolloutStatus
}

func (ReadRollouts) effect()  {}
func (StoreRollout) effect()  {}
func (ReportRollout) effect() {}

// nextCall returns the call to the store that is due, if any.
func (r *rollouts) nextCall(now time.Time) []Effect {
	st := &r.store
	if st.calling || st.replaced {
		return nil
	}
	if !st.known {
		if now.Before(st.readAt) {
			return nil
		}
		st.calling = true
		return []Effect{ReadRollouts{}}
	}
	if now.Before(st.writeAt) {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(r.services)) {
		s := r.services[id]
		if s.next != nil {
			st.calling = true
			s.sent, s.next = s.next, nil
			return []Effect{StoreRollout{At: st.stored.NextRecord, Record: r.record(s, *s.sent)}}
		}
		if status, due := r.statusDue(s); due {
			st.calling = true
			r.log("rollout status", log.Fields{"service": id, "target": status.Target, "state": status.State})
			return []Effect{ReportRollout{At: st.stored.NextStatus, Service: id, Status: status}}
		}
	}
	return nil
}

func (r *rollouts) record(s *serviceRollout, p azuretiller.RolloutProgress) azuretiller.RolloutRecord {
	return azuretiller.RolloutRecord{Order: s.order, InUse: s.inUse, Term: r.term, Progress: p}
}

// statusDue returns the status of a rollout, and whether it is still to be written. Only a stored state is reported.
func (r *rollouts) statusDue(s *serviceRollout) (azuretiller.RolloutStatus, bool) {
	status := azuretiller.RolloutStatus{Target: s.order.Target, State: s.stored.State}
	return status, status.State != 0 && r.store.stored.Statuses[s.order.Service] != status
}

// read handles the result of ReadRollouts.
func (r *rollouts) read(now time.Time, stored azuretiller.StoredRollouts, err error) {
	st := &r.store
	st.calling = false
	if err != nil {
		st.readAt = now.Add(rolloutRetryInterval)
		return
	}
	for id, record := range stored.Records {
		if record.Invalid == nil && record.Term > r.term {
			if !st.replaced {
				r.log("rollouts replaced", log.Fields{"service": id, "newer": record.Term})
			}
			st.replaced = true
		}
	}
	if stored.Records == nil {
		stored.Records = map[azuretiller.ServiceID]azuretiller.RolloutRecord{}
	}
	if stored.Statuses == nil {
		stored.Statuses = map[azuretiller.ServiceID]azuretiller.RolloutStatus{}
	}
	st.stored, st.known = stored, true
	for id, s := range r.services {
		r.compare(now, s, stored.Records[id])
	}
}

// compare resolves a write without a clear result, and writes again what the store has lost since.
func (r *rollouts) compare(now time.Time, s *serviceRollout, found azuretiller.RolloutRecord) {
	same := found.Invalid == nil && found.Order.Same(s.order)
	if sent := s.sent; sent != nil {
		if same && found.Term == r.term && sameProgress(found.Progress, *sent) {
			r.confirm(now, s, *sent)
		} else {
			r.fail(now, s)
		}
	}
	switch {
	case s.stored.State == 0 && same && found.Term < r.term:
		// A former leader has accepted the order as well.
		r.resume(now, s.order, found, nil)
	case s.stored.State != 0 && s.order.At.Offset > 0 && s.next == nil && (!same || !sameProgress(found.Progress, s.stored)):
		// The store came back from a copy without the last record.
		progress := s.stored
		s.next = &progress
	}
}

// sameProgress compares the fields that tell two writes of a leader apart.
func sameProgress(a, b azuretiller.RolloutProgress) bool {
	return a.State == b.State && a.Cutover == b.Cutover && a.Reserved == b.Reserved && a.Started.UnixMilli() == b.Started.UnixMilli()
}

// written handles the result of StoreRollout.
func (r *rollouts) written(now time.Time, record azuretiller.RolloutRecord, err error) {
	st := &r.store
	st.calling = false
	if err != nil {
		st.writeFailed(now)
		return
	}
	st.stored.NextRecord.Offset++
	st.stored.Records[record.Order.Service] = record
	if s := r.services[record.Order.Service]; s != nil && s.sent != nil && s.order.Same(record.Order) {
		r.confirm(now, s, *s.sent)
	}
}

// writeFailed handles a write without a clear result: it may have been made, or the leader of a later term may have written.
func (st *rolloutStore) writeFailed(now time.Time) {
	st.known = false
	st.writeAt = now.Add(rolloutRetryInterval)
}

// reported handles the result of ReportRollout.
func (r *rollouts) reported(now time.Time, id azuretiller.ServiceID, status azuretiller.RolloutStatus, err error) {
	st := &r.store
	st.calling = false
	if err != nil {
		st.writeFailed(now)
		return
	}
	st.stored.NextStatus.Offset++
	st.stored.Statuses[id] = status
}

// confirm records that the store holds a progress.
func (r *rollouts) confirm(now time.Time, s *serviceRollout, p azuretiller.RolloutProgress) {
	s.sent, s.stored = nil, p
	switch {
	case s.resumed != nil:
		s.resumed = nil
		s.controller = rollout.New(now, r.params, s.order.RolloutOrder, p)
	case s.controller != nil:
		s.controller.Stored(now, p, nil)
	}
}

// fail records that the store does not hold the progress that was sent.
func (r *rollouts) fail(now time.Time, s *serviceRollout) {
	sent := s.sent
	s.sent = nil
	switch {
	case s.controller != nil:
		s.controller.Stored(now, *sent, errWriteUnknown)
	case s.next == nil:
		s.next = sent
	}
}
