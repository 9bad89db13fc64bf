package vmruntime

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/control"
	"github.com/azuretiller/azuretiller/pkg/record"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
)

const (
	readTimeout      = 1500 * time.Millisecond
	appendTimeout    = 1500 * time.Millisecond
	heartbeatTimeout = 450 * time.Millisecond
	pingTimeout      = 400 * time.Millisecond
	fetchTimeout     = 1500 * time.Millisecond
)

// ErrUndetermined is returned by Propose if the context ends before the verdict on the edit arrives.
var ErrUndetermined = errors.New("the log has not answered; what became of the edit will stand in the history")

// controlLoop runs on the only goroutine that reads and writes the control state.
func (rt *Runtime) controlLoop(ctx context.Context) {
	ticks := rt.timer.Subscribe(controlTickInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			rt.reduce(ctx, control.Tick{At: rt.common.Clock.Now()})
			rt.fetchFromSeeds(ctx)
		case item := <-rt.inbox:
			switch item := item.(type) {
			case control.Event:
				rt.reduce(ctx, item)
			case func(*control.State):
				item(rt.state)
			}
		}
	}
}

func (rt *Runtime) postEvent(e control.Event) {
	select {
	case rt.inbox <- e:
	case <-rt.ctx.Done():
	}
}

// runInControl runs a function on the control goroutine and waits for it; it returns false if the context ends first.
func (rt *Runtime) runInControl(ctx context.Context, f func(*control.State)) bool {
	done := make(chan struct{})
	wrapped := func(s *control.State) {
		f(s)
		close(done)
	}
	select {
	case rt.inbox <- wrapped:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (rt *Runtime) reduce(ctx context.Context, e control.Event) {
	for _, effect := range control.Reduce(rt.state, e) {
		rt.runEffect(ctx, effect)
	}
}

func (rt *Runtime) runEffect(ctx context.Context, effect control.Effect) {
	switch e := effect.(type) {
	case control.Publish:
		rt.publish(e.Snapshot)
	case control.Read:
		go rt.readLog(ctx, e)
	case control.SendHeartbeat:
		go rt.sendHeartbeat(ctx, e)
	case control.ProbeIndirectly:
		for _, via := range e.Via {
			go rt.pingVia(ctx, via, e.Target.ID)
		}
	case control.Fetch:
		go rt.fetchRecords(ctx, e.Peer, e.From)
	case control.Append:
		go rt.append(ctx, e.Record)
	case control.ReportVerdict:
		rt.deliverVerdict(e.Verdict)
	case control.LogLine:
		rt.common.Log.WithFields(log.Fields(e.Fields)).WithField("vm", rt.self.ID).Info(e.Message)
	}
}

func (rt *Runtime) publish(s *snapshot.Snapshot) {
	rt.snapshot.Store(s)
	if !s.Ready {
		return
	}
	rt.ratesMu.Lock()
	rt.rates.Observe(s.Members, s.Config, rt.common.Clock.Now())
	if s.Settled == s.Version {
		rt.rates.MarkSettled(s.SettledAt)
	}
	rt.ratesMu.Unlock()
	rt.readyOnce.Do(func() { close(rt.ready) })
}

func (rt *Runtime) readLog(ctx context.Context, e control.Read) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := rt.common.Clock.Now()
	entries, oldest, err := rt.log.Read(ctx, e.From, e.MaxEntries)
	now := rt.common.Clock.Now()
	if err != nil {
		rt.postEvent(control.ReadFailed{At: now, Started: started})
		return
	}
	rt.postEvent(control.EntriesRead{At: now, Started: started, From: e.From, Entries: entries, Oldest: oldest})
}

func (rt *Runtime) sendHeartbeat(ctx context.Context, e control.SendHeartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := rt.common.Clock.Now()
	answer, err := rt.peers.Heartbeat(ctx, e.To, e.Heartbeat)
	if err != nil {
		return
	}
	rt.postEvent(control.HeartbeatAnswered{At: rt.common.Clock.Now(), Sent: sent, Heartbeat: answer})
}

func (rt *Runtime) pingVia(ctx context.Context, via azuretiller.VM, target azuretiller.VMID) {
	ctx, cancel := context.WithTimeout(ctx, 2*pingTimeout)
	defer cancel()
	heard, incarnation, err := rt.peers.Ping(ctx, via, target)
	if err != nil || !heard {
		return
	}
	rt.postEvent(control.IndirectProbeAnswered{At: rt.common.Clock.Now(), VM: target, Incarnation: incarnation})
}

func (rt *Runtime) fetchRecords(ctx context.Context, peer azuretiller.VM, from azuretiller.Offset) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sent := rt.common.Clock.Now()
	fetched, err := rt.peers.FetchRecords(ctx, peer, from)
	if err != nil {
		return
	}
	fetched.At = rt.common.Clock.Now()
	fetched.Sent = sent
	rt.postEvent(fetched)
}

func (rt *Runtime) append(ctx context.Context, r record.Record) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	data, err := record.Encode(r)
	if err != nil {
		rt.common.Log.WithField("error", err).Error("failed to encode record")
		return
	}
	offset, err := rt.log.Append(ctx, data)
	rt.postEvent(control.Appended{At: rt.common.Clock.Now(), ID: r.ID, Offset: offset, Failed: err != nil})
}

// fetchFromSeeds requests the records from the seed VMs while this VM is not ready, so that it can start when the log does not
// answer.
func (rt *Runtime) fetchFromSeeds(ctx context.Context) {
	if rt.Snapshot().Ready || len(rt.settings.Seeds) == 0 || !rt.state.ShouldAskSeeds(rt.common.Clock.Now()) {
		return
	}
	for _, address := range rt.settings.Seeds {
		go rt.fetchRecords(ctx, azuretiller.VM{ID: azuretiller.VMID(address), PeerAddress: address}, rt.state.LogState().NextOffset())
	}
}

// Propose appends an edit to the log and waits for the verdict on it.
func (rt *Runtime) Propose(ctx context.Context, base azuretiller.Revision, e record.Edit) (record.Verdict, error) {
	var id string
	result := make(chan record.Verdict, 1)
	ok := rt.runInControl(ctx, func(s *control.State) {
		r := s.NewEdit(base, e)
		id = r.ID
		rt.verdictWaitersMu.Lock()
		rt.verdictWaiters[id] = result
		rt.verdictWaitersMu.Unlock()
		rt.reduce(rt.ctx, control.Proposed{At: rt.common.Clock.Now(), Record: r})
	})
	defer func() {
		rt.verdictWaitersMu.Lock()
		delete(rt.verdictWaiters, id)
		rt.verdictWaitersMu.Unlock()
	}()
	if !ok {
		return record.Verdict{ID: id}, ErrUndetermined
	}
	select {
	case v := <-result:
		return v, nil
	case <-ctx.Done():
		return record.Verdict{ID: id}, ErrUndetermined
	}
}

func (rt *Runtime) deliverVerdict(v record.Verdict) {
	rt.verdictWaitersMu.Lock()
	defer rt.verdictWaitersMu.Unlock()
	if waiter, ok := rt.verdictWaiters[v.ID]; ok {
		waiter <- v
		delete(rt.verdictWaiters, v.ID)
	}
}
