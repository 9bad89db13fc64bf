package leader

import (
	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
)

// share divides the requests of one route among services by weight, so that every run of requests keeps the proportions.
type share struct {
	credit map[azuretiller.ServiceID]int
}

// pick returns the service for the next request of a route.
func (l *Leader) pick(route azuretiller.RouteID, backends []config.Backend) azuretiller.ServiceID {
	if len(backends) == 1 {
		return backends[0].Service
	}
	s := l.shares[route]
	if s == nil {
		s = &share{credit: map[azuretiller.ServiceID]int{}}
		l.shares[route] = s
	}
	return s.pick(backends)
}

func (s *share) pick(backends []config.Backend) azuretiller.ServiceID {
	var best azuretiller.ServiceID
	total := 0
	for _, b := range backends {
		s.credit[b.Service] += b.Weight
		total += b.Weight
		if best == "" || s.credit[b.Service] > s.credit[best] {
			best = b.Service
		}
	}
	s.credit[best] -= total
	return best
}
