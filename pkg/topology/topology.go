package topology

import (
	"slices"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/rendezvous"
)

// maxPoolSize is the largest number of backend servers in one pool.
const maxPoolSize = 16

// Pool is a group of backend servers with the VM that places their requests.
type Pool struct {
	ID      azuretiller.PoolID
	Servers []config.Server
	// Owner is the VM that places requests on the pool's servers, or the zero value if there is no VM.
	Owner azuretiller.VM
	// ZoneOutOfService means that the pool's availability zone is taken out of service.
	ZoneOutOfService bool
}

// Topology maps each service to its pools, sorted by zone and index.
type Topology map[azuretiller.ServiceID][]Pool

// Build returns the pools of all services, each with one of the live VMs as its owner.
func Build(c *config.Config, live []azuretiller.VM) Topology {
	byZone := map[azuretiller.Zone][]azuretiller.VM{}
	for _, vm := range live {
		byZone[vm.Zone] = append(byZone[vm.Zone], vm)
	}
	t := Topology{}
	for id, service := range c.Services {
		t[id] = buildPools(c, service, byZone, live)
	}
	return t
}

func buildPools(c *config.Config, s config.Service, byZone map[azuretiller.Zone][]azuretiller.VM, live []azuretiller.VM) []Pool {
	servers := map[azuretiller.Zone][]config.Server{}
	var zones []azuretiller.Zone
	for _, server := range s.Servers {
		if len(servers[server.Zone]) == 0 {
			zones = append(zones, server.Zone)
		}
		servers[server.Zone] = append(servers[server.Zone], server)
	}
	slices.Sort(zones)
	var pools []Pool
	for _, zone := range zones {
		index := 0
		for group := range slices.Chunk(servers[zone], maxPoolSize) {
			p := Pool{
				ID:               azuretiller.PoolID{Service: s.ID, Zone: zone, Index: index},
				Servers:          group,
				ZoneOutOfService: c.Zones[zone].OutOfService,
			}
			p.Owner = selectOwner(p.ID, byZone[zone], live)
			pools = append(pools, p)
			index++
		}
	}
	return pools
}

// selectOwner returns the owner of a pool by rendezvous hashing. It prefers a VM of the pool's zone.
func selectOwner(id azuretiller.PoolID, sameZone, all []azuretiller.VM) azuretiller.VM {
	name := "pool/" + id.String()
	if vm, ok := rendezvous.First(name, sameZone); ok {
		return vm
	}
	vm, _ := rendezvous.First(name, all)
	return vm
}

// OwnerAmong returns the VM that would own a pool if only the given VMs existed.
func OwnerAmong(id azuretiller.PoolID, vms []azuretiller.VM) azuretiller.VM {
	var sameZone []azuretiller.VM
	for _, vm := range vms {
		if vm.Zone == id.Zone {
			sameZone = append(sameZone, vm)
		}
	}
	return selectOwner(id, sameZone, vms)
}

// Find returns the pool with an ID, and whether it exists.
func (t Topology) Find(id azuretiller.PoolID) (Pool, bool) {
	for _, p := range t[id.Service] {
		if p.ID == id {
			return p, true
		}
	}
	return Pool{}, false
}
