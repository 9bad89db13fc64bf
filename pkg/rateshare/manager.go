package rateshare

import (
	"slices"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/leasebucket"
)

const (
	// historyRetention is how long an epoch is kept after the next one started.
	historyRetention = 10 * time.Minute
	maxEpochs        = 64
	// maxBuckets is the number of buckets at which the full ones are deleted.
	maxBuckets = 50000
	// clockDriftMargin is added when this VM waits for a timeout of another VM, whose clock may run more slowly.
	clockDriftMargin = 100 * time.Millisecond
)

// Manager leases the tokens of the shares that one VM owns. Callers pass in the current time.
type Manager struct {
	self azuretiller.VMID
	// maxStaleness is how long another VM may still use an older roster or configuration after a newer one is settled.
	maxStaleness time.Duration
	epochs       []epoch
	buckets      map[azuretiller.TeamID]*leasebucket.Bucket
	// ownerships caches the results of findOwnership until an epoch is added or settled.
	ownerships map[azuretiller.TeamID]ownership
}

// ownership tells whether this VM owns a share of a team's rate, and when the first epoch of its uninterrupted ownership
// was settled.
type ownership struct {
	settledAt time.Time
	owned     bool
}

// epoch is a period during which this VM saw no change of the roster or the configuration.
type epoch struct {
	startedAt time.Time
	// settledAt is when this VM learnt that a majority of the VMs has applied this epoch or a later one; zero until then.
	settledAt time.Time
	members   []azuretiller.VM
	config    *config.Config
}

// DrawRequest is a request of an entry VM for tokens.
type DrawRequest struct {
	Team azuretiller.TeamID
	// EntryVM is the VM that requests the tokens.
	EntryVM azuretiller.VMID
	Want    azuretiller.Millitokens
	// Spent and Returned are tokens of earlier draws that the entry VM has spent or gives back.
	Spent    azuretiller.Millitokens
	Returned azuretiller.Millitokens
	// Lifetime is how long the entry VM may spend the granted tokens.
	Lifetime time.Duration
}

// DrawResponse is the response to a DrawRequest.
type DrawResponse struct {
	Granted azuretiller.Millitokens
	// Level is the number of tokens left in the share.
	Level azuretiller.Millitokens
	Code  azuretiller.Code
	// RetryAfter is how long the entry VM should wait before it draws again. With CodeRateExceeded it is the time until
	// the share holds the tokens for one request.
	RetryAfter time.Duration
}

// New returns a Manager that owns no shares. A VM may use an outdated configuration for maxStaleness.
func New(self azuretiller.VMID, maxStaleness time.Duration) *Manager {
	return &Manager{
		self:         self,
		maxStaleness: maxStaleness,
		buckets:      map[azuretiller.TeamID]*leasebucket.Bucket{},
		ownerships:   map[azuretiller.TeamID]ownership{},
	}
}

// Observe starts a new epoch when the roster or the configuration has changed. VMs that are leaving own no shares.
func (m *Manager) Observe(members []azuretiller.VM, c *config.Config, now time.Time) {
	active := slices.DeleteFunc(slices.Clone(members), func(vm azuretiller.VM) bool { return vm.Leaving })
	if n := len(m.epochs); n > 0 && m.epochs[n-1].config == c && sameVMs(m.epochs[n-1].members, active) {
		return
	}
	m.epochs = append(m.epochs, epoch{startedAt: now, members: active, config: c})
	for len(m.epochs) > maxEpochs || len(m.epochs) > 1 && now.Sub(m.epochs[1].startedAt) > historyRetention {
		m.epochs = m.epochs[1:]
	}
	clear(m.ownerships)
	m.dropUnownedBuckets()
}

// dropUnownedBuckets deletes the buckets of shares that this VM no longer owns. A bucket that was kept would accrue tokens
// while another VM owns the share, and exceed the rate if this VM became the owner again.
func (m *Manager) dropUnownedBuckets() {
	newest := m.epochs[len(m.epochs)-1]
	for id := range m.buckets {
		team, ok := newest.config.Teams[id]
		if !ok || !m.owns(team, newest.members) {
			delete(m.buckets, id)
		}
	}
}

func (m *Manager) owns(team config.Team, members []azuretiller.VM) bool {
	return slices.ContainsFunc(Owners(team, members), func(vm azuretiller.VM) bool { return vm.ID == m.self })
}

// MarkSettled records that a majority of the VMs has applied the newest epoch. Older epochs count as settled too.
func (m *Manager) MarkSettled(at time.Time) {
	for i := range m.epochs {
		if m.epochs[i].settledAt.IsZero() {
			m.epochs[i].settledAt = at
			clear(m.ownerships)
		}
	}
}

// sameVMs compares ID, incarnation and zone. The other fields of a VM do not affect which VM owns a share.
func sameVMs(a, b []azuretiller.VM) bool {
	return slices.EqualFunc(a, b, func(x, y azuretiller.VM) bool {
		return x.ID == y.ID && x.Incarnation == y.Incarnation && x.Zone == y.Zone
	})
}

