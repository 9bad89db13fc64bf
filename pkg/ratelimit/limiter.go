package ratelimit

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/rateshare"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
	"github.com/azuretiller/azuretiller/pkg/tokenlease"
)

const (
	// leaseDuration is how long drawn tokens may be spent after they were requested.
	leaseDuration = 500 * time.Millisecond
	// maxIdleAge is the age from which unspent tokens are given back to the owner that granted them.
	maxIdleAge = 200 * time.Millisecond
	// batchDuration is the time for which one draw covers the demand.
	batchDuration   = 100 * time.Millisecond
	callTimeout     = 300 * time.Millisecond
	teamIdleTimeout = time.Minute
	// failedOwnerPenalty is how long an owner that did not respond is asked only after all others.
	failedOwnerPenalty = 2 * time.Second
	// preferredRank is the rank of shares that are drawn from before all others: this VM's own share while it has a
	// token, and shares with an unknown level.
	preferredRank azuretiller.Millitokens = 1 << 50
	// frequentDrawDemand is the demand, in requests per second, above which draws are so frequent that the next one can
	// report spent tokens and use leftover ones.
	frequentDrawDemand = 100
	// demandAveragingSeconds is the time constant of the moving average of the demand.
	demandAveragingSeconds = 0.5
)

// TokenClient sends requests to the owners of shares.
type TokenClient interface {
	// Draw requests tokens from one VM and reports spent and returned ones. An error means that no tokens were
	// received.
	Draw(ctx context.Context, to azuretiller.VM, d rateshare.DrawRequest) (rateshare.DrawResponse, error)
}

// Limiter limits the request rate of all teams on one entry VM.
type Limiter struct {
	self   azuretiller.VMID
	clock  azuretiller.Clock
	client TokenClient

	mu    sync.Mutex
	teams map[azuretiller.TeamID]*teamState
}

// teamState holds the tokens of one team on this VM and what the VM knows of the team's shares.
type teamState struct {
	mu              sync.Mutex
	tokens          *tokenlease.Balance
	waitingRequests int
	// drawDone is closed when the draw in progress ends. It is nil if there is none.
	drawDone chan struct{}
	lastUse  time.Time
	// demand is the moving average of the team's requests per second on this VM.
	demand float64
	// owners are the VMs that own the team's shares, computed for rosterRevision and shareCount.
	owners         []azuretiller.VM
	rosterRevision azuretiller.Revision
	shareCount     int
	// levels holds the level of its share that each owner reported in its last response.
	levels map[azuretiller.VMID]azuretiller.Millitokens
	// failedAt holds the time of the last draw to which an owner did not respond, until it responds again.
	failedAt map[azuretiller.VMID]time.Time
	// refusal is the decision for requests that get no token from the last draw.
	refusal Decision
}

// Decision tells whether a request may pass.
type Decision struct {
	Code azuretiller.Code
	// RetryAfter is set if Code is not CodeOK.
	RetryAfter time.Duration
}

// New returns a limiter that holds no tokens.
func New(self azuretiller.VMID, clock azuretiller.Clock, client TokenClient) *Limiter {
	return &Limiter{self: self, clock: clock, client: client, teams: map[azuretiller.TeamID]*teamState{}}
}

// Take takes one token from a team's rate for a request. If this VM has no token left, it draws more from the owners.
func (l *Limiter) Take(ctx context.Context, team config.Team, s *snapshot.Snapshot) Decision {
	t := l.team(team.ID)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordDemand(l.clock.Now())
	hasDrawn := false
	for {
		if t.tokens.Take(azuretiller.TokenCost, l.clock.Now()) {
			if hasDrawn {
				l.reportSpent(ctx, team.ID, t)
			}
			return Decision{Code: azuretiller.CodeOK}
		}
		if hasDrawn {
			l.returnUnused(ctx, team.ID, t)
			return t.refusal
		}
		t.waitingRequests++
		hasDrawn = t.drawOrWait(ctx, l, team, s)
		t.waitingRequests--
		if ctx.Err() != nil {
			return Decision{Code: azuretiller.CodeRateUnavailable, RetryAfter: time.Second}
		}
	}
}

