package member

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/leader"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/virtualtime"
)

// fleet simulates members and leaders with a simulated network and store, in virtual time.
type fleet struct {
	t        *testing.T
	random   *rand.Rand
	schedule *virtualtime.Schedule
	vms      []*vm
	store    store
	// dropsLink reports whether a datagram from one VM to another is lost.
	dropsLink func(from, to int) bool
	// dropsBody reports whether a datagram is lost because of its body.
	dropsBody func(body any) bool
	// onNewLeader is called for each new leader. onMessage is called for each message and reports whether it handled it. Either
	// may be nil.
	onNewLeader func(*leader.Leader)
	// onStart is called for each VM that starts after the fleet was created, and onShare with the share of the rates that a VM may spend itself, before
	// it sends messages. Either may be nil.
	onStart   func(*vm)
	onShare   func(*vm, azuretiller.RateShare)
	onMessage func(to *vm, from string, m message.Envelope) bool
	// cpuPercents is the CPU capacity of each VM, in hundredths of a core. It is 0 for VMs beyond its end.
	cpuPercents []int
	// storeNoticeTime is the time that a VM needs to notice that the store has recovered.
	storeNoticeTime time.Duration
	// leadersByTerm maps each term to the VM that led it, with its incarnation.
	leadersByTerm map[azuretiller.Term]string
}

type vm struct {
	index       int
	address     string
	id          azuretiller.VMID
	up          bool
	incarnation int
	member      *Member
	leader      *leader.Leader
	// frozen means that the VM does not run. Datagrams for it wait in undelivered.
	frozen bool
	// replaced means that the VM never starts again.
	replaced    bool
	undelivered []func()
	// storeRefuses means that the store rejects calls of this VM, and storeSilent that it does not answer them.
	storeRefuses, storeSilent bool
	// storeLostAt is when the VM lost the store, zero until it notices the recovery.
	storeLostAt time.Time
	// storeBackAt is when the store became available to the VM, zero during an outage.
	storeBackAt time.Time
}

// store simulates the registry's log of leader records.
type store struct {
	records []azuretiller.LeaderRecord
	era     azuretiller.Era
	down    bool
	// claimAnswerLoss is the fraction of written claims whose result is lost.
	claimAnswerLoss float64
}

// newest returns the newest leader record and the position of the next one.
func (s *store) newest() (azuretiller.LeaderRecord, azuretiller.Position) {
	next := azuretiller.Position{Era: s.era, Offset: azuretiller.Offset(len(s.records) + 1)}
	if len(s.records) == 0 {
		return azuretiller.LeaderRecord{}, next
	}
	return s.records[len(s.records)-1], next
}

// restore puts the store back to a copy that lacks the newest records.
func (s *store) restore(lost int) {
	s.records = s.records[:max(0, len(s.records)-lost)]
	s.era++
}

const (
	linkLatency  = 2 * time.Millisecond
	storeLatency = 4 * time.Millisecond
	storeTimeout = 500 * time.Millisecond
	// resignAfter is how long the store may be unavailable to a leader before it resigns.
	resignAfter = 900 * time.Millisecond
)

var errStoreUnavailable = errors.New("store unavailable")

func newFleet(t *testing.T, size int, seed uint64, cpuPercents ...int) *fleet {
	f := &fleet{
		t:             t,
		random:        rand.New(rand.NewPCG(seed, 11)),
		schedule:      virtualtime.New(time.Unix(1_000_000, 0)),
		dropsLink:     func(int, int) bool { return false },
		dropsBody:     func(any) bool { return false },
		cpuPercents:   cpuPercents,
		leadersByTerm: map[azuretiller.Term]string{},
	}
	for i := range size {
		v := &vm{index: i, address: fmt.Sprintf("10.0.0.%d:7000", i), id: azuretiller.VMID(fmt.Sprintf("vm-%d", i))}
		f.vms = append(f.vms, v)
		f.start(v)
	}
	f.tick()
	return f
}

func (f *fleet) start(v *vm) {
	v.up = true
	v.incarnation++
	v.leader = nil
	seeds := []string{f.vms[0].address}
	cpuPercent := 0
	if v.index < len(f.cpuPercents) {
		cpuPercent = f.cpuPercents[v.index]
	}
	v.member = New(f.schedule.Now(), azuretiller.VM{
		CPUPercent:  cpuPercent,
		ID:          v.id,
		Incarnation: azuretiller.Incarnation(v.incarnation),
		Zone:        azuretiller.Zone(fmt.Sprint(v.index % 4)),
		PeerAddress: v.address,
	}, seeds)
	v.member.SetReady(true, 1)
	if f.onStart != nil {
		f.onStart(v)
	}
}

