package poolowner_test

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/crash"
	"github.com/azuretiller/azuretiller/pkg/dispatch"
	"github.com/azuretiller/azuretiller/pkg/forward"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/poolowner"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
	"github.com/azuretiller/azuretiller/pkg/systemclock"
	"github.com/azuretiller/azuretiller/pkg/topology"
	"github.com/azuretiller/azuretiller/pkg/wire"
)

// delayedPeers returns the response to a handover request only when the test provides it.
type delayedPeers struct {
	responses chan poolowner.HandoverResponse
}

func (p delayedPeers) ReportCrash(azuretiller.ServiceID, crash.Fingerprint, azuretiller.ServerID) {}

func (p delayedPeers) Handover(context.Context, azuretiller.VM, azuretiller.PoolID, azuretiller.Revision) (poolowner.HandoverResponse, error) {
	return <-p.responses, nil
}

// TestLateHandoverResponseDoesNotRestoreOwnership guards against a VM that schedules a pool it has handed over. The
// response of the former owner arrives only after this VM has handed the pool over to a third VM.
func TestLateHandoverResponseDoesNotRestoreOwnership(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		id := azuretiller.PoolID{Service: "orders", Zone: "a"}
		service := config.Service{ID: "orders", Slots: 1, QueueLimit: 1, Servers: []config.Server{{ID: "127.0.0.1:1", Zone: "a"}}}
		self := azuretiller.VM{ID: "b", Zone: "a"}
		current := &snapshot.Snapshot{
			Self:     self,
			Version:  1,
			Config:   &config.Config{Services: map[azuretiller.ServiceID]config.Service{"orders": service}},
			Members:  []azuretiller.VM{self, {ID: "c", Zone: "a"}},
			Topology: topology.Topology{"orders": {{ID: id, Servers: service.Servers, Owner: self}}},
		}
		peers := delayedPeers{responses: make(chan poolowner.HandoverResponse)}
		shared := &common.Common{Log: &log.Logger{Handler: logfmt.New(io.Discard)}, Clock: systemclock.New()}
		m := poolowner.New(shared, invariant.NewPanicking(), dispatch.New(), peers, func() *snapshot.Snapshot { return current })
		m.Tick()
		require.Equal(t, poolowner.Stopped, m.HandOver(id, 2).State)
		peers.responses <- poolowner.HandoverResponse{State: poolowner.PoolUnknown}
		synctest.Wait()
		entryConn, ownerConn := net.Pipe()
		go m.Serve(t.Context(), forward.Request{Pool: id, Timeout: time.Second}, wire.New(ownerConn))
		response, err := wire.New(entryConn).ReadResponse()
		require.NoError(t, err)
		require.Equal(t, azuretiller.CodePoolMoved, response.Code)
		_ = entryConn.Close()
	})
}