// reportSpent reports spent tokens to the owners at once, unless the demand is so high that the next draw will soon do
// so. An owner counts granted tokens against the burst of its share until it knows that they were spent. Without the
// report, a share that was full would not refill until the lease of these tokens expires.
func (l *Limiter) reportSpent(ctx context.Context, id azuretiller.TeamID, t *teamState) {
	if t.demand > frequentDrawDemand {
		return
	}
	for _, vm := range t.owners {
		d := rateshare.DrawRequest{Team: id, EntryVM: l.self, Spent: t.tokens.ResetSpent(vm.ID)}
		if d.Spent == 0 {
			continue
		}
		go l.sendUsageReport(context.WithoutCancel(ctx), vm, d)
	}
}

// returnUnused returns the fractions of a token that were drawn for a refused request, unless the demand is so high
// that this VM will soon use them. Otherwise requests on other VMs could be refused because these fractions are
// missing.
func (l *Limiter) returnUnused(ctx context.Context, id azuretiller.TeamID, t *teamState) {
	if t.demand > frequentDrawDemand {
		return
	}
	for vm, d := range l.takeIdle(id, t, 0) {
		go l.sendUsageReport(context.WithoutCancel(ctx), vm, d)
	}
}

// takeIdle removes the unspent tokens that were requested at least age ago. It returns, for each owner, the usage report
// that gives the tokens back. The caller must hold the lock of the team state.
func (l *Limiter) takeIdle(id azuretiller.TeamID, t *teamState, age time.Duration) map[azuretiller.VM]rateshare.DrawRequest {
	idle := t.tokens.RemoveIdle(age, l.clock.Now())
	out := make(map[azuretiller.VM]rateshare.DrawRequest, len(idle))
	for _, vm := range t.owners {
		if idle[vm.ID] > 0 {
			out[vm] = rateshare.DrawRequest{Team: id, EntryVM: l.self, Spent: t.tokens.ResetSpent(vm.ID), Returned: idle[vm.ID]}
		}
	}
	return out
}

// sendUsageReport reports spent and returned tokens to an owner. If the report is lost, the owner counts the tokens
// until their lease expires.
func (l *Limiter) sendUsageReport(ctx context.Context, vm azuretiller.VM, d rateshare.DrawRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = l.client.Draw(ctx, vm, d)
}

// drawOrWait draws tokens and returns true, or waits for a draw that is in progress and returns false. The lock is held
// on entry and on return.
func (t *teamState) drawOrWait(ctx context.Context, l *Limiter, team config.Team, s *snapshot.Snapshot) bool {
	if t.drawDone == nil {
		t.drawDone = make(chan struct{})
		t.draw(ctx, l, team, s)
		close(t.drawDone)
		t.drawDone = nil
		return true
	}
	done := t.drawDone
	t.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
	t.mu.Lock()
	return false
}

// draw requests tokens from one owner after another until there are enough for the waiting requests. The lock is
// released during each call.
func (t *teamState) draw(ctx context.Context, l *Limiter, team config.Team, s *snapshot.Snapshot) {
	t.updateOwners(team, s)
	t.refusal = Decision{Code: azuretiller.CodeRateUnavailable, RetryAfter: time.Second}
	for _, vm := range t.rankOwners(l.self, l.clock.Now()) {
		now := l.clock.Now()
		need := azuretiller.TokenCost*azuretiller.Millitokens(max(t.waitingRequests, 1)) - t.tokens.Level(now)
		if need <= 0 {
			return
		}
		d := rateshare.DrawRequest{
			Team:     team.ID,
			EntryVM:  l.self,
			Want:     max(need, t.batchSize(team)),
			Spent:    t.tokens.ResetSpent(vm.ID),
			Lifetime: leaseDuration,
		}
		t.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		response, err := l.client.Draw(callCtx, vm, d)
		cancel()
		t.mu.Lock()
		t.applyDrawResponse(vm, response, err, now, l.clock.Now())
	}
}

func (t *teamState) applyDrawResponse(vm azuretiller.VM, response rateshare.DrawResponse, err error, requestedAt, now time.Time) {
	if err != nil {
		t.failedAt[vm.ID] = now
		return
	}
	delete(t.failedAt, vm.ID)
	t.levels[vm.ID] = response.Level
	t.tokens.Add(vm.ID, response.Granted, requestedAt, leaseDuration)
	if response.Code != azuretiller.CodeRateExceeded {
		return
	}
	// All shares refill at the same rate, so together they hold a whole token sooner than any single share does.
	wait := response.RetryAfter / time.Duration(max(t.shareCount, 1))
	if t.refusal.Code != azuretiller.CodeRateExceeded || wait < t.refusal.RetryAfter {
		t.refusal = Decision{Code: azuretiller.CodeRateExceeded, RetryAfter: wait}
	}
}

