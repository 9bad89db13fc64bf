package desk

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
)

func newDesk(now time.Time, servers ...Server) *Desk {
	d := New(Params{RetryRatio: 0.2, RetrySlack: 20}, invariant.NewPanicking(), NewTickets(0))
	d.SetServers(now, servers)
	return d
}

func plain(n int) []Server {
	var servers []Server
	for i := range n {
		servers = append(servers, Server{ID: instance(i), Address: instanceAddress(i), Slots: 3})
	}
	return servers
}

func ask(now time.Time, call int) Request {
	return Request{
		Key: Key{From: "vm", Call: uint64(call)}, ID: fmt.Sprint(call), Team: "team", Route: "route",
		Deadline: now.Add(2 * time.Second), Objective: now.Add(objective),
	}
}

// granted returns the decision with a server among others, if there is one.
func granted(decisions []Decision) (Decision, bool) {
	for _, c := range decisions {
		if c.Ticket != 0 {
			return c, true
		}
	}
	return Decision{}, false
}

func TestRetryBudgetHolds(t *testing.T) {
	now := start()
	d := newDesk(now, plain(50)...)
	firsts, repeats := 0, 0
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		c, ok := granted(d.Offer(now, ask(now, 2*i)))
		require.True(t, ok)
		firsts++
		d.Finish(now, c.Ticket, message.Failed, time.Millisecond, 0)
		again := ask(now, 2*i+1)
		again.Repeat = true
		if c, ok := granted(d.Offer(now, again)); ok {
			repeats++
			d.Finish(now, c.Ticket, message.Failed, time.Millisecond, 0)
		}
	}
	assert.LessOrEqual(t, float64(repeats), 0.2*float64(firsts)+20)
	assert.Greater(t, float64(repeats), 0.15*float64(firsts))
}

func TestMisdirectedServerIsLeftOut(t *testing.T) {
	now := start()
	d := newDesk(now, plain(2)...)
	c, ok := granted(d.Offer(now, ask(now, 1)))
	require.True(t, ok)
	d.Finish(now, c.Ticket, message.Misdirected, time.Millisecond, 0)
	for i := range 20 {
		now = now.Add(100 * time.Millisecond)
		next, ok := granted(d.Offer(now, ask(now, 10+i)))
		require.True(t, ok)
		assert.NotEqual(t, c.Server.ID, next.Server.ID)
		d.Finish(now, next.Ticket, message.Succeeded, time.Millisecond, 0)
	}
	moved := plain(2)
	for i := range moved {
		moved[i].Born++
	}
	d.SetServers(now, moved)
	assert.True(t, d.find(c.Server.ID).room(now) > 0, "a new start of the server counts as another one")
}

// TestServerThatIsDownIsLeftOut: a connection that is refused says that the server is down, whichever VM tried.
func TestServerThatIsDownIsLeftOut(t *testing.T) {
	now := start()
	d := newDesk(now, plain(2)...)
	c, ok := granted(d.Offer(now, ask(now, 1)))
	require.True(t, ok)
	d.Finish(now, c.Ticket, message.Down, time.Millisecond, 0)
	for i := range 9 {
		now = now.Add(100 * time.Millisecond)
		r := ask(now, 10+i)
		r.Key.From = "other"
		next, ok := granted(d.Offer(now, r))
		require.True(t, ok)
		assert.NotEqual(t, c.Server.ID, next.Server.ID)
		d.Finish(now, next.Ticket, message.Succeeded, time.Millisecond, 0)
	}
	assert.Zero(t, d.find(c.Server.ID).room(now))
	assert.Positive(t, d.find(c.Server.ID).room(now.Add(downTime)))
}

