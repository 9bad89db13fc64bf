package ratelimit

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/purse"
	"github.com/azuretiller/azuretiller/pkg/ratehome"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
)

const (
	// lifetime is how long drawn tokens may be spent.
	lifetime = 500 * time.Millisecond
	// idleAge is the age from which unspent tokens go back.
	idleAge = 200 * time.Millisecond
	// batchTime is the demand that one draw covers.
	batchTime   = 100 * time.Millisecond
	callTimeout = 300 * time.Millisecond
	forgetAfter = time.Minute
	// avoidFor is how long a holder that did not answer is asked last.
	avoidFor = 2 * time.Second
	// plenty ranks this VM's own share, while it is not empty, and shares of which nothing is known before all others.
	plenty azuretiller.Millitokens = 1 << 50
	// soonDemand is the demand in requests a second from which the next draw comes soon.
	soonDemand = 100
	// demandMemory is the time over which demand is averaged, in seconds.
	demandMemory = 0.5
)

// Drawer asks the holder of a share for tokens.
type Drawer interface {
	// Draw asks one VM; an error means that no tokens were received.
	Draw(ctx context.Context, to azuretiller.VM, d ratehome.Draw) (ratehome.Grant, error)
}

// Limiter spends tokens for all teams of one entry VM.
type Limiter struct {
	self   azuretiller.VMID
	clock  azuretiller.Clock
	drawer Drawer

	mu    sync.Mutex
	teams map[azuretiller.TeamID]*account
}

// account is one team's tokens at this VM.
type account struct {
	mu      sync.Mutex
	purse   *purse.Purse
	waiting int
	// drawing is closed when the draw that is under way ends.
	drawing  chan struct{}
	lastUse  time.Time
	demand   float64
	holders  []azuretiller.VM
	roster   azuretiller.Revision
	shares   int
	levels   map[azuretiller.VMID]azuretiller.Millitokens
	failedAt map[azuretiller.VMID]time.Time
	refusal  Decision
}

// Decision is the answer to a request for one token.
type Decision struct {
	Code azuretiller.Code
	// RetryAfter is set when the code is not CodeOK.
	RetryAfter time.Duration
}

// New returns a limiter that has drawn nothing.
func New(self azuretiller.VMID, clock azuretiller.Clock, drawer Drawer) *Limiter {
	return &Limiter{self: self, clock: clock, drawer: drawer, teams: map[azuretiller.TeamID]*account{}}
}

// Spend takes the price of one request from a team's rate, drawing tokens when this VM has none left.
func (l *Limiter) Spend(ctx context.Context, team config.Team, s *snapshot.Snapshot) Decision {
	a := l.account(team.ID)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noteDemand(l.clock.Now())
	drew := false
	for {
		if a.purse.Spend(azuretiller.TokenCost, l.clock.Now()) {
			if drew {
				l.confirm(ctx, team.ID, a)
			}
			return Decision{Code: azuretiller.CodeOK}
		}
		if drew {
			l.giveBackSoon(ctx, team.ID, a)
			return a.refusal
		}
		a.waiting++
		drew = a.await(ctx, l, team, s)
		a.waiting--
		if ctx.Err() != nil {
			return Decision{Code: azuretiller.CodeRateUnavailable, RetryAfter: time.Second}
		}
	}
}

// confirm tells the holders at once what was spent, unless the next draw will soon do so. A holder counts tokens that
// it gave out against the burst until it knows them to be spent, so a full share would not fill in the meantime.
func (l *Limiter) confirm(ctx context.Context, id azuretiller.TeamID, a *account) {
	if a.demand > soonDemand {
		return
	}
	for _, vm := range a.holders {
		d := ratehome.Draw{Team: id, Holder: l.self, Spent: a.purse.Settle(vm.ID)}
		if d.Spent == 0 {
			continue
		}
		go l.tell(context.WithoutCancel(ctx), vm, d)
	}
}

// giveBackSoon returns the fractions of a token that a refused request drew, unless this VM will soon make use of them.
// Another VM's request would be refused for the want of them.
func (l *Limiter) giveBackSoon(ctx context.Context, id azuretiller.TeamID, a *account) {
	if a.demand > soonDemand {
		return
	}
	for vm, d := range l.idle(id, a, 0) {
		go l.tell(context.WithoutCancel(ctx), vm, d)
	}
}

// idle takes the tokens that were drawn longer ago than age out of the purse, to be given back to their holders.
// The account's lock is held.
func (l *Limiter) idle(id azuretiller.TeamID, a *account, age time.Duration) map[azuretiller.VM]ratehome.Draw {
	idle := a.purse.Idle(age, l.clock.Now())
	out := make(map[azuretiller.VM]ratehome.Draw, len(idle))
	for _, vm := range a.holders {
		if idle[vm.ID] > 0 {
			out[vm] = ratehome.Draw{Team: id, Holder: l.self, Spent: a.purse.Settle(vm.ID), Returned: idle[vm.ID]}
		}
	}
	return out
}

// tell passes on what was spent or is given back. A word that is lost only makes the tokens count until their lease ends.
func (l *Limiter) tell(ctx context.Context, vm azuretiller.VM, d ratehome.Draw) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = l.drawer.Draw(ctx, vm, d)
}

// await waits for the draw that is under way, or makes one and returns true. The lock is held on entry and exit.
func (a *account) await(ctx context.Context, l *Limiter, team config.Team, s *snapshot.Snapshot) bool {
	if a.drawing == nil {
		a.drawing = make(chan struct{})
		a.draw(ctx, l, team, s)
		close(a.drawing)
		a.drawing = nil
		return true
	}
	done := a.drawing
	a.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
	}
	a.mu.Lock()
	return false
}