// updateOwners recomputes the owners of the team's shares if the roster or the number of shares changed.
func (t *teamState) updateOwners(team config.Team, s *snapshot.Snapshot) {
	shares := rateshare.ShareCount(team)
	if t.owners != nil && t.rosterRevision == s.RosterRevision && t.shareCount == shares {
		return
	}
	staying := make([]azuretiller.VM, 0, len(s.Members))
	for _, vm := range s.Members {
		if !vm.Leaving {
			staying = append(staying, vm)
		}
	}
	t.owners = rateshare.Owners(team, staying)
	t.rosterRevision = s.RosterRevision
	t.shareCount = shares
	clear(t.levels)
	clear(t.failedAt)
}

// rankOwners returns the owners sorted by descending rank. Owners that recently did not respond come last.
func (t *teamState) rankOwners(self azuretiller.VMID, now time.Time) []azuretiller.VM {
	out := make([]azuretiller.VM, 0, len(t.owners))
	remaining := append([]azuretiller.VM(nil), t.owners...)
	for len(remaining) > 0 {
		first := 0
		for i := range remaining {
			if t.rank(remaining[i], self, now) > t.rank(remaining[first], self, now) {
				first = i
			}
		}
		out = append(out, remaining[first])
		remaining = append(remaining[:first], remaining[first+1:]...)
	}
	return out
}

// rank returns the level of an owner's share that the owner last reported, with two exceptions: -1 if the owner recently did
// not respond, and preferredRank in the cases described there.
func (t *teamState) rank(vm azuretiller.VM, self azuretiller.VMID, now time.Time) azuretiller.Millitokens {
	if at, ok := t.failedAt[vm.ID]; ok && now.Sub(at) < failedOwnerPenalty {
		return -1
	}
	level, ok := t.levels[vm.ID]
	if !ok || vm.ID == self && level >= azuretiller.TokenCost {
		return preferredRank
	}
	return level
}

// batchSize returns the number of tokens that covers the demand for batchDuration, but at most 1/16 of the burst and at
// least one token.
func (t *teamState) batchSize(team config.Team) azuretiller.Millitokens {
	byDemand := azuretiller.Millitokens(t.demand * batchDuration.Seconds() * float64(azuretiller.TokenCost))
	return max(azuretiller.TokenCost, min(byDemand, team.Burst/16))
}

// recordDemand updates the exponential moving average of the team's requests per second on this VM.
func (t *teamState) recordDemand(now time.Time) {
	gap := now.Sub(t.lastUse).Seconds()
	t.lastUse = now
	t.demand = t.demand*math.Exp(-gap/demandAveragingSeconds) + 1/demandAveragingSeconds
}

// Sweep gives tokens that were not spent for maxIdleAge back to their owners, and drops the state of teams without a request
// for teamIdleTimeout.
func (l *Limiter) Sweep(ctx context.Context) {
	now := l.clock.Now()
	l.mu.Lock()
	teams := make(map[azuretiller.TeamID]*teamState, len(l.teams))
	for id, t := range l.teams {
		teams[id] = t
	}
	l.mu.Unlock()
	for id, t := range teams {
		l.sweepTeam(ctx, id, t, now)
	}
}

func (l *Limiter) sweepTeam(ctx context.Context, id azuretiller.TeamID, t *teamState, now time.Time) {
	t.mu.Lock()
	usageReports := l.takeIdle(id, t, maxIdleAge)
	expired := now.Sub(t.lastUse) > teamIdleTimeout && t.drawDone == nil
	t.mu.Unlock()
	for vm, d := range usageReports {
		l.sendUsageReport(ctx, vm, d)
	}
	if expired {
		l.mu.Lock()
		delete(l.teams, id)
		l.mu.Unlock()
	}
}

func (l *Limiter) team(id azuretiller.TeamID) *teamState {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.teams[id]
	if t == nil {
		t = &teamState{
			tokens:   tokenlease.New(),
			levels:   map[azuretiller.VMID]azuretiller.Millitokens{},
			failedAt: map[azuretiller.VMID]time.Time{},
		}
		l.teams[id] = t
	}
	return t
}
