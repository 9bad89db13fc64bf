package edge

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/leader"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/rollout"
	"github.com/azuretiller/azuretiller/platform"
)

// rolloutCallTimeout bounds each call to the store about rollouts: a block of exposure or a status that is late by more is of little use.
const rolloutCallTimeout = time.Second

// probeTimeout bounds a connection attempt to a lost VM; a refusal comes within milliseconds.
const probeTimeout = 250 * time.Millisecond

// rolloutsResult is the result of reading the stored rollouts, for the leader of a term or, with term 0, for a VM without a leader.
type rolloutsResult struct {
	term   azuretiller.Term
	stored azuretiller.StoredRollouts
	err    error
}

// rolloutStored is the result of writing the progress of a rollout for the leader of a term.
type rolloutStored struct {
	term   azuretiller.Term
	record azuretiller.RolloutRecord
	err    error
}

// rolloutReported is the result of writing the status of a rollout for the leader of a term.
type rolloutReported struct {
	term    azuretiller.Term
	service azuretiller.ServiceID
	status  azuretiller.RolloutStatus
	err     error
}

// vmGone tells the leader of a term that no process listens on the address of a lost VM.
type vmGone struct {
	term    azuretiller.Term
	address string
}

func rolloutParams(b platform.Bounds) rollout.Params {
	return rollout.Params{ExposeShare: b.ExposeShare, ExposeSlack: b.ExposeSlack, Rollback: b.Rollback}
}

// hasRollouts reports whether the deployment has rollouts.
func (e *Edge) hasRollouts() bool { return e.processSettings.Bounds.ExposeShare > 0 }

// callRollouts carries out a call of the leader to the store about rollouts.
func (e *Edge) callRollouts(ctx context.Context, term azuretiller.Term, effect leader.Effect) {
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, rolloutCallTimeout)
		defer cancel()
		switch v := effect.(type) {
		case leader.ReadRollouts:
			stored, err := e.registry.ReadRollouts(callCtx)
			e.deliver(ctx, rolloutsResult{term, stored, err})
		case leader.StoreRollout:
			err := e.registry.StoreRollout(callCtx, v.At, v.Record)
			e.deliver(ctx, rolloutStored{term, v.Record, err})
		case leader.ReportRollout:
			err := e.registry.ReportRollout(callCtx, v.At, v.Service, v.Status)
			e.deliver(ctx, rolloutReported{term, v.Service, v.Status, err})
		}
	}()
}

// probeVM connects to a lost VM. If the connection is refused, its process has ended, and with it the requests that it had sent.
func (e *Edge) probeVM(ctx context.Context, term azuretiller.Term, address string) {
	go func() {
		dialer := net.Dialer{Timeout: probeTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			e.deliver(ctx, vmGone{term, address})
		}
	}()
}

// handleRollouts handles the result of a call to the store about rollouts.
func (e *Edge) handleRollouts(now time.Time, event any) {
	leads := func(term azuretiller.Term) bool { return e.leader != nil && e.leader.Term() == term }
	switch v := event.(type) {
	case vmGone:
		if leads(v.term) {
			e.leader.VMGone(v.address)
		}
	case rolloutsResult:
		if !e.reads.rolloutsFailing {
			// The reads are repeated several times a second.
			e.logRolloutError(v.err, "failed to read rollouts", nil)
		}
		e.reads.rolloutsFailing = v.err != nil
		switch {
		case leads(v.term):
			e.runLeader(e.leader.RolloutsRead(now, v.stored, v.err))
		case v.term == 0:
			e.reads.rolloutsPending = false
			if v.err == nil {
				e.reads.rollouts, e.reads.lastRolloutsRead = &v.stored, now
			}
		}
	case rolloutStored:
		e.logRolloutError(v.err, "failed to store the progress of a rollout", log.Fields{"service": v.record.Order.Service, "state": v.record.Progress.State, "term": v.term})
		if leads(v.term) {
			e.runLeader(e.leader.RolloutStored(now, v.record, v.err))
		}
	case rolloutReported:
		e.logRolloutError(v.err, "failed to report the status of a rollout", log.Fields{"service": v.service, "state": v.status.State, "term": v.term})
		if leads(v.term) {
			e.runLeader(e.leader.RolloutReported(now, v.service, v.status, v.err))
		}
		if v.err == nil {
			e.common.Metrics.Tagged(map[string]string{"state": v.status.State.String()}).Counter("rollouts").Inc(1)
		}
	}
}

