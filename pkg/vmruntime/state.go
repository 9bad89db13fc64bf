package vmruntime

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/control"
	"github.com/azuretiller/azuretiller/pkg/leaseclock"
	"github.com/azuretiller/azuretiller/pkg/operator"
	"github.com/azuretiller/azuretiller/pkg/record"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
	"github.com/azuretiller/azuretiller/pkg/tree"
)

var errStopping = errors.New("the VM is stopping")

// Tree returns the settings tree and its revision.
func (rt *Runtime) Tree(ctx context.Context) (*tree.Tree, azuretiller.Revision, error) {
	var t *tree.Tree
	var revision azuretiller.Revision
	ok := rt.runInControl(ctx, func(s *control.State) {
		t = s.LogState().Tree()
		revision = s.LogState().Revision()
	})
	if !ok {
		return nil, 0, errStopping
	}
	return t, revision, nil
}

// History returns the verdicts on the latest records, oldest first.
func (rt *Runtime) History(ctx context.Context) ([]record.Verdict, error) {
	var out []record.Verdict
	if !rt.runInControl(ctx, func(s *control.State) { out = s.LogState().History() }) {
		return nil, errStopping
	}
	return out, nil
}

// Dump returns the state of the VM without keys and secrets.
func (rt *Runtime) Dump(context.Context) operator.Dump {
	s := rt.Snapshot()
	now := rt.common.Clock.Now()
	d := operator.Dump{
		VM:             string(rt.self.ID),
		Zone:           string(rt.self.Zone),
		Incarnation:    uint64(rt.self.Incarnation),
		Ready:          s.Ready,
		Current:        s.Current(now),
		Leaving:        s.Leaving,
		NextOffset:     uint64(s.NextOffset),
		Revision:       uint64(s.Revision),
		RosterRevision: uint64(s.RosterRevision),
		Pools:          map[string]string{},
		CallerRequests: rt.ingress.Running(),
		PoolRequests:   rt.ownedPools.Running(),
	}
	if !s.CompleteAt.IsZero() {
		d.ViewAge = leaseclock.Elapsed(now, s.CompleteAt).String()
	}
	for _, id := range s.Pollers {
		d.Pollers = append(d.Pollers, string(id))
	}
	for _, vm := range s.Members {
		d.VMs = append(d.VMs, operator.VM{
			ID:          string(vm.ID),
			Zone:        string(vm.Zone),
			Incarnation: uint64(vm.Incarnation),
			Caller:      vm.CallerAddress,
			Peer:        vm.PeerAddress,
			Operator:    vm.OperatorAddress,
			State:       vmState(s, vm),
		})
	}
	for _, pools := range s.Topology {
		for _, p := range pools {
			d.Pools[p.ID.String()] = string(p.Owner.ID)
		}
	}
	if s.Config != nil {
		d.Teams = len(s.Config.Teams)
		d.Keys = len(s.Config.Keys)
	}
	d.Servers = rt.serverStates()
	d.PeerBytesRead, d.PeerBytesWritten = rt.mesh.Bytes()
	rt.fillTokensAndIDs(&d)
	return d
}

func vmState(s *snapshot.Snapshot, vm azuretiller.VM) string {
	switch {
	case slices.Contains(s.Down, vm.ID):
		return "down"
	case vm.Leaving:
		return "leaving"
	case s.Config.Zones[vm.Zone].OutOfService:
		return "zone out"
	default:
		return "live"
	}
}

func (rt *Runtime) serverStates() []operator.Server {
	out := []operator.Server{}
	for id, reports := range rt.ownedPools.Report() {
		for _, r := range reports {
			row := operator.Server{
				Pool:       id.String(),
				Server:     string(r.Server),
				Phase:      r.Phase,
				Reason:     r.Reason,
				Busy:       r.Busy,
				RemoteBusy: r.RemoteBusy,
				Limit:      r.Limit,
				Draining:   r.Draining,
				Cold:       r.Cold,
				Suspicion:  r.Suspicion,
				Ejections:  r.Ejections,
			}
			if r.EjectionLeft > 0 {
				row.EjectionLeft = r.EjectionLeft.String()
			}
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b operator.Server) int {
		return strings.Compare(a.Pool+a.Server, b.Pool+b.Server)
	})
	return out
}

func (rt *Runtime) fillTokensAndIDs(d *operator.Dump) {
	rt.ratesMu.Lock()
	d.Millitokens = map[string]int64{}
	for team, level := range rt.rates.Levels(rt.common.Clock.Now()) {
		d.Millitokens[string(team)] = int64(level)
	}
	rt.ratesMu.Unlock()
	rt.idsMu.Lock()
	d.RequestIDs = rt.ids.Len()
	rt.idsMu.Unlock()
}