func (f *fleet) kill(v *vm) { v.up = false }

func (f *fleet) tick() {
	now := f.schedule.Now()
	for _, v := range f.vms {
		if !v.up || v.frozen {
			continue
		}
		switch {
		case !f.store.down && !v.storeRefuses && !v.storeSilent:
			if v.storeBackAt.IsZero() {
				v.storeBackAt = now
			}
			if now.Sub(v.storeBackAt) >= f.storeNoticeTime {
				v.storeLostAt = time.Time{}
			}
		case v.storeLostAt.IsZero():
			v.storeLostAt, v.storeBackAt = now, time.Time{}
		default:
			v.storeBackAt = time.Time{}
		}
		f.apply(v, v.member.Tick(now))
		if v.leader != nil {
			if v.leader.SetResigned(!v.storeLostAt.IsZero() && now.Sub(v.storeLostAt) > resignAfter) {
				f.applyLeader(v, v.leader.Announce())
			}
			f.applyLeader(v, v.leader.Tick(now))
		}
	}
	f.schedule.After(50*time.Millisecond, f.tick)
}

func (f *fleet) apply(v *vm, effects []Effect) {
	if f.onShare != nil {
		f.onShare(v, v.member.SpendableShare(f.schedule.Now()))
	}
	for _, effect := range inFixedOrder(effects, func(e Effect) (string, bool) {
		s, ok := e.(Send)
		return s.To, ok
	}) {
		switch e := effect.(type) {
		case Send:
			f.send(v, e.To, e.Message)
		case ReadLeader:
			f.callStore(v, func(err error) []Effect {
				record, next := f.store.newest()
				return v.member.LeaderRead(f.schedule.Now(), record, next, err)
			})
		case Claim:
			f.claim(v, e, func(err error) []Effect { return v.member.Claimed(f.schedule.Now(), e.Record.Term, err) })
		case BecomeLeader:
			other, taken := f.leadersByTerm[e.Term]
			name := fmt.Sprint(v.id, "/", v.incarnation)
			require.False(f.t, taken && other != name, "term %d has the leaders %s and %s", e.Term, other, name)
			f.leadersByTerm[e.Term] = name
			v.leader = leader.New(f.schedule.Now(), leader.Params{}, invariant.NewPanicking(), e.Term, v.id, v.address, e.Rates, v.member.Peers())
			if f.onNewLeader != nil {
				f.onNewLeader(v.leader)
			}
		case StepDown:
			v.leader = nil
		}
	}
}

func (f *fleet) applyLeader(v *vm, effects []leader.Effect) {
	for _, effect := range inFixedOrder(effects, func(e leader.Effect) (string, bool) {
		s, ok := e.(leader.Send)
		return s.To, ok
	}) {
		switch e := effect.(type) {
		case leader.Send:
			f.send(v, e.To, e.Message)
		case leader.ReadLeader:
			f.callStore(v, func(err error) []Effect {
				if err != nil || v.leader == nil {
					return nil
				}
				record, next := f.store.newest()
				if record.Term == v.leader.Term() {
					v.leader.ConfirmTerm(f.schedule.Now(), storeTimeout, record.Rates)
				}
				return v.member.ObserveLeaderRecord(f.schedule.Now(), record, next, v.leader.Rates())
			})
		case leader.WriteRates:
			f.writeRates(v, v.leader, e.Rates)
		}
	}
}

// inFixedOrder returns effects with the messages first, ordered by their recipients: members and leaders send messages in the order in which
// they iterate over maps, but a seed must always lead to the same run.
func inFixedOrder[E any](effects []E, recipient func(E) (string, bool)) []E {
	ordered := slices.Clone(effects)
	slices.SortStableFunc(ordered, func(a, b E) int {
		toA, sendsA := recipient(a)
		toB, sendsB := recipient(b)
		switch {
		case sendsA && sendsB:
			return cmp.Compare(toA, toB)
		case sendsA:
			return -1
		case sendsB:
			return 1
		}
		return 0
	})
	return ordered
}

// callStore simulates a call of a VM to the store. It passes the error to done after the latency or the timeout.
func (f *fleet) callStore(v *vm, done func(error) []Effect) {
	took, err := storeLatency, error(nil)
	switch {
	case f.store.down || v.storeSilent:
		took, err = storeTimeout, errStoreUnavailable
	case v.storeRefuses:
		err = errStoreUnavailable
	}
	incarnation := v.incarnation
	f.schedule.After(took, func() {
		f.deliver(v, incarnation, func() { f.apply(v, done(err)) })
	})
}

