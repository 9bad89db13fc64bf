package picker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/forward"
	"github.com/azuretiller/azuretiller/pkg/topology"
)

const (
	// loadMaxAge is the age from which a reported load is ignored.
	loadMaxAge = time.Second
	// refusalPenaltyDuration is how long a pool that refused a request is tried after all others.
	refusalPenaltyDuration = 200 * time.Millisecond
	// remoteZonePenalty is added to the cost of pools in other availability zones. The local pool is preferred until
	// its utilization exceeds that of a remote pool by this fraction of its capacity.
	remoteZonePenalty = 0.5
)

// Picker sorts pools by the load that they reported in their responses.
type Picker struct {
	zone  azuretiller.Zone
	clock azuretiller.Clock

	mu     sync.Mutex
	random *rand.Rand
	states map[azuretiller.PoolID]poolState
}

type poolState struct {
	load      forward.Load
	loadAt    time.Time
	refusedAt time.Time
}

// New returns a picker for an entry VM in the given zone.
func New(zone azuretiller.Zone, clock azuretiller.Clock, random *rand.Rand) *Picker {
	return &Picker{zone: zone, clock: clock, random: random, states: map[azuretiller.PoolID]poolState{}}
}

// Order returns the pools that accept requests, sorted by ascending cost. It omits pools whose zone is out of service
// and pools without a VM that owns them.
func (p *Picker) Order(pools []topology.Pool) []topology.Pool {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	type candidate struct {
		pool topology.Pool
		cost float64
	}
	var candidates []candidate
	for _, pool := range pools {
		if pool.ZoneOutOfService || pool.Owner.ID == "" {
			continue
		}
		candidates = append(candidates, candidate{pool: pool, cost: p.cost(pool.ID, now)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	out := make([]topology.Pool, 0, len(candidates))
	for _, c := range candidates {
		out = append(out, c.pool)
	}
	return out
}

// cost returns the utilization of a pool, that is its running requests plus twice its waiting requests, relative to its
// capacity. It adds penalties for another zone and for a recent refusal, and a random amount to spread equal pools.
func (p *Picker) cost(id azuretiller.PoolID, now time.Time) float64 {
	cost := p.random.Float64() * 0.1
	if id.Zone != p.zone {
		cost += remoteZonePenalty
	}
	state, ok := p.states[id]
	if !ok {
		return cost
	}
	if now.Sub(state.loadAt) < loadMaxAge && state.load.Capacity > 0 {
		cost += float64(state.load.Running+2*state.load.Queued) / float64(state.load.Capacity)
	}
	if now.Sub(state.refusedAt) < refusalPenaltyDuration {
		cost += 100
	}
	return cost
}

// ObserveLoad records the load that a pool reported.
func (p *Picker) ObserveLoad(id azuretiller.PoolID, load forward.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.states[id]
	state.load = load
	state.loadAt = p.clock.Now()
	p.states[id] = state
}

// ObserveRefusal records that a pool refused a request.
func (p *Picker) ObserveRefusal(id azuretiller.PoolID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.states[id]
	state.refusedAt = p.clock.Now()
	p.states[id] = state
}
