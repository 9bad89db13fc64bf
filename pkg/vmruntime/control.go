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

// ErrUndetermined is returned by Propose when the verdict on the edit has not arrived before the context ends.
var ErrUndetermined = errors.New("the log has not answered; what became of the edit will stand in the history")

// controlLoop runs on the only goroutine that reads and writes the control state.
func (n *Runtime) controlLoop(ctx context.Context) {
	ticks := n.timer.Subscribe(controlTickInterval)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
			n.reduce(ctx, control.Tick{At: n.common.Clock.Now()})
			n.fetchFromSeeds(ctx)
		case item := <-n.inbox:
			switch item := item.(type) {
			case control.Event:
				n.reduce(ctx, item)
			case func(*control.State):
				item(n.state)
			}
		}
	}
}

func (n *Runtime) postEvent(e control.Event) {
	select {
	case n.inbox <- e:
	case <-n.ctx.Done():
	}
}

// runInControl runs a function on the control goroutine and waits for it; it returns false if the context ends first.
func (n *Runtime) runInControl(ctx context.Context, f func(*control.State)) bool {
	done := make(chan struct{})
	wrapped := func(s *control.State) {
		f(s)
		close(done)
	}
	select {
	case n.inbox <- wrapped:
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

func (n *Runtime) reduce(ctx context.Context, e control.Event) {
	for _, effect := range control.Reduce(n.state, e) {
		n.runEffect(ctx, effect)
	}
}

func (n *Runtime) runEffect(ctx context.Context, effect control.Effect) {
	switch e := effect.(type) {
	case control.Publish:
		n.publish(e.Snapshot)
	case control.Read:
		go n.readLog(ctx, e)
	case control.SendHeartbeat:
		go n.sendHeartbeat(ctx, e)
	case control.ProbeIndirectly:
		for _, via := range e.Via {
			go n.pingVia(ctx, via, e.Target.ID)
		}
	case control.Fetch:
		go n.fetchRecords(ctx, e.Peer, e.From)
	case control.Append:
		go n.append(ctx, e.Record)
	case control.ReportVerdict:
		n.deliverVerdict(e.Verdict)
	case control.LogLine:
		n.common.Log.WithFields(log.Fields(e.Fields)).WithField("vm", n.self.ID).Info(e.Name)
	}
}

func (n *Runtime) publish(s *snapshot.Snapshot) {
	n.snapshot.Store(s)
	if !s.Ready {
		return
	}
	n.ratesMu.Lock()
	n.rates.Observe(s.Members, s.Config, n.common.Clock.Now())
	if s.Settled == s.Version {
		n.rates.MarkSettled(s.SettledAt)
	}
	n.ratesMu.Unlock()
	n.readyOnce.Do(func() { close(n.ready) })
}

func (n *Runtime) readLog(ctx context.Context, e control.Read) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	started := n.common.Clock.Now()
	entries, oldest, err := n.log.Read(ctx, e.From, e.MaxEntries)
	now := n.common.Clock.Now()
	if err != nil {
		n.postEvent(control.ReadFailed{At: now, Started: started})
		return
	}
	n.postEvent(control.EntriesRead{At: now, Started: started, From: e.From, Entries: entries, Oldest: oldest})
}

func (n *Runtime) sendHeartbeat(ctx context.Context, e control.SendHeartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := n.common.Clock.Now()
	answer, err := n.peers.Heartbeat(ctx, e.To, e.Heartbeat)
	if err != nil {
		return
	}
	n.postEvent(control.HeartbeatAnswered{At: n.common.Clock.Now(), Sent: sent, Heartbeat: answer})
}

func (n *Runtime) pingVia(ctx context.Context, via azuretiller.VM, target azuretiller.VMID) {
	ctx, cancel := context.WithTimeout(ctx, 2*pingTimeout)
	defer cancel()
	heard, incarnation, err := n.peers.Ping(ctx, via, target)
	if err != nil || !heard {
		return
	}
	n.postEvent(control.IndirectProbeAnswered{At: n.common.Clock.Now(), VM: target, Incarnation: incarnation})
}

func (n *Runtime) fetchRecords(ctx context.Context, peer azuretiller.VM, from azuretiller.Offset) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sent := n.common.Clock.Now()
	fetched, err := n.peers.FetchRecords(ctx, peer, from)
	if err != nil {
		return
	}
	fetched.At = n.common.Clock.Now()
	fetched.Sent = sent
	n.postEvent(fetched)
}

func (n *Runtime) append(ctx context.Context, r record.Record) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	data, err := record.Encode(r)
	if err != nil {
		n.common.Log.WithField("error", err).Error("record not encoded")
		return
	}
	offset, err := n.log.Append(ctx, data)
	n.postEvent(control.Appended{At: n.common.Clock.Now(), ID: r.ID, Offset: offset, Failed: err != nil})
}

// fetchFromSeeds requests the records from the seed VMs while this VM is not ready, so that it can start when the log does not
// answer.
func (n *Runtime) fetchFromSeeds(ctx context.Context) {
	if n.Snapshot().Ready || len(n.settings.Seeds) == 0 || !n.state.ShouldAskSeeds(n.common.Clock.Now()) {
		return
	}
	for _, address := range n.settings.Seeds {
		go n.fetchRecords(ctx, azuretiller.VM{ID: azuretiller.VMID(address), PeerAddress: address}, n.state.LogState().NextOffset())
	}
}

// Propose appends an edit to the log and waits for the verdict on it.
func (n *Runtime) Propose(ctx context.Context, base azuretiller.Revision, e record.Edit) (record.Verdict, error) {
	var id string
	result := make(chan record.Verdict, 1)
	ok := n.runInControl(ctx, func(s *control.State) {
		r := s.NewEdit(base, e)
		id = r.ID
		n.waitersMu.Lock()
		n.waiters[id] = result
		n.waitersMu.Unlock()
		n.reduce(n.ctx, control.Proposed{At: n.common.Clock.Now(), Record: r})
	})
	defer func() {
		n.waitersMu.Lock()
		delete(n.waiters, id)
		n.waitersMu.Unlock()
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

func (n *Runtime) deliverVerdict(v record.Verdict) {
	n.waitersMu.Lock()
	defer n.waitersMu.Unlock()
	if waiter, ok := n.waiters[v.ID]; ok {
		waiter <- v
		delete(n.waiters, v.ID)
	}
}