// draw asks the holders in turn until there is a token for this request. The lock is released during each call.
func (a *account) draw(ctx context.Context, l *Limiter, team config.Team, s *snapshot.Snapshot) {
	a.locate(team, s)
	a.refusal = Decision{Code: azuretiller.CodeRateUnavailable, RetryAfter: time.Second}
	for _, vm := range a.order(l.self, l.clock.Now()) {
		now := l.clock.Now()
		need := azuretiller.TokenCost*azuretiller.Millitokens(max(a.waiting, 1)) - a.purse.Level(now)
		if need <= 0 {
			return
		}
		d := ratehome.Draw{
			Team:     team.ID,
			Holder:   l.self,
			Want:     max(need, a.batch(team)),
			Spent:    a.purse.Settle(vm.ID),
			Lifetime: lifetime,
		}
		a.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		grant, err := l.drawer.Draw(callCtx, vm, d)
		cancel()
		a.mu.Lock()
		a.take(vm, grant, err, now, l.clock.Now())
	}
}

func (a *account) take(vm azuretiller.VM, g ratehome.Grant, err error, asked, now time.Time) {
	if err != nil {
		a.failedAt[vm.ID] = now
		return
	}
	delete(a.failedAt, vm.ID)
	a.levels[vm.ID] = g.Level
	a.purse.Add(vm.ID, g.Granted, asked, lifetime)
	if g.Code != azuretiller.CodeRateExceeded {
		return
	}
	// The shares fill at the same pace, so a whole token is there sooner than in any one of them.
	wait := g.RetryAfter / time.Duration(max(a.shares, 1))
	if a.refusal.Code != azuretiller.CodeRateExceeded || wait < a.refusal.RetryAfter {
		a.refusal = Decision{Code: azuretiller.CodeRateExceeded, RetryAfter: wait}
	}
}

// locate finds the holders of the team's shares again after the roster or the number of shares changed.
func (a *account) locate(team config.Team, s *snapshot.Snapshot) {
	shares := ratehome.ShareCount(team)
	if a.holders != nil && a.roster == s.RosterRevision && a.shares == shares {
		return
	}
	staying := make([]azuretiller.VM, 0, len(s.Members))
	for _, vm := range s.Members {
		if !vm.Leaving {
			staying = append(staying, vm)
		}
	}
	a.holders = ratehome.Holders(team, staying)
	a.roster = s.RosterRevision
	a.shares = shares
	clear(a.levels)
	clear(a.failedAt)
}

// order puts the holder with the fullest share first and those that did not answer last.
func (a *account) order(self azuretiller.VMID, now time.Time) []azuretiller.VM {
	out := make([]azuretiller.VM, 0, len(a.holders))
	rest := append([]azuretiller.VM(nil), a.holders...)
	for len(rest) > 0 {
		best := 0
		for i := range rest {
			if a.rank(rest[i], self, now) > a.rank(rest[best], self, now) {
				best = i
			}
		}
		out = append(out, rest[best])
		rest = append(rest[:best], rest[best+1:]...)
	}
	return out
}

func (a *account) rank(vm azuretiller.VM, self azuretiller.VMID, now time.Time) azuretiller.Millitokens {
	if at, ok := a.failedAt[vm.ID]; ok && now.Sub(at) < avoidFor {
		return -1
	}
	level, ok := a.levels[vm.ID]
	if !ok || vm.ID == self && level >= azuretiller.TokenCost {
		return plenty
	}
	return level
}

// batch returns the tokens that cover the demand of a short while, and no more than a small part of the burst.
func (a *account) batch(team config.Team) azuretiller.Millitokens {
	byDemand := azuretiller.Millitokens(a.demand * batchTime.Seconds() * float64(azuretiller.TokenCost))
	return max(azuretiller.TokenCost, min(byDemand, team.Burst/16))
}

// noteDemand follows the team's requests a second at this VM.
func (a *account) noteDemand(now time.Time) {
	gap := now.Sub(a.lastUse).Seconds()
	a.lastUse = now
	a.demand = a.demand*math.Exp(-gap/demandMemory) + 1/demandMemory
}

// Sweep gives back tokens that were not spent for a while and forgets teams that sent nothing for long.
func (l *Limiter) Sweep(ctx context.Context) {
	now := l.clock.Now()
	l.mu.Lock()
	accounts := make(map[azuretiller.TeamID]*account, len(l.teams))
	for id, a := range l.teams {
		accounts[id] = a
	}
	l.mu.Unlock()
	for id, a := range accounts {
		l.sweep(ctx, id, a, now)
	}
}

func (l *Limiter) sweep(ctx context.Context, id azuretiller.TeamID, a *account, now time.Time) {
	a.mu.Lock()
	draws := l.idle(id, a, idleAge)
	stale := now.Sub(a.lastUse) > forgetAfter && a.drawing == nil
	a.mu.Unlock()
	for vm, d := range draws {
		l.tell(ctx, vm, d)
	}
	if stale {
		l.mu.Lock()
		delete(l.teams, id)
		l.mu.Unlock()
	}
}

func (l *Limiter) account(id azuretiller.TeamID) *account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.teams[id]
	if a == nil {
		a = &account{
			purse:    purse.New(),
			levels:   map[azuretiller.VMID]azuretiller.Millitokens{},
			failedAt: map[azuretiller.VMID]time.Time{},
		}
		l.teams[id] = a
	}
	return a
}
