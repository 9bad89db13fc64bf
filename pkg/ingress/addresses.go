package ingress

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/rateshare"
	"github.com/azuretiller/azuretiller/pkg/rendezvous"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
)

const (
	// AddressLifetime is how long callers may cache the list of addresses.
	AddressLifetime = 10 * time.Second
	addressCount    = 4
)

// addressList is the JSON response with the VM addresses that a caller may use for the given number of seconds.
type addressList struct {
	Addresses []string `json:"addresses"`
	Seconds   int      `json:"seconds"`
}

func (h *Handler) serveAddresses(w http.ResponseWriter, r *http.Request) {
	s := h.current()
	list := addressList{Addresses: Addresses(s, r), Seconds: int(AddressLifetime.Seconds())}
	data, err := json.Marshal(list)
	if err != nil || len(list.Addresses) == 0 {
		c := &call{handler: h, writer: w, request: r, snapshot: s, traceID: newTraceID()}
		c.refuse(azuretiller.CodeNotReady, time.Second, "no VM takes callers")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(list.Seconds))
	_, _ = w.Write(data)
}

// Addresses returns VM addresses for a caller, in random order and from as many availability zones as possible. Callers of a
// team get VMs that own shares of the team's rate limit, so that most tokens are drawn without a call to another VM.
func Addresses(s *snapshot.Snapshot, r *http.Request) []string {
	hashName := "callers/" + headers.Key(r.Header)
	if s.Config != nil {
		c := &call{request: r, snapshot: s, key: headers.Key(r.Header)}
		if c.identify() != azuretiller.CodeUnknownKey {
			hashName = rateshare.HashName(c.team.ID)
		}
	}
	var out []string
	for _, vm := range rendezvous.AcrossZones(hashName, s.Live, addressCount) {
		out = append(out, vm.CallerAddress)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
