package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller/pkg/message"
)

// Guards against losing the attempts on servers that hang: their requests are hedged, and only the successful responses of such servers
// would count. Attempts of a lost VM are reported without a duration and say nothing.
func TestCancelledAttemptIsEvidenceIfTheServerDidNotRespond(t *testing.T) {
	r := newReference()
	hedged := r.classify(Outcome{Result: message.Cancelled, Took: 600 * time.Millisecond})
	assert.Equal(t, overdueResponse, hedged)
	assert.True(t, hedged.evidence())
	lost := r.classify(Outcome{Result: message.Cancelled})
	assert.False(t, lost.evidence())
}

// Guards against verdicts on the durations of servers that have just started, which are slower for some seconds.
func TestDurationsOfColdServersAreNoEvidence(t *testing.T) {
	normal := &routeReference{failureRate: minFailureRate}
	for range 2 * minDurations {
		normal.durations.keep(100 * time.Millisecond)
	}
	normal.durations.refresh(simStart())
	e := newEvidence(simStart(), 0, states(highGrayShare))
	slow := fault{weight: 1, slowShare: 1, slowFactor: 4}
	response := attempt{took: 400 * time.Millisecond, kind: slowResponse, cold: true}
	assert.Equal(t, e.likelihoods(response, fault{slowFactor: 1}, normal), e.likelihoods(response, slow, normal))
	response.cold = false
	assert.Less(t, e.likelihoods(response, fault{slowFactor: 1}, normal)[0], e.likelihoods(response, slow, normal)[0])
}
