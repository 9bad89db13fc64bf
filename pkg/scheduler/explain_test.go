package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/explanation"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// TestExplainChangesNothingAndAgreesWithSubmit guards against explanations that affect later decisions, such as by updated estimates, expired
// windows or forgotten pauses, and against explanations of another decision than the one that Submit makes. Two schedulers get the same
// requests and results, and one of them explains each request first.
func TestExplainChangesNothingAndAgreesWithSubmit(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			check := invariant.NewPanicking()
			params := Params{RetryRatio: 0.2, RetrySlack: 20, CrossZoneCost: 0.03, CrossZoneCostPerKiB: 0.0035}
			explained, plain := New(params, check, NewTickets(0)), New(params, check, NewTickets(0))
			random := rand.New(rand.NewPCG(seed, 3))
			now := time.Unix(1_000_000, 0)
			var servers []Server
			for i := range 6 {
				s := Server{ID: azuretiller.InstanceID(fmt.Sprint("s", i)), Zone: azuretiller.Zone(fmt.Sprint("z", i%2)), Slots: 2}
				switch i {
				case 4:
					s.ColdUntil, s.ColdRate = now.Add(3*time.Second), 2
				case 5:
					s.Closed = true
				}
				servers = append(servers, s)
			}
			explained.SetServers(now, servers)
			plain.SetServers(now, servers)
			outcomes := map[string]int{}
			var running []message.TicketID
			for call := range uint64(300) {
				now = now.Add(time.Duration(random.IntN(30)) * time.Millisecond)
				r := Request{
					Key: Key{From: fmt.Sprint("vm-", random.IntN(2)), Call: call}, Zone: "z0", Team: "t", Route: azuretiller.RouteID(fmt.Sprint("r", random.IntN(3))), Priority: random.IntN(2),
					Idempotent: random.IntN(2) == 0, Deadline: now.Add(time.Second), SoftDeadline: now.Add(300 * time.Millisecond),
				}
				if random.IntN(20) == 0 {
					id, until := servers[random.IntN(5)].ID, now.Add(50*time.Millisecond)
					explained.Pause(now, id, 0, r.Key.From, until)
					plain.Pause(now, id, 0, r.Key.From, until)
				}
				// The order of the requests that waited too long is not defined.
				require.ElementsMatch(t, plain.Tick(now), explained.Tick(now))
				e := explained.Explain(now, r)
				require.Equal(t, plain, explained, "the explanation changed the scheduler")
				reachesMaxMisses := explained.queueLength()+1 == maxMisses
				decisions := explained.Submit(now, r)
				require.Equal(t, plain.Submit(now, r), decisions)
				for _, d := range decisions {
					if d.Ticket != 0 {
						running = append(running, d.Ticket)
					}
					if d.Key != r.Key {
						continue
					}
					outcomes[e.Result.Outcome]++
					if reachesMaxMisses {
						// Requests that no longer wait for a better server may take the slot, see Explain.
						continue
					}
					switch {
					case d.Code != azuretiller.CodeOK:
						assert.Equal(t, explanation.Refused, e.Result.Outcome)
						assert.Equal(t, d.Code, e.Result.Code)
						assert.Equal(t, d.RetryAfter.Milliseconds(), e.Result.RetryAfterMS)
					case d.Queued:
						assert.Equal(t, explanation.Waits, e.Result.Outcome)
					default:
						assert.Equal(t, explanation.Placed, e.Result.Outcome)
						assert.Equal(t, d.Server.ID, e.Result.Server)
					}
				}
				for len(running) > 0 && random.IntN(100) < 45 {
					i := random.IntN(len(running))
					result := []message.Result{message.Succeeded, message.Succeeded, message.Failed, message.Shed, message.Unreachable}[random.IntN(5)]
					a, _ := explained.Finish(now, running[i], result, 40*time.Millisecond, 900)
					b, _ := plain.Finish(now, running[i], result, 40*time.Millisecond, 900)
					require.Equal(t, b, a)
					running = append(running[:i], running[i+1:]...)
					for _, d := range a {
						running = append(running, d.Ticket)
					}
				}
			}
			for _, outcome := range []string{explanation.Placed, explanation.Waits, explanation.Refused} {
				assert.Positive(t, outcomes[outcome], "no request of the outcome %q", outcome)
			}
		})
	}
}

// TestExplainedPartsAddUpToScore guards against a list of parts that leaves out a term of the score.
func TestExplainedPartsAddUpToScore(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	sc := New(Params{CrossZoneCost: 0.03}, invariant.NewPanicking(), NewTickets(0))
	sc.SetServers(now, []Server{{ID: "near", Zone: "a", Slots: 3}, {ID: "far", Zone: "b", Slots: 3, ColdUntil: now.Add(time.Second), ColdRate: 2}})
	r := Request{Zone: "a", Deadline: now.Add(time.Second)}
	for call := range uint64(3) {
		r.Key.Call = call
		sc.Submit(now, r)
	}
	for _, s := range sc.Explain(now, r).Servers {
		sum := 0.0
		names := map[string]bool{}
		for _, p := range s.Parts {
			sum += p.Value
			names[p.Name] = true
		}
		assert.InDelta(t, s.Score, sum, 1e-9)
		assert.Equal(t, s.ID == "far", names["other zone"])
		assert.Equal(t, s.ID == "far", names["cold"])
	}
}

// TestExplanationIsBounded guards against answers whose size grows with the number of servers.
func TestExplanationIsBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	sc := New(Params{}, invariant.NewPanicking(), NewTickets(0))
	var servers []Server
	for i := range 3 * explanation.MaxServers {
		servers = append(servers, Server{ID: azuretiller.InstanceID(fmt.Sprint("s", i)), Slots: 1})
	}
	sc.SetServers(now, servers)
	e := sc.Explain(now, Request{Deadline: now.Add(time.Second)})
	assert.Len(t, e.Servers, explanation.MaxServers)
	assert.Equal(t, 2*explanation.MaxServers, e.OmittedServers)
	assert.Equal(t, e.Result.Server, e.Servers[0].ID)
}

// explainedExposer admits attempts on servers on trial, and counts the calls of Expose.
type explainedExposer struct{ exposed int }

func (e *explainedExposer) MayExpose(time.Time, azuretiller.RouteID, azuretiller.InstanceID) bool {
	return true
}

func (e *explainedExposer) Expose(time.Time, azuretiller.RouteID, azuretiller.InstanceID) bool {
	e.exposed++
	return true
}

// TestExplainUsesNoExposure guards against explanations that use up the exposure of a version on trial.
func TestExplainUsesNoExposure(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	sc := New(Params{}, invariant.NewPanicking(), NewTickets(0))
	exposer := &explainedExposer{}
	sc.SetExposer(exposer)
	sc.SetServers(now, []Server{{ID: "old", Slots: 1}, {ID: "new", Slots: 1, Trial: true}})
	e := sc.Explain(now, Request{Deadline: now.Add(time.Second)})
	assert.Equal(t, azuretiller.InstanceID("new"), e.Result.Server)
	assert.Equal(t, []string{"on trial"}, e.Servers[0].State)
	assert.Zero(t, exposer.exposed)
}
