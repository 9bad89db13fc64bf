package fallback

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/explanation"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/tokenbucket"
)

// TestExplainChangesNothing guards against explanations that take a token, a slot or a random number, and against explanations of another
// decision than the one that Place makes. Two placers get the same requests, and one of them explains each request first.
func TestExplainChangesNothing(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const rate, burst = 20 * azuretiller.TokenCost, 12 * azuretiller.TokenCost
	newTwin := func() *Placer {
		p := New(now, "a", rand.New(rand.NewPCG(1, 2)))
		p.SetTolerance(tokenbucket.Tolerance{Ratio: 0.1, Slack: 5, Window: 100 * time.Millisecond})
		p.SetLimits(now, map[azuretiller.TeamID]tokenbucket.Limit{"team": {Rate: rate, Burst: burst}})
		p.SetReserve(azuretiller.WholeRate/2, 0)
		p.SetShare(now, azuretiller.WholeRate/2)
		return p
	}
	explained, plain := newTwin(), newTwin()
	var servers []message.Server
	for i := range 4 {
		servers = append(servers, message.Server{
			ID: azuretiller.InstanceID(fmt.Sprint("s", i)), Service: "s", Zone: azuretiller.Zone([]string{"a", "b"}[i%2]), Slots: 2, Success: 90, Closed: i == 3,
		})
	}
	r := Request{Team: "team", Backends: []config.Backend{{Service: "s", Weight: 1}}, FirstAttempt: true}
	random := rand.New(rand.NewPCG(3, 4))
	var running []azuretiller.InstanceID
	codes := map[azuretiller.Code]int{}
	for range 300 {
		now = now.Add(time.Duration(random.IntN(150)) * time.Millisecond)
		e := explained.Explain(now, "a", r, servers)
		require.Equal(t, plain, explained, "the explanation changed the placer")
		p := explained.Place(now, r, servers)
		require.Equal(t, plain.Place(now, r, servers), p)
		codes[p.Code]++
		assert.Equal(t, p.Code, e.Result.Code)
		if p.Code == azuretiller.CodeOK {
			assert.Equal(t, explanation.Placed, e.Result.Outcome)
			running = append(running, p.Server)
		} else {
			assert.Equal(t, p.RetryAfter.Milliseconds(), e.Result.RetryAfterMS)
		}
		if len(running) > 0 && random.IntN(3) > 0 {
			result := []message.Result{message.Succeeded, message.Succeeded, message.Failed}[random.IntN(3)]
			explained.Finish(now, running[0], result)
			plain.Finish(now, running[0], result)
			running = running[1:]
		}
	}
	for _, code := range []azuretiller.Code{azuretiller.CodeOK, azuretiller.CodeNoServer, azuretiller.CodeRateUnavailable} {
		assert.Positive(t, codes[code], "code %d did not occur", code)
	}
}
