package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
	"github.com/azuretiller/azuretiller/pkg/shareledger"
)

// TestFirstLeaderGrantsNoMoreThanBurst guards against a first leader that uses the tolerance for exceeding the rates in its first second, although
// its buckets start full and nobody has granted tokens before.
func TestFirstLeaderGrantsNoMoreThanBurst(t *testing.T) {
	const burst = 5
	now := start()
	l := newLeaderWith(shareledger.Claimed(azuretiller.LeaderRecord{}, "vm-0"))
	setTeamRate(l, 0.01, burst)
	l.SetServers(now, map[azuretiller.ServiceID][]scheduler.Server{"a": newServers("a", 20)})
	vm := &testVM{}
	placed := 0
	for call := range uint64(30) {
		now = now.Add(20 * time.Millisecond)
		vm.exchangeHeartbeat(l, now, "vm-0")
		confirmRates(l, now)
		effects := l.Receive(now, "vm-0", message.Envelope{Call: call + 1, Body: newPlaceRequest(config.Backend{Service: "a", Weight: 1})})
		for _, response := range placeResponses(effects) {
			if response.Ticket != 0 {
				placed++
			}
		}
		writeRates(l, now, effects)
	}
	assert.Equal(t, burst, placed)
}