// Draw leases tokens of this VM's share of a team's rate. The parameter current is false when the configuration of this VM
// is too old to be used.
func (m *Manager) Draw(d DrawRequest, current bool, now time.Time) DrawResponse {
	if !current || len(m.epochs) == 0 {
		return DrawResponse{Code: azuretiller.CodeStaleView}
	}
	team, ok := m.epochs[len(m.epochs)-1].config.Teams[d.Team]
	if !ok {
		return DrawResponse{Code: azuretiller.CodeUnknownKey}
	}
	settledAt, ok := m.ownedSince(team)
	if !ok || settledAt.IsZero() {
		return DrawResponse{Code: azuretiller.CodeRateUnavailable, RetryAfter: m.maxStaleness}
	}
	b := m.bucket(team, settledAt.Add(m.maxStaleness+clockDriftMargin), now)
	b.ReportUsage(d.EntryVM, d.Spent, d.Returned, now)
	response := DrawResponse{Granted: b.Draw(d.EntryVM, d.Want, d.Lifetime, now), Level: b.Level(now), Code: azuretiller.CodeOK}
	if response.Granted < min(d.Want, azuretiller.TokenCost) {
		response.Code = azuretiller.CodeRateExceeded
		response.RetryAfter = b.RefillTime(azuretiller.TokenCost)
	}
	return response
}

// bucket returns the team's bucket with the limits of safeLimits. A new bucket accrues tokens from accrueFrom on, which is
// when no other VM can act as the owner of the share any more. It may be in the future.
func (m *Manager) bucket(team config.Team, accrueFrom, now time.Time) *leasebucket.Bucket {
	rate, burst := m.safeLimits(team, now)
	b, ok := m.buckets[team.ID]
	if !ok {
		m.evictFullBuckets(now)
		b = leasebucket.New(rate, burst, accrueFrom)
		m.buckets[team.ID] = b
	}
	b.SetLimits(rate, burst, now)
	return b
}

// safeLimits returns the lowest rate and burst of a share in all epochs that another VM may still use, because the
// owners of the other shares may use an older configuration.
func (m *Manager) safeLimits(team config.Team, now time.Time) (rate, burst azuretiller.Millitokens) {
	rate, burst = shareLimits(team)
	for i, e := range m.epochs {
		older, ok := e.config.Teams[team.ID]
		if !ok || m.superseded(i, now) {
			continue
		}
		r, b := shareLimits(older)
		rate = min(rate, r)
		burst = min(burst, b)
	}
	return rate, burst
}

func shareLimits(team config.Team) (rate, burst azuretiller.Millitokens) {
	n := azuretiller.Millitokens(ShareCount(team))
	return team.Rate / n, team.Burst / n
}

// superseded reports whether epoch i can no longer be in use on any VM. That is so once the next epoch has been settled
// for longer than maxStaleness plus the margin for clock drift.
func (m *Manager) superseded(i int, now time.Time) bool {
	if i+1 >= len(m.epochs) {
		return false
	}
	settled := m.epochs[i+1].settledAt
	return !settled.IsZero() && now.Sub(settled) > m.maxStaleness+clockDriftMargin
}

// ownedSince reports whether this VM owns a share of the team's rate, and since when its uninterrupted ownership has been
// settled. The time is zero if the ownership is not settled yet.
func (m *Manager) ownedSince(team config.Team) (time.Time, bool) {
	o, ok := m.ownerships[team.ID]
	if !ok {
		o.settledAt, o.owned = m.findOwnership(team)
		m.ownerships[team.ID] = o
	}
	return o.settledAt, o.owned
}

// findOwnership goes back through the epochs to the first one of the uninterrupted ownership.
func (m *Manager) findOwnership(team config.Team) (time.Time, bool) {
	var settledAt time.Time
	owned := false
	for i := len(m.epochs) - 1; i >= 0; i-- {
		t, ok := m.epochs[i].config.Teams[team.ID]
		if !ok {
			t = team
		}
		if !m.owns(t, m.epochs[i].members) {
			break
		}
		settledAt = m.epochs[i].settledAt
		owned = true
	}
	return settledAt, owned
}

// evictFullBuckets deletes the full buckets once the limit on the number of buckets is reached.
func (m *Manager) evictFullBuckets(now time.Time) {
	if len(m.buckets) < maxBuckets {
		return
	}
	for id, b := range m.buckets {
		if b.Full(now) {
			delete(m.buckets, id)
		}
	}
}

// Len returns the number of teams that have a bucket on this VM.
func (m *Manager) Len() int { return len(m.buckets) }

// Levels returns the tokens left in each bucket of this VM, for debug dumps.
func (m *Manager) Levels(now time.Time) map[azuretiller.TeamID]azuretiller.Millitokens {
	out := make(map[azuretiller.TeamID]azuretiller.Millitokens, len(m.buckets))
	for id, b := range m.buckets {
		out[id] = b.Level(now)
	}
	return out
}
