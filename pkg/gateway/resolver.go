package gateway

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	// minAddresses is the number of ready VMs in a zone below which VMs of other zones are added to the response.
	minAddresses = 2
	// maxAddresses is the largest number of addresses that callers read from a response.
	maxAddresses = 64
)

// Resolver returns to callers the addresses of the VMs to use.
type Resolver struct {
	log           log.Interface
	current       func() *State
	callerAddress string
	ttl           func() time.Duration
}

// NewResolver returns a Resolver; callerAddress is the host:port on which this VM serves callers, and ttl returns how long callers may
// cache a response.
func NewResolver(l log.Interface, current func() *State, callerAddress string, ttl func() time.Duration) *Resolver {
	return &Resolver{log: l, current: current, callerAddress: callerAddress, ttl: ttl}
}

// ServeHTTP responds with the addresses of the VMs that a caller can connect to.
func (rs *Resolver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	addresses := rs.addresses(azuretiller.Zone(r.URL.Query().Get(platform.QueryZone)))
	if len(addresses) == 0 {
		http.Error(w, "no VM is ready", http.StatusServiceUnavailable)
		return
	}
	body, err := platform.EncodeResolve(addresses, rs.ttl())
	if err != nil {
		rs.log.WithError(err).Error("failed to encode address response")
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// addresses returns the ready VMs of a zone, followed by those of other zones if there are fewer than minAddresses. An isolated VM
// returns only its own address.
func (rs *Resolver) addresses(zone azuretiller.Zone) []string {
	s := rs.current()
	if s.Isolated || len(s.Members) == 0 {
		if !s.Ready() {
			return nil
		}
		return []string{rs.callerAddress}
	}
	var selected, otherZones []string
	for _, m := range s.Members {
		switch {
		case !m.Ready, s.Leaving && m.VM == s.VM:
		case m.Zone == zone:
			selected = append(selected, m.Callers)
		default:
			otherZones = append(otherZones, m.Callers)
		}
	}
	if len(selected) < minAddresses {
		selected = append(selected, otherZones...)
	}
	return selected[:min(len(selected), maxAddresses)]
}
