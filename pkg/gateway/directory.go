package gateway

import (
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	// fewest is the number of addresses below which VMs of other zones are named too.
	fewest = 2
	// mostAddresses is the most that callers look at.
	mostAddresses = 64
	// addressTTL is how long callers keep an answer; a VM that leaves serves for longer than three times that.
	addressTTL = 1300 * time.Millisecond
)

// Directory tells callers which VMs to use.
type Directory struct {
	log     log.Interface
	current func() *State
	callers string
	ttl     time.Duration
}

// NewDirectory returns a directory of a VM that serves callers on a host:port; longest bounds how long answers are kept.
func NewDirectory(l log.Interface, current func() *State, callers string, longest time.Duration) *Directory {
	ttl := addressTTL
	if longest > 0 {
		ttl = min(ttl, longest)
	}
	return &Directory{log: l, current: current, callers: callers, ttl: ttl}
}

// ServeHTTP answers a caller that asks where to connect.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	addresses := d.addresses(azuretiller.Zone(r.URL.Query().Get(platform.QueryZone)))
	if len(addresses) == 0 {
		http.Error(w, "no VM is ready", http.StatusServiceUnavailable)
		return
	}
	body, err := platform.EncodeResolve(addresses, d.ttl)
	if err != nil {
		d.log.WithError(err).Error("address answer")
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// addresses returns the VMs of a zone, and those of others when there are few. A VM that is out of touch for long names itself.
func (d *Directory) addresses(zone azuretiller.Zone) []string {
	s := d.current()
	if s.Isolated || len(s.Members) == 0 {
		if !s.Ready() {
			return nil
		}
		return []string{d.callers}
	}
	var near, far []string
	for _, m := range s.Members {
		switch {
		case !m.Ready:
		case m.Zone == zone:
			near = append(near, m.Callers)
		default:
			far = append(far, m.Callers)
		}
	}
	if len(near) < fewest {
		near = append(near, far...)
	}
	return near[:min(len(near), mostAddresses)]
}
