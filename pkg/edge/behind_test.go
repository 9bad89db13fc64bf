package edge

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/datagram"
	"github.com/azuretiller/azuretiller/pkg/message"
)

// configRegistry is a store with a configuration. Reads of the servers are not expected.
type configRegistry struct {
	azuretiller.Registry
	config []byte
}

func (r configRegistry) ReadSettings(context.Context, azuretiller.Position, time.Duration) (azuretiller.SettingsPage, error) {
	next := azuretiller.Position{Offset: 9}
	return azuretiller.SettingsPage{Complete: true, Next: next, Changes: []azuretiller.SettingsChange{{Config: r.config}}}, nil
}

// TestVMThatIsBehindReadsConfigurationFromStore guards against configurations that are in force too late because the VM from which the others of
// the zone fetch them does not answer: VMs that are in contact with the leader then read the store themselves.
func TestVMThatIsBehindReadsConfigurationFromStore(t *testing.T) {
	e := newTestEdge(configRegistry{config: []byte(`{"version":"r5","resources":[]}`)})
	openSocket(t, e)
	now := e.common.Clock.Now()
	e.reads.fetchPending = true
	leaderAnswers := func(stamp time.Duration) {
		response := message.HeartbeatResponse{Term: 1, IsLeader: true, Leader: "l", LeaderAddress: "127.0.0.1:2", ConfigRevision: 5, Stamp: stamp}
		e.receive(t.Context(), now, datagram.Incoming{From: "127.0.0.1:2", ReceivedAt: now, Envelope: message.Envelope{Body: response}})
	}
	e.member.Receive(now, "127.0.0.1:2", 0, message.HeartbeatResponse{Term: 1, Leader: "l", LeaderAddress: "127.0.0.1:2"})
	started := now
	for e.revision() < 5 && now.Sub(started) < time.Second {
		now = now.Add(50 * time.Millisecond)
		leaderAnswers(now.Sub(started))
		e.startReads(t.Context(), now)
		if e.reads.settingsPending {
			e.handle(t.Context(), now, <-e.inbox)
		}
	}
	assert.Equal(t, uint64(5), e.revision())
	assert.GreaterOrEqual(t, now.Sub(started), behindReadAfter, "the store is not read while a fetch may still succeed")
	assert.Zero(t, e.member.LeaderUnreachableFor(now))
}
