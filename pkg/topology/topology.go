package topology

import (
	"slices"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/placement"
)

// poolSize is the largest number of backend servers in one pool.
const poolSize = 16

// Pool is a group of backend servers with the VM that decides for them.
type Pool struct {
	ID      azuretiller.PoolID
	Servers []config.Server
	// Home is the zero VM when there is none.
	Home azuretiller.VM
	// Out means that the pool's zone is taken out.
	Out bool
}

// Topology maps each service to its pools, sorted by zone and index.
type Topology map[azuretiller.ServiceID][]Pool

// Build returns the pools of all services, with homes among the given VMs.
func Build(c *config.Config, live []azuretiller.VM) Topology {
	byZone := map[azuretiller.Zone][]azuretiller.VM{}
	for _, vm := range live {
		byZone[vm.Zone] = append(byZone[vm.Zone], vm)
	}
	t := Topology{}
	for id, service := range c.Services {
		t[id] = pools(c, service, byZone, live)
	}
	return t
}

func pools(c *config.Config, s config.Service, byZone map[azuretiller.Zone][]azuretiller.VM, live []azuretiller.VM) []Pool {
	servers := map[azuretiller.Zone][]config.Server{}
	var zones []azuretiller.Zone
	for _, server := range s.Servers {
		if len(servers[server.Zone]) == 0 {
			zones = append(zones, server.Zone)
		}
		servers[server.Zone] = append(servers[server.Zone], server)
	}
	slices.Sort(zones)
	var out []Pool
	for _, zone := range zones {
		index := 0
		for group := range slices.Chunk(servers[zone], poolSize) {
			p := Pool{
				ID:      azuretiller.PoolID{Service: s.ID, Zone: zone, Index: index},
				Servers: group,
				Out:     c.Zones[zone].Out,
			}
			p.Home = home(p.ID, byZone[zone], live)
			out = append(out, p)
			index++
		}
	}
	return out
}

// home prefers a VM of the pool's own zone.
func home(id azuretiller.PoolID, near, all []azuretiller.VM) azuretiller.VM {
	name := "pool/" + id.String()
	if vm, ok := placement.First(name, near); ok {
		return vm
	}
	vm, _ := placement.First(name, all)
	return vm
}

// HomeAmong returns the VM that would decide for a pool if only the given VMs were there.
func HomeAmong(id azuretiller.PoolID, vms []azuretiller.VM) azuretiller.VM {
	var near []azuretiller.VM
	for _, vm := range vms {
		if vm.Zone == id.Zone {
			near = append(near, vm)
		}
	}
	return home(id, near, vms)
}

// Find returns a pool and whether there is one.
func (t Topology) Find(id azuretiller.PoolID) (Pool, bool) {
	for _, p := range t[id.Service] {
		if p.ID == id {
			return p, true
		}
	}
	return Pool{}, false
}
