package ratehome

import (
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/bucket"
	"github.com/azuretiller/azuretiller/pkg/config"
)

const (
	// keepHistory is how far back rosters and settings are remembered.
	keepHistory = 10 * time.Minute
	maxHistory  = 64
	maxBuckets  = 50000
	// drift is added to a wait for other VMs, whose clocks may run more slowly.
	drift = 100 * time.Millisecond
)

// Home holds the shares of one VM; it has no clock of its own.
type Home struct {
	self azuretiller.VMID
	// limit is how long another VM may act on an older roster or older settings.
	limit   time.Duration
	history []epoch
	buckets map[azuretiller.TeamID]*bucket.Bucket
	// tenures caches heldSince until the history changes.
	tenures map[azuretiller.TeamID]tenure
}

// tenure is the unbroken time in which this VM holds a share.
type tenure struct {
	since time.Time
	held  bool
}

// epoch is a time during which neither the roster nor the settings changed, as this VM saw it.
type epoch struct {
	since time.Time
	// settled is when this VM learnt that most VMs know of the epoch or of a later one, or zero.
	settled time.Time
	members []azuretiller.VM
	config  *config.Config
}

// Draw is a request for tokens by an entry VM.
type Draw struct {
	Team   azuretiller.TeamID
	Holder azuretiller.VMID
	Want   azuretiller.Millitokens
	// Spent and Returned settle tokens of earlier draws.
	Spent    azuretiller.Millitokens
	Returned azuretiller.Millitokens
	// Lifetime is how long the granted tokens may be spent.
	Lifetime time.Duration
}

// Grant is the answer to a Draw.
type Grant struct {
	Granted azuretiller.Millitokens
	// Level is what is left in the share.
	Level azuretiller.Millitokens
	Code  azuretiller.Code
	// RetryAfter is the time until the share holds the price of one request.
	RetryAfter time.Duration
}

// New returns a home that holds no shares; limit is how long a VM may act on old settings.
func New(self azuretiller.VMID, limit time.Duration) *Home {
	return &Home{
		self:    self,
		limit:   limit,
		buckets: map[azuretiller.TeamID]*bucket.Bucket{},
		tenures: map[azuretiller.TeamID]tenure{},
	}
}

// Observe takes the roster and the settings that are in force from now on.
func (h *Home) Observe(members []azuretiller.VM, c *config.Config, now time.Time) {
	staying := slices.DeleteFunc(slices.Clone(members), func(vm azuretiller.VM) bool { return vm.Leaving })
	if n := len(h.history); n > 0 && h.history[n-1].config == c && sameVMs(h.history[n-1].members, staying) {
		return
	}
	h.history = append(h.history, epoch{since: now, members: staying, config: c})
	for len(h.history) > maxHistory || len(h.history) > 1 && now.Sub(h.history[1].since) > keepHistory {
		h.history = h.history[1:]
	}
	clear(h.tenures)
	h.dropLost()
}

// dropLost forgets the buckets of shares that this VM no longer holds, so that none fills in the meantime
// for the case that the share comes back.
func (h *Home) dropLost() {
	newest := h.history[len(h.history)-1]
	for id := range h.buckets {
		team, ok := newest.config.Teams[id]
		if !ok || !h.holds(team, newest.members) {
			delete(h.buckets, id)
		}
	}
}

func (h *Home) holds(team config.Team, members []azuretiller.VM) bool {
	return slices.ContainsFunc(Holders(team, members), func(vm azuretiller.VM) bool { return vm.ID == h.self })
}

// Settled notes that most VMs know of the newest epoch.
func (h *Home) Settled(at time.Time) {
	for i := range h.history {
		if h.history[i].settled.IsZero() {
			h.history[i].settled = at
			clear(h.tenures)
		}
	}
}

// sameVMs compares the names, as only they decide who holds a share.
func sameVMs(a, b []azuretiller.VM) bool {
	return slices.EqualFunc(a, b, func(x, y azuretiller.VM) bool {
		return x.ID == y.ID && x.Incarnation == y.Incarnation && x.Zone == y.Zone
	})
}

