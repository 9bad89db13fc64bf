package leader

import (
	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
)

// weightedRoundRobin divides the requests of one route among services by weight. It is smooth: any sequence of requests keeps
// the proportions approximately.
type weightedRoundRobin struct {
	credit map[azuretiller.ServiceID]int
}

// pickService returns the service for the next request of a route.
func (l *Leader) pickService(route azuretiller.RouteID, backends []config.Backend) azuretiller.ServiceID {
	if len(backends) == 1 {
		return backends[0].Service
	}
	rr := l.roundRobins[route]
	if rr == nil {
		rr = &weightedRoundRobin{credit: map[azuretiller.ServiceID]int{}}
		l.roundRobins[route] = rr
	}
	return rr.next(backends)
}

func (rr *weightedRoundRobin) next(backends []config.Backend) azuretiller.ServiceID {
	var selected azuretiller.ServiceID
	total := 0
	for _, b := range backends {
		rr.credit[b.Service] += b.Weight
		total += b.Weight
		if selected == "" || rr.credit[b.Service] > rr.credit[selected] {
			selected = b.Service
		}
	}
	rr.credit[selected] -= total
	return selected
}
