package demo

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/operator"
)

// TestVMDrainsRunningRequest lets a VM leave while a request runs on it.
func TestVMDrainsRunningRequest(t *testing.T) {
	t.Parallel()
	p := newFixture(t)
	finish, result := p.sendBlocking(t)
	p.vms[0].stop()
	for p.listsVM(p.vms[1], p.vms[0]) {
		time.Sleep(20 * time.Millisecond)
	}
	close(finish)
	got := <-result
	require.NoError(t, got.err)
	require.Equal(t, "whole", string(got.body))
}

// sendBlocking sends a request that runs until finish is closed, and returns once it runs.
func (p *fixture) sendBlocking(t *testing.T) (finish chan struct{}, result chan reply) {
	t.Helper()
	began := make(chan struct{})
	finish = make(chan struct{})
	p.handle("/own/once/slow", func(w http.ResponseWriter, _ *http.Request) {
		close(began)
		<-finish
		_, _ = io.WriteString(w, "whole")
	})
	result = make(chan reply)
	request := p.request(t, http.MethodPost, "/own/once/slow", nil, "")
	request.Header.Set(headers.Timeout, "60000")
	go func() { result <- p.send(t, 0, request) }()
	select {
	case <-began:
	case got := <-result:
		require.Fail(t, "the request did not run", "%+v", got)
	}
	return finish, result
}

// listsVM reports whether a VM still names another one in its address answers.
func (p *fixture) listsVM(v, other *vm) bool {
	for _, live := range v.process.Node().Snapshot().Live {
		if live.ID == other.settings.VM.ID {
			return true
		}
	}
	return false
}

// TestRunningRequestsHandedOver lets the home of a pool leave while it runs a request; the next home knows of it until it ends.
func TestRunningRequestsHandedOver(t *testing.T) {
	t.Parallel()
	p := newFixture(t)
	finish, result := p.sendBlocking(t)
	elsewhere := func(row operator.Server) int { return row.Elsewhere }
	require.Zero(t, p.sumServers(t, elsewhere))
	p.stopBusyVM(t)
	for p.sumServers(t, elsewhere) == 0 {
		time.Sleep(20 * time.Millisecond)
	}
	close(finish)
	got := <-result
	require.NoError(t, got.err)
	require.Equal(t, "whole", string(got.body))
	for p.sumServers(t, elsewhere) > 0 {
		time.Sleep(20 * time.Millisecond)
	}
}

// sumServers sums a figure of the servers over the VMs.
func (p *fixture) sumServers(t *testing.T, of func(operator.Server) int) int {
	t.Helper()
	n := 0
	for _, v := range p.vms {
		n += sumServersOf(t, v, of)
	}
	return n
}

func sumServersOf(t *testing.T, v *vm, of func(operator.Server) int) int {
	t.Helper()
	n := 0
	for _, row := range v.process.Node().Dump(t.Context()).Servers {
		n += of(row)
	}
	return n
}

// stopBusyVM lets the VM leave that runs a request as the home of a pool.
func (p *fixture) stopBusyVM(t *testing.T) {
	t.Helper()
	for _, v := range p.vms {
		if sumServersOf(t, v, func(row operator.Server) int { return row.Busy }) > 0 {
			v.stop()
			return
		}
	}
	require.Fail(t, "no server is busy")
}