func (e *Edge) logRolloutError(err error, text string, fields log.Fields) {
	if err != nil {
		e.common.Metrics.Counter("rollout_calls_failed").Inc(1)
		e.common.Log.WithError(err).WithFields(fields).Warn(text)
	}
}

// startRolloutsRead reads the stored rollouts for a VM without a leader, if they matter.
func (e *Edge) startRolloutsRead(ctx context.Context, now time.Time) {
	if !e.hasRollouts() || e.reads.rolloutsPending || !e.rolloutsMatter(now) {
		return
	}
	e.reads.rolloutsPending = true
	e.callRollouts(ctx, 0, leader.ReadRollouts{})
}

// measureRollouts updates the gauges of the rollouts that this VM decides about as the leader.
func (e *Edge) measureRollouts(now time.Time) {
	if !e.hasRollouts() {
		return
	}
	for service, state := range e.leader.RolloutStates(now) {
		if state.Decision == nil {
			continue
		}
		metrics := e.common.Metrics.Tagged(map[string]string{"service": string(service)})
		metrics.Gauge("rollout_exposed").Update(float64(state.Decision.Used))
		metrics.Gauge("rollout_requests").Update(float64(state.Decision.Progress.Requests))
		metrics.Gauge("rollout_log_odds").Update(state.Decision.LogOdds)
	}
}

// reportOrders logs the orders in a page of settings that cannot be carried out, and those that are ignored as the deployment has no rollouts.
func (e *Edge) reportOrders(page azuretiller.SettingsPage) {
	for _, c := range page.Changes {
		if c.Rollout == nil {
			continue
		}
		fields := log.Fields{"service": printable(string(c.Rollout.Service))}
		switch {
		case c.Rollout.Invalid != nil:
			e.common.Metrics.Counter("rollout_orders_invalid").Inc(1)
			fields["reason"] = c.Rollout.Invalid
			e.common.Log.WithFields(fields).Warn("invalid rollout order")
		case !c.Rollout.Removed && !e.hasRollouts():
			fields["target"] = c.Rollout.Order.Target
			e.common.Log.WithFields(fields).Warn("rollout order ignored")
		}
	}
}

// rolloutsMatter reports whether there is an order, or a service whose servers have several versions.
func (e *Edge) rolloutsMatter(now time.Time) bool {
	if len(e.registryCache.Orders(now)) > 0 {
		return true
	}
	for _, servers := range e.registryCache.ServersByService(now, e.config) {
		for _, s := range servers {
			if s.Version != servers[0].Version {
				return true
			}
		}
	}
	return false
}

// restrictOwnServers closes the servers that this VM must not use because of a rollout, among those that it read from the store itself.
func (e *Edge) restrictOwnServers(now time.Time, servers []message.Server) {
	if !e.hasRollouts() {
		return
	}
	var stored *azuretiller.StoredRollouts
	switch {
	case !e.rolloutsMatter(now):
		stored = &azuretiller.StoredRollouts{}
	case now.Sub(e.reads.lastRolloutsRead) < maxOwnServersAge:
		stored = e.reads.rollouts
	}
	inView := map[azuretiller.InstanceID]bool{}
	for _, s := range e.member.View().Servers {
		inView[s.ID] = !s.Closed
	}
	leader.RestrictServers(now, servers, rolloutParams(e.processSettings.Bounds), e.registryCache.ServersByService(now, e.config), e.registryCache.Orders(now), stored, inView)
}

// closeUnrenewed returns the servers of the view without those that a leader may have withdrawn since this VM had contact to one.
func closeUnrenewed(servers []message.Server, leaseAge time.Duration) []message.Server {
	if leaseAge < leader.MaxViewUse {
		return servers
	}
	list := servers
	for i, s := range servers {
		if s.Rollout != message.WhileRecent || s.Closed {
			continue
		}
		if &list[0] == &servers[0] {
			list = append([]message.Server(nil), servers...)
		}
		list[i].Closed = true
	}
	return list
}
