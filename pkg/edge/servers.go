package edge

import (
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/leader"
	"github.com/azuretiller/azuretiller/pkg/message"
	"github.com/azuretiller/azuretiller/pkg/scheduler"
)

// listedServers identifies a list of servers: that of a view, or one that this VM read from the store itself.
type listedServers struct {
	term    azuretiller.Term
	version uint64
	readAt  time.Time
}

// serversByService returns the servers of a view by service, for placing requests.
func serversByService(v message.View) map[azuretiller.ServiceID][]scheduler.Server {
	services := map[azuretiller.ServiceID][]scheduler.Server{}
	for _, s := range v.Servers {
		services[s.Service] = append(services[s.Service], scheduler.Server{
			ID:          s.ID,
			Address:     s.Address,
			Zone:        s.Zone,
			Slots:       s.Slots,
			Closed:      s.Closed,
			Incarnation: s.Incarnation,
		})
	}
	return services
}

// ownServers returns the servers that this VM read from the store itself. The probability that they succeed is unknown.
func (e *Edge) ownServers(now time.Time) []message.Server {
	const unknownSuccess = 50 // percent
	servers := leader.ViewServers(now, e.registryCache.ServersByService(now, e.config))
	for i := range servers {
		servers[i].Success = unknownSuccess
	}
	e.restrictOwnServers(now, servers)
	return servers
}

// closeServersExcept closes all servers but the given ones.
func closeServersExcept(services map[azuretiller.ServiceID][]scheduler.Server, open map[azuretiller.InstanceID]bool) {
	for _, servers := range services {
		for i := range servers {
			servers[i].Closed = servers[i].Closed || !open[servers[i].ID]
		}
	}
}
