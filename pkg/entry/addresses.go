package entry

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/placement"
	"github.com/azuretiller/azuretiller/pkg/ratehome"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
)

const (
	// AddressLifetime is how long callers may use an answer.
	AddressLifetime = 10 * time.Second
	addressCount    = 4
)

// addressAnswer is the JSON answer to a caller that asks which addresses to use, the best first.
type addressAnswer struct {
	Addresses []string `json:"addresses"`
	Seconds   int      `json:"seconds"`
}

func (h *Handler) serveAddresses(w http.ResponseWriter, r *http.Request) {
	s := h.current()
	answer := addressAnswer{Addresses: Addresses(s, r), Seconds: int(AddressLifetime.Seconds())}
	data, err := json.Marshal(answer)
	if err != nil || len(answer.Addresses) == 0 {
		c := &call{handler: h, writer: w, request: r, snapshot: s, trace: trace()}
		c.refuse(azuretiller.CodeNotReady, time.Second, "no VM takes callers")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age="+strconv.Itoa(answer.Seconds))
	_, _ = w.Write(data)
}

// Addresses returns the addresses for a caller, in random order. The callers of one team are sent to the VMs that hold the
// shares of its rate, one in each zone, so that most tokens are drawn without a call to another VM.
func Addresses(s *snapshot.Snapshot, r *http.Request) []string {
	name := "callers/" + headers.Key(r.Header)
	if s.Config != nil {
		c := &call{request: r, snapshot: s, key: headers.Key(r.Header)}
		if c.identify() != azuretiller.CodeUnknownKey {
			name = ratehome.PlacementName(c.team.ID)
		}
	}
	var out []string
	for _, vm := range placement.Spread(name, s.Live, addressCount) {
		out = append(out, vm.Caller)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}
