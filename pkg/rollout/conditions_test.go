package rollout

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against wrong verdicts under the conditions of a whole fleet: gray servers that only the scheduler of the old servers
// avoids, servers that hang, servers that have just started, and rare routes. The bounds are those of TestSimulatedRollouts.
func TestSimulatedRolloutsInFleet(t *testing.T) {
	count := number(t, "SOAK_CHECKS", 40)
	for name, conditions := range map[string]simConditions{
		"gray servers avoided":    {avoidGray: true},
		"servers hang":            {hang: true},
		"servers start cold":      {coldStart: true},
		"rare routes":             {rareRoutes: true},
		"all conditions together": {avoidGray: true, hang: true, coldStart: true, rareRoutes: true},
		"large service":           {avoidGray: true, hang: true, coldStart: true, rareRoutes: true, large: true},
	} {
		t.Run(name, func(t *testing.T) {
			result := simulateSeeds(number(t, "SOAK_SEED", 1), count, conditions)
			t.Log("\n" + result.String())
			assert.Zero(t, result.trialExceeded, "exposure before the cutover")
			assert.Zero(t, result.oldAfterCompletion, "old servers in use after the completion")
			assert.LessOrEqual(t, result.wronglyReverted+result.wronglyCompleted, int(count/20), "wrong verdicts")
		})
	}
}
