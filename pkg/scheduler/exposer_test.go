package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// limitedExposer admits a number of attempts.
type limitedExposer struct{ left int }

func (e *limitedExposer) MayExpose(time.Time, azuretiller.RouteID, azuretiller.InstanceID) bool {
	return e.left > 0
}

func (e *limitedExposer) Expose(time.Time, azuretiller.RouteID, azuretiller.InstanceID) bool {
	e.left--
	return e.left >= 0
}

// TestServersOnTrialGetOnlyAdmittedAttempts guards against attempts on a version on trial that nothing counts, and against requests that wait for
// or count on the slots of its servers.
func TestServersOnTrialGetOnlyAdmittedAttempts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	sc := New(Params{RetryRatio: 0.2, RetrySlack: 50}, invariant.NewPanicking(), NewTickets(0))
	exposer := &limitedExposer{}
	sc.SetExposer(exposer)
	sc.SetServers(now, []Server{{ID: "old", Slots: 2}, {ID: "new", Slots: 2, Trial: true}})
	placed := func(attempts int, again bool) map[azuretiller.InstanceID]int {
		counts := map[azuretiller.InstanceID]int{}
		for i := range attempts {
			now = now.Add(10 * time.Millisecond)
			key := Key{From: "vm", Call: uint64(now.UnixMilli())}
			for _, d := range sc.Submit(now, Request{Key: key, ID: fmt.Sprint(i), Idempotent: true, SubmittedBefore: again, Deadline: now.Add(time.Second), SoftDeadline: now.Add(time.Second)}) {
				counts[d.Server.ID]++
				sc.Finish(now, d.Ticket, message.Succeeded, time.Millisecond, 1)
			}
		}
		return counts
	}
	assert.Equal(t, map[azuretiller.InstanceID]int{"old": 50}, placed(50, false))
	exposer.left = 7
	assert.Equal(t, map[azuretiller.InstanceID]int{"old": 50}, placed(50, true), "further attempts of a request")
	assert.Equal(t, map[azuretiller.InstanceID]int{"old": 43, "new": 7}, placed(50, false))
	sc.SetServers(now, []Server{{ID: "new", Slots: 2, Trial: true}})
	assert.False(t, sc.HasOpenServer())
	decisions := sc.Submit(now, Request{Key: Key{From: "vm", Call: 1}, Deadline: now.Add(time.Second), SoftDeadline: now.Add(time.Second)})
	assert.Equal(t, azuretiller.CodeNoServer, decisions[0].Code)
}
