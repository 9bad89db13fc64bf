package picker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/exchange"
	"github.com/azuretiller/azuretiller/pkg/topology"
)

const (
	// trust is how long a pool's word on its load counts.
	trust = time.Second
	// avoid is how long a pool that refused is asked last.
	avoid = 200 * time.Millisecond
	// localBonus is the share of capacity by which the own zone may be busier than another one.
	localBonus = 0.5
)

// Picker remembers the load that pools told with their answers.
type Picker struct {
	zone  azuretiller.Zone
	clock azuretiller.Clock

	mu     sync.Mutex
	random *rand.Rand
	known  map[azuretiller.PoolID]knowledge
}

type knowledge struct {
	load      exchange.Load
	at        time.Time
	refusedAt time.Time
}

// New returns a picker for an entry VM in a zone.
func New(zone azuretiller.Zone, clock azuretiller.Clock, random *rand.Rand) *Picker {
	return &Picker{zone: zone, clock: clock, random: random, known: map[azuretiller.PoolID]knowledge{}}
}

// Order returns the pools that take work, the best first.
func (p *Picker) Order(pools []topology.Pool) []topology.Pool {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	type scored struct {
		pool  topology.Pool
		score float64
	}
	var scores []scored
	for _, pool := range pools {
		if pool.Out || pool.Home.ID == "" {
			continue
		}
		scores = append(scores, scored{pool: pool, score: p.pressure(pool.ID, now)})
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	out := make([]topology.Pool, 0, len(scores))
	for _, s := range scores {
		out = append(out, s.pool)
	}
	return out
}

// pressure is the share of a pool's capacity that is taken or waited for, lower for the own zone.
func (p *Picker) pressure(id azuretiller.PoolID, now time.Time) float64 {
	pressure := p.random.Float64() * 0.1
	if id.Zone != p.zone {
		pressure += localBonus
	}
	k, ok := p.known[id]
	if !ok {
		return pressure
	}
	if now.Sub(k.at) < trust && k.load.Capacity > 0 {
		pressure += float64(k.load.Busy+2*k.load.Waiting) / float64(k.load.Capacity)
	}
	if now.Sub(k.refusedAt) < avoid {
		pressure += 100
	}
	return pressure
}

// Heard notes the load that a pool told.
func (p *Picker) Heard(id azuretiller.PoolID, load exchange.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.known[id]
	k.load = load
	k.at = p.clock.Now()
	p.known[id] = k
}

// Refused notes that a pool did not take a request.
func (p *Picker) Refused(id azuretiller.PoolID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := p.known[id]
	k.refusedAt = p.clock.Now()
	p.known[id] = k
}
