package poolowner_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/dispatch"
	"github.com/azuretiller/azuretiller/pkg/invariant"
	"github.com/azuretiller/azuretiller/pkg/poolowner"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
	"github.com/azuretiller/azuretiller/pkg/systemclock"
	"github.com/azuretiller/azuretiller/pkg/topology"
)

const (
	targetVMs      = 540
	targetServices = 210
	targetServers  = 6500
	targetZones    = 5
)

// BenchmarkTick measures a tick that finds a new snapshot, in a fleet of the largest size that the project targets. In each
// tick, all pools are checked for a change of their owner.
func BenchmarkTick(b *testing.B) {
	c := &config.Config{Services: map[azuretiller.ServiceID]config.Service{}}
	for i := range targetServers {
		id := azuretiller.ServiceID(fmt.Sprint("s", i%targetServices))
		s := c.Services[id]
		s.ID = id
		s.Slots = 3
		zone := azuretiller.Zone(fmt.Sprint("z", i/targetServices%targetZones))
		s.Servers = append(s.Servers, config.Server{ID: azuretiller.ServerID(fmt.Sprint("w", i)), Zone: zone})
		c.Services[id] = s
	}
	var members []azuretiller.VM
	for i := range targetVMs {
		members = append(members, azuretiller.VM{ID: azuretiller.VMID(fmt.Sprint("vm", i)), Zone: azuretiller.Zone(fmt.Sprint("z", i%targetZones))})
	}
	pools := topology.Build(c, members)
	current := &snapshot.Snapshot{}
	shared := &common.Common{Log: &log.Logger{Handler: logfmt.New(io.Discard)}, Clock: systemclock.New()}
	m := poolowner.New(shared, invariant.NewPanicking(), dispatch.New(), nil, func() *snapshot.Snapshot { return current })
	for b.Loop() {
		current = &snapshot.Snapshot{Self: members[0], Config: c, Topology: pools}
		m.Tick()
	}
}