// TestServerBehindABrokenPathStaysInUse replays servers that some VMs cannot reach: an attempt that never arrived is no use of a
// server, and no failure of it, so that others are sent there instead.
func TestServerBehindABrokenPathStaysInUse(t *testing.T) {
	now := start()
	d := newDesk(now, plain(1)...)
	c, ok := granted(d.Offer(now, ask(now, 1)))
	require.True(t, ok)
	now = now.Add(time.Millisecond)
	d.Finish(now, c.Ticket, message.Succeeded, time.Millisecond, 0)
	used := d.servers[0].lastStart
	now = now.Add(3 * time.Second)
	c, ok = granted(d.Offer(now, ask(now, 2)))
	require.True(t, ok)
	now = now.Add(250 * time.Millisecond)
	d.Finish(now, c.Ticket, message.Unreachable, time.Millisecond, 0)
	assert.Equal(t, used, d.servers[0].lastStart)
	assert.True(t, d.servers[0].sound(now, soundAfter))
	assert.False(t, d.servers[0].reachableFrom("vm", now))
}

func TestStateShowsWhatIsBelieved(t *testing.T) {
	now := start()
	d := newDesk(now, plain(2)...)
	first, _ := granted(d.Offer(now, ask(now, 1)))
	second, _ := granted(d.Offer(now, ask(now, 2)))
	d.Finish(now, first.Ticket, message.Failed, time.Millisecond, 0)
	d.Finish(now, second.Ticket, message.Shed, time.Millisecond, 0)
	s := d.State(now.Add(time.Second))
	require.Len(t, s.Servers, 2)
	failed, shed := s.Servers[0], s.Servers[1]
	if failed.ID != first.Server.ID {
		failed, shed = shed, failed
	}
	assert.Equal(t, time.Second, failed.SinceFailure)
	assert.Zero(t, shed.SinceFailure)
	assert.Less(t, failed.Answers, shed.Answers)
	assert.Less(t, shed.Takes, failed.Takes)
	assert.Zero(t, s.Running)
}

func TestUnreachableServerIsLeftOutForThatVM(t *testing.T) {
	now := start()
	d := newDesk(now, plain(2)...)
	c, ok := granted(d.Offer(now, ask(now, 1)))
	require.True(t, ok)
	d.Finish(now, c.Ticket, message.Unreachable, time.Millisecond, 0)
	s := d.find(c.Server.ID)
	assert.False(t, s.reachableFrom("vm", now))
	assert.True(t, s.reachableFrom("other", now))
	assert.True(t, s.reachableFrom("vm", now.Add(pathBlock)))
}

// TestColdServersGetWhatTheyBear counts the starts on a cold server in every second of a load that it could not bear.
func TestColdServersGetWhatTheyBear(t *testing.T) {
	const rate = 7.3
	now := start()
	cold := plain(1)
	cold[0].ColdUntil, cold[0].ColdRate = now.Add(5*time.Second), rate
	d := newDesk(now, cold...)
	random := rand.New(rand.NewPCG(5, 6))
	var starts []time.Time
	for i := range 3000 {
		now = now.Add(time.Duration(random.IntN(3)) * time.Millisecond)
		r := ask(now, i)
		if c, ok := granted(d.Offer(now, r)); ok {
			starts = append(starts, now)
			d.Finish(now, c.Ticket, message.Succeeded, time.Millisecond, 0)
		}
		if c, ok := granted(d.Tick(now)); ok {
			starts = append(starts, now)
			d.Finish(now, c.Ticket, message.Succeeded, time.Millisecond, 0)
		}
	}
	require.NotEmpty(t, starts)
	for i := range starts {
		n := 0
		for j := i; j < len(starts) && starts[j].Sub(starts[i]) < time.Second; j++ {
			n++
		}
		assert.LessOrEqual(t, float64(n), rate)
	}
}