// deliver runs a function on an incarnation of a VM, if it still runs. A frozen VM does so later.
func (f *fleet) deliver(v *vm, incarnation int, run func()) {
	switch {
	case !v.up || v.incarnation != incarnation:
	case v.frozen:
		v.undelivered = append(v.undelivered, func() { f.deliver(v, incarnation, run) })
	default:
		run()
	}
}

// thaw ends the freeze of a VM.
func (f *fleet) thaw(v *vm) {
	v.frozen = false
	undelivered := v.undelivered
	v.undelivered = nil
	for _, run := range undelivered {
		run()
	}
}

func (f *fleet) claim(v *vm, c Claim, done func(error) []Effect) {
	f.callStore(v, func(err error) []Effect {
		if err == nil {
			if _, next := f.store.newest(); c.At.Offset != next.Offset {
				err = azuretiller.ErrClaimLost
			} else {
				f.store.records = append(f.store.records, c.Record)
				if c.At.Era != next.Era {
					err = azuretiller.ErrClaimLost
				}
				if f.random.Float64() < f.store.claimAnswerLoss {
					err = errStoreUnavailable
				}
			}
		}
		return done(err)
	})
}

// writeRates simulates a leader that reads its record and writes it again with the given shares of the rates.
func (f *fleet) writeRates(v *vm, l *leader.Leader, rates azuretiller.RateLedger) {
	f.callStore(v, func(err error) []Effect {
		record, next := f.store.newest()
		if err != nil || v.leader != l || record.Term != l.Term() {
			l.RatesWritten(f.schedule.Now(), errStoreUnavailable)
			return nil
		}
		record.Rates = rates
		f.claim(v, Claim{At: next, Record: record}, func(err error) []Effect {
			l.RatesWritten(f.schedule.Now(), err)
			return nil
		})
		return nil
	})
}

func (f *fleet) send(from *vm, to string, m message.Envelope) {
	for _, v := range f.vms {
		if v.address != to || f.dropsLink(from.index, v.index) || f.dropsBody(m.Body) {
			continue
		}
		incarnation := v.incarnation
		f.schedule.After(linkLatency, func() {
			f.deliver(v, incarnation, func() { f.receive(v, from.address, m) })
		})
	}
}

func (f *fleet) receive(v *vm, from string, m message.Envelope) {
	if f.onMessage != nil && f.onMessage(v, from, m) {
		return
	}
	now := f.schedule.Now()
	if hb, ok := m.Body.(message.Heartbeat); ok && v.leader != nil && hb.Term <= v.member.Term() {
		f.applyLeader(v, v.leader.Receive(now, from, m))
		return
	}
	f.apply(v, v.member.Receive(now, from, m.Call, m.Body))
}

func (f *fleet) activeLeaders() []*vm {
	var list []*vm
	for _, v := range f.vms {
		if v.up && v.leader != nil {
			list = append(list, v)
		}
	}
	return list
}

// assertOneLeader asserts that one VM leads and that all VMs that are up follow it.
func (f *fleet) assertOneLeader(when string) {
	leaders := f.activeLeaders()
	require.Len(f.t, leaders, 1, when)
	for _, v := range f.vms {
		if v.up {
			id, _ := v.member.Leader()
			assert.Equal(f.t, leaders[0].id, id, "%s: leader of %s", when, v.id)
			assert.True(f.t, v.member.LeaderReachable(f.schedule.Now()), "%s: the leader answers %s", when, v.id)
		}
	}
}

func (f *fleet) injectFault() {
	v := f.vms[f.random.IntN(len(f.vms))]
	if list := f.activeLeaders(); len(list) > 0 && f.random.IntN(3) == 0 {
		v = list[0]
	}
	switch f.random.IntN(7) {
	case 0, 1:
		if v.up {
			f.kill(v)
		} else if !v.replaced {
			f.start(v)
		}
	case 2:
		v.storeRefuses = !v.storeRefuses
	case 3:
		v.storeSilent = !v.storeSilent
	case 4:
		f.store.down = !f.store.down
	case 5:
		partitionMask := f.random.Uint64()
		f.dropsLink = func(from, to int) bool { return partitionMask>>(from%64)&1 == 1 && partitionMask>>(to%64)&1 == 0 }
	case 6:
		f.dropsLink = func(int, int) bool { return f.random.IntN(5) == 0 }
	}
}

func (f *fleet) clearFaults() {
	f.dropsLink = func(int, int) bool { return false }
	f.store.down = false
	f.store.claimAnswerLoss = 0
	for _, v := range f.vms {
		v.storeRefuses, v.storeSilent = false, false
		if v.frozen {
			f.thaw(v)
		}
		if !v.up && !v.replaced {
			f.start(v)
		}
	}
}
