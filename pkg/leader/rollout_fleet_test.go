package leader

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/rollout"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
	"github.com/azuretiller/azuretiller/pkg/shareledger"
	"github.com/azuretiller/azuretiller/pkg/tokenbucket"
)

// rolloutStoreStub is a store of rollouts in memory.
type rolloutStoreStub struct {
	stored azuretiller.StoredRollouts
	// away means that all calls fail, and deaf that writes are made but their result is lost.
	away, deaf bool
	// history are the states that were reported.
	history []string
	writes  int
}

func newRolloutStoreStub() *rolloutStoreStub {
	return &rolloutStoreStub{stored: azuretiller.StoredRollouts{
		Records: map[azuretiller.ServiceID]azuretiller.RolloutRecord{}, Statuses: map[azuretiller.ServiceID]azuretiller.RolloutStatus{},
		NextRecord: azuretiller.Position{Offset: 1}, NextStatus: azuretiller.Position{Offset: 1},
	}}
}

var errAway = errors.New("the store is away")

func (s *rolloutStoreStub) read() azuretiller.StoredRollouts {
	c := s.stored
	c.Records, c.Statuses = map[azuretiller.ServiceID]azuretiller.RolloutRecord{}, map[azuretiller.ServiceID]azuretiller.RolloutStatus{}
	for id, r := range s.stored.Records {
		c.Records[id] = r
	}
	for id, st := range s.stored.Statuses {
		c.Statuses[id] = st
	}
	return c
}

// write makes a write at a position if next is that position, and returns the result that the leader gets.
func (s *rolloutStoreStub) write(at azuretiller.Position, next *azuretiller.Position, apply func()) error {
	if s.away {
		return errAway
	}
	if at != *next {
		return azuretiller.ErrClaimLost
	}
	next.Offset++
	s.writes++
	apply()
	if s.deaf {
		return errAway
	}
	return nil
}

// carryOut carries out the calls to the store among effects, and those that follow.
func (s *rolloutStoreStub) carryOut(l *Leader, now time.Time, effects []Effect) (others []Effect) {
	for len(effects) > 0 {
		effect := effects[0]
		effects = effects[1:]
		switch v := effect.(type) {
		case ReadRollouts:
			if s.away {
				effects = append(effects, l.RolloutsRead(now, azuretiller.StoredRollouts{}, errAway)...)
				continue
			}
			effects = append(effects, l.RolloutsRead(now, s.read(), nil)...)
		case StoreRollout:
			err := s.write(v.At, &s.stored.NextRecord, func() { s.stored.Records[v.Record.Order.Service] = v.Record })
			effects = append(effects, l.RolloutStored(now, v.Record, err)...)
		case ReportRollout:
			err := s.write(v.At, &s.stored.NextStatus, func() {
				s.stored.Statuses[v.Service] = v.Status
				s.history = append(s.history, fmt.Sprint(v.Service, " ", v.Status.Target, " ", v.Status.State))
			})
			effects = append(effects, l.RolloutReported(now, v.Service, v.Status, err)...)
		default:
			others = append(others, effect)
		}
	}
	return others
}

// rolloutFleet is a leader with two VMs, a store and the servers of service "s".
type rolloutFleet struct {
	t      *testing.T
	leader *Leader
	store  *rolloutStoreStub
	now    time.Time
	// versions maps the servers to their versions.
	versions map[azuretiller.InstanceID]azuretiller.Version
	orders   map[azuretiller.ServiceID]azuretiller.RecordedOrder
	offset   azuretiller.Offset
	call     uint64
	// placed counts the attempts by version, and answer returns the result of an attempt on a version.
	placed map[azuretiller.Version]int
	answer func(v azuretiller.Version) message.Result
	// vms are those that send heartbeats and receive views at once.
	vms   []string
	views map[string]message.View
}

func newRolloutFleet(t *testing.T) *rolloutFleet {
	f := &rolloutFleet{
		t: t, store: newRolloutStoreStub(), now: start(), versions: map[azuretiller.InstanceID]azuretiller.Version{},
		orders: map[azuretiller.ServiceID]azuretiller.RecordedOrder{}, placed: map[azuretiller.Version]int{}, vms: []string{"10.0.0.1:1", "10.0.0.2:1"},
		answer: func(azuretiller.Version) message.Result { return message.Succeeded }, views: map[string]message.View{},
	}
	for i := range 4 {
		f.versions[azuretiller.InstanceID(fmt.Sprint("old-", i))] = "v1"
	}
	f.lead(1)
	return f
}

// lead makes a new leader of a term, as on a VM that knows the other VMs but has no recent view.
func (f *rolloutFleet) lead(term azuretiller.Term) {
	f.leader = New(f.now, Params{
		Scheduler:     scheduler.Params{RetryRatio: 0.2, RetrySlack: 60},
		RateTolerance: tokenbucket.Tolerance{Ratio: 0.1, Slack: 20, Window: 5 * time.Second},
		Rollout:       rollout.Params{ExposeShare: 0.1, ExposeSlack: 50, Rollback: 5 * time.Second},
	}, invariant.NewPanicking(), term, "vm-0", "10.0.0.0:1", shareledger.Claimed(azuretiller.LeaderRecord{Term: 1, VM: "former"}, "vm-0"), f.vms)
	f.leader.SetConfig(f.now, config.Assemble(config.Parts{Revision: 1, Routes: []config.Route{{ID: "route", Host: "h", Prefix: "/", Timeout: 2 * time.Second}}}))
}