// TestMostSoundServersStayInUse replays a busy service and looks at every span of two seconds: of the servers that did not
// fail in it or in the two seconds before, at least 0.7 must have got work.
func TestMostSoundServersStayInUse(t *testing.T) {
	l := load{servers: 16, rate: 60, work: 200 * time.Millisecond, turn: 0.11, heal: 0.26, fails: 0.75, deadline: 2 * time.Second, span: 60 * time.Second}
	used := map[int][]time.Time{}
	failed := map[int][]time.Time{}
	run(l, 3, func(r *replay) chooser {
		return watched{chooser: newByDesk(r), used: used, failed: failed}
	})
	within := func(times []time.Time, from, to time.Time) bool {
		for _, at := range times {
			if !at.Before(from) && at.Before(to) {
				return true
			}
		}
		return false
	}
	for at := 4 * time.Second; at < l.span; at += 100 * time.Millisecond {
		from, to := start().Add(at-2*time.Second), start().Add(at)
		sound, busy := 0, 0
		for i := range l.servers {
			if within(failed[i], from.Add(-2*time.Second), to) {
				continue
			}
			sound++
			if within(used[i], from, to) {
				busy++
			}
		}
		assert.GreaterOrEqual(t, float64(busy), 0.7*float64(sound), "%d of %d at %s", busy, sound, at)
	}
}

// watched notes which servers got work and which failed.
type watched struct {
	chooser
	used, failed map[int][]time.Time
}

func (w watched) note(now time.Time, placements []placement) []placement {
	for _, p := range placements {
		if p.server >= 0 {
			w.used[p.server] = append(w.used[p.server], now)
		}
	}
	return placements
}

func (w watched) offer(now time.Time, id int, idempotent bool, tried []azuretiller.InstanceID, deadline time.Time) []placement {
	return w.note(now, w.chooser.offer(now, id, idempotent, tried, deadline))
}

func (w watched) finish(now time.Time, p placement, result message.Result, took time.Duration) []placement {
	if result != message.Succeeded {
		w.failed[p.server] = append(w.failed[p.server], now)
	}
	return w.note(now, w.chooser.finish(now, p, result, took))
}

func (w watched) tick(now time.Time) []placement { return w.note(now, w.chooser.tick(now)) }

// TestRandomEvents drives a desk with random events; the assertions inside it must hold, and no slot may be lost.
func TestRandomEvents(t *testing.T) {
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 9))
		now := start()
		d := newDesk(now, plain(5)...)
		running := map[message.TicketID]bool{}
		take := func(decisions []Decision) {
			for _, c := range decisions {
				if c.Ticket != 0 {
					running[c.Ticket] = true
				}
			}
		}
		for i := range 600 {
			now = now.Add(time.Duration(random.IntN(30)) * time.Millisecond)
			switch random.IntN(8) {
			case 0, 1, 2:
				r := ask(now, i)
				r.Key.From = fmt.Sprint("vm-", random.IntN(3))
				r.Idempotent, r.Repeat, r.Priority = random.IntN(2) == 0, random.IntN(5) == 0, random.IntN(3)
				take(d.Offer(now, r))
			case 3, 4:
				for ticket := range running {
					delete(running, ticket)
					decisions, _ := d.Finish(now, ticket, message.Result(1+random.IntN(9)), time.Duration(random.IntN(500))*time.Millisecond, 100)
					take(decisions)
					break
				}
			case 5:
				take(d.Tick(now))
			case 6:
				servers := plain(3 + random.IntN(4))
				for j := range servers {
					servers[j].Closed = random.IntN(5) == 0
					if random.IntN(4) == 0 {
						servers[j].ColdUntil, servers[j].ColdRate = now.Add(time.Second), 4
					}
				}
				take(d.SetServers(now, servers))
			case 7:
				if random.IntN(10) == 0 {
					take(d.Forget(now, "vm-1"))
				}
			}
		}
		now = now.Add(10 * time.Second)
		d.Tick(now)
		assert.Empty(t, d.running, "seed %d", seed)
		for _, s := range d.servers {
			assert.Zero(t, s.busy, "seed %d: server %s", seed, s.ID)
		}
	}
}
