package poolhome_test

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
	"github.com/azuretiller/azuretiller/pkg/exchange"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/poolhome"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
	"github.com/azuretiller/azuretiller/pkg/systemclock"
	"github.com/azuretiller/azuretiller/pkg/topology"
	"github.com/azuretiller/azuretiller/pkg/wire"
)

// slowPeers answer a handover once they are told to.
type slowPeers struct {
	answer chan poolhome.Handover
}

func (p slowPeers) ReportCrash(azuretiller.ServiceID, crash.Fingerprint, azuretiller.ServerID) {}

func (p slowPeers) Handover(context.Context, azuretiller.VM, azuretiller.PoolID, azuretiller.Revision) (poolhome.Handover, error) {
	return <-p.answer, nil
}

// TestLateAnswerRevivesNothing lets the former home answer after the pool was handed on to a third VM.
func TestLateAnswerRevivesNothing(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		id := azuretiller.PoolID{Service: "orders", Zone: "a"}
		service := config.Service{ID: "orders", Slots: 1, Queue: 1, Servers: []config.Server{{ID: "127.0.0.1:1", Zone: "a"}}}
		self := azuretiller.VM{ID: "b", Zone: "a"}
		current := &snapshot.Snapshot{
			Self:     self,
			Version:  1,
			Config:   &config.Config{Services: map[azuretiller.ServiceID]config.Service{"orders": service}},
			Members:  []azuretiller.VM{self, {ID: "c", Zone: "a"}},
			Topology: topology.Topology{"orders": {{ID: id, Servers: service.Servers, Home: self}}},
		}
		peers := slowPeers{answer: make(chan poolhome.Handover)}
		shared := &common.Common{Log: &log.Logger{Handler: logfmt.New(io.Discard)}, Clock: systemclock.New()}
		h := poolhome.New(shared, invariant.NewPanicking(), dispatch.New(), peers, func() *snapshot.Snapshot { return current })
		h.Tick()
		require.Equal(t, poolhome.Stopped, h.Handover(id, 2).State)
		peers.answer <- poolhome.Handover{State: poolhome.Unknowing}
		synctest.Wait()
		near, far := net.Pipe()
		go h.Serve(t.Context(), exchange.Request{Pool: id, Timeout: time.Second}, wire.New(far))
		response, err := wire.New(near).ReadResponse()
		require.NoError(t, err)
		require.Equal(t, azuretiller.CodePoolMoved, response.Code)
		_ = near.Close()
	})
}