func (f *rolloutFleet) addServers(v azuretiller.Version) {
	for i := range 4 {
		f.versions[azuretiller.InstanceID(fmt.Sprint(v, "-", i))] = v
	}
}

// order orders a version, as at the next position of the operators' settings.
func (f *rolloutFleet) order(target azuretiller.Version, limit time.Duration) {
	f.offset++
	f.orders = map[azuretiller.ServiceID]azuretiller.RecordedOrder{"s": {
		RolloutOrder: azuretiller.RolloutOrder{Service: "s", Target: target, Duration: limit}, At: azuretiller.Position{Offset: f.offset},
	}}
}

// step advances time by 10 ms: it reads the servers and the orders, sends heartbeats and a request.
func (f *rolloutFleet) step() {
	f.now = f.now.Add(10 * time.Millisecond)
	var list []scheduler.Server
	for id, v := range f.versions {
		list = append(list, scheduler.Server{ID: id, Address: "10.1.0.1:80", Slots: 3, Version: v, Incarnation: int64(len(v))})
	}
	f.run(f.leader.SetServers(f.now, map[azuretiller.ServiceID][]scheduler.Server{"s": list}))
	f.run(f.leader.SetOrders(f.now, f.orders))
	for _, vm := range f.vms {
		view := f.views[vm]
		hb := message.Heartbeat{VM: azuretiller.VMID(vm), Incarnation: 1, Zone: azuretiller.Zone(vm), Ready: true, Term: f.leader.Term()}
		if view.Term == hb.Term {
			hb.ViewVersion, hb.DrainedView = view.Version, view.Version
		}
		f.run(f.leader.Receive(f.now, vm, message.Envelope{Body: hb}))
	}
	f.run(f.leader.Tick(f.now))
	if len(f.vms) > 0 {
		f.request(f.vms[0])
	}
}

func (f *rolloutFleet) request(vm string) {
	f.call++
	for _, response := range f.run(f.leader.Receive(f.now, vm, message.Envelope{Call: f.call, Body: newPlaceRequest(config.Backend{Service: "s", Weight: 1})})) {
		if response.Code != azuretiller.CodeOK || response.Queued {
			continue
		}
		version := f.versions[response.Server]
		f.placed[version]++
		report := message.Report{Ticket: response.Ticket, Result: f.answer(version), Took: 5 * time.Millisecond, Term: f.leader.Term()}
		f.run(f.leader.Receive(f.now, vm, message.Envelope{Body: report}))
	}
}

// run carries out effects: calls to the store, and views to the VMs, which have zones of their own. It returns the placement responses.
func (f *rolloutFleet) run(effects []Effect) []message.PlaceResponse {
	effects = f.store.carryOut(f.leader, f.now, effects)
	for _, e := range effects {
		send, ok := e.(Send)
		if !ok {
			continue
		}
		if v, ok := send.Message.Body.(message.View); ok {
			require.Equal(f.t, 1, v.Parts)
			switch {
			case v.Base == 0:
				f.views[send.To] = message.View{}.Apply(v)
			case v.Base == f.views[send.To].Version && v.Term == f.views[send.To].Term:
				f.views[send.To] = f.views[send.To].Apply(v)
			}
		}
	}
	return placeResponses(effects)
}

func (f *rolloutFleet) steps(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

// stepsUntil advances time until the state was reported, at most for a time.
func (f *rolloutFleet) stepsUntil(state azuretiller.RolloutState, limit time.Duration) {
	f.t.Helper()
	for end := f.now.Add(limit); f.store.stored.Statuses["s"].State != state; {
		require.True(f.t, f.now.Before(end), "the rollout is not %s: %v", state, f.leader.RolloutStates(f.now))
		f.step()
	}
}

// placedDuring returns the attempts by version during a time.
func (f *rolloutFleet) placedDuring(d time.Duration) map[azuretiller.Version]int {
	f.placed = map[azuretiller.Version]int{}
	f.steps(d)
	return f.placed
}

// openInViews returns the versions of which the VMs use servers without a leader.
func (f *rolloutFleet) openInViews() map[azuretiller.Version]bool {
	open := map[azuretiller.Version]bool{}
	for _, vm := range f.vms {
		for _, s := range f.views[vm].Servers {
			if !s.Closed {
				open[f.versions[s.ID]] = true
			}
		}
	}
	return open
}

// inherit makes a new leader of a term that has the newest view of the former one.
func (f *rolloutFleet) inherit(term azuretiller.Term) {
	view := f.views[f.vms[0]]
	f.lead(term)
	services := map[azuretiller.ServiceID][]scheduler.Server{}
	for _, s := range view.Servers {
		services[s.Service] = append(services[s.Service], scheduler.Server{ID: s.ID, Address: s.Address, Slots: s.Slots, Closed: s.Closed})
	}
	f.run(f.leader.InheritServers(f.now, view.Servers, services))
}