// Draw hands out tokens of this VM's share of a team's rate. Current tells whether this VM may act on its settings.
func (h *Home) Draw(d Draw, current bool, now time.Time) Grant {
	if !current || len(h.history) == 0 {
		return Grant{Code: azuretiller.CodeStaleView}
	}
	team, ok := h.history[len(h.history)-1].config.Teams[d.Team]
	if !ok {
		return Grant{Code: azuretiller.CodeUnknownKey}
	}
	since, ok := h.heldSince(team)
	if !ok || since.IsZero() {
		return Grant{Code: azuretiller.CodeRateUnavailable, RetryAfter: h.limit}
	}
	b := h.bucket(team, since.Add(h.limit+drift), now)
	b.Settle(d.Holder, d.Spent, d.Returned, now)
	g := Grant{Granted: b.Draw(d.Holder, d.Want, d.Lifetime, now), Level: b.Level(now), Code: azuretiller.CodeOK}
	if g.Granted < min(d.Want, azuretiller.TokenCost) {
		g.Code = azuretiller.CodeRateExceeded
		g.RetryAfter = b.Wait(azuretiller.TokenCost)
	}
	return g
}

// bucket returns the team's bucket with the limits that are safe now. A new bucket counts its tokens
// from the time at which this VM became entitled, which may lie ahead.
func (h *Home) bucket(team config.Team, entitled, now time.Time) *bucket.Bucket {
	rate, burst := h.safeLimits(team, now)
	b, ok := h.buckets[team.ID]
	if !ok {
		h.makeRoom(now)
		b = bucket.New(rate, burst, entitled)
		h.buckets[team.ID] = b
	}
	b.SetLimits(rate, burst, now)
	return b
}

// safeLimits returns the smallest share that the settings of the last while gave, because other VMs may not have seen the newest.
func (h *Home) safeLimits(team config.Team, now time.Time) (rate, burst azuretiller.Millitokens) {
	rate, burst = shareOf(team)
	for i, e := range h.history {
		older, ok := e.config.Teams[team.ID]
		if !ok || h.superseded(i, now) {
			continue
		}
		r, b := shareOf(older)
		rate = min(rate, r)
		burst = min(burst, b)
	}
	return rate, burst
}

func shareOf(team config.Team) (rate, burst azuretiller.Millitokens) {
	n := azuretiller.Millitokens(ShareCount(team))
	return team.Rate / n, team.Burst / n
}

// superseded reports whether no VM can act on an epoch any more, because most know of a later one for long enough.
func (h *Home) superseded(i int, now time.Time) bool {
	if i+1 >= len(h.history) {
		return false
	}
	settled := h.history[i+1].settled
	return !settled.IsZero() && now.Sub(settled) > h.limit+drift
}

// heldSince returns when the unbroken time in which this VM held the share was settled, zero if it is not, and whether
// this VM holds the share.
func (h *Home) heldSince(team config.Team) (time.Time, bool) {
	t, ok := h.tenures[team.ID]
	if !ok {
		t.since, t.held = h.findTenure(team)
		h.tenures[team.ID] = t
	}
	return t.since, t.held
}

func (h *Home) findTenure(team config.Team) (time.Time, bool) {
	var since time.Time
	held := false
	for i := len(h.history) - 1; i >= 0; i-- {
		t, ok := h.history[i].config.Teams[team.ID]
		if !ok {
			t = team
		}
		if !h.holds(t, h.history[i].members) {
			break
		}
		since = h.history[i].settled
		held = true
	}
	return since, held
}

// makeRoom forgets buckets that are as good as new.
func (h *Home) makeRoom(now time.Time) {
	if len(h.buckets) < maxBuckets {
		return
	}
	for id, b := range h.buckets {
		if b.Full(now) {
			delete(h.buckets, id)
		}
	}
}

// Len returns the number of teams with a bucket here.
func (h *Home) Len() int { return len(h.buckets) }

// Levels returns the tokens left for each team with a bucket here, for dumps.
func (h *Home) Levels(now time.Time) map[azuretiller.TeamID]azuretiller.Millitokens {
	out := make(map[azuretiller.TeamID]azuretiller.Millitokens, len(h.buckets))
	for id, b := range h.buckets {
		out[id] = b.Level(now)
	}
	return out
}
