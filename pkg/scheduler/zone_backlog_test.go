package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestBacklogIsServedWithKeepInZone guards against slots that stay free for requests of their zone while the whole service is short: with
// 3 times the capacity, also if one zone has most of the demand, as many requests get a server as without KeepInZone. Only decisions are
// counted.
func TestBacklogIsServedWithKeepInZone(t *testing.T) {
	for _, c := range []struct {
		name   string
		demand []float64
	}{
		{"even demand", []float64{1, 1, 1}},
		{"uneven demand", []float64{2.4, 0.5, 0.1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var assigned [2]int
			for i, p := range []Params{todaysParams(), keepingParams()} {
				sim := newZoneSimulation(zoneWorkload{
					servers: []int{15, 15, 15}, slots: 2, serviceTime: 160 * time.Millisecond, load: 3, routes: mixedRoutes(), duration: 6 * time.Second, closedZone: -1,
					demand: func(zone int) float64 { return c.demand[zone] },
				}, 1, p)
				sim.record = true
				sim.run()
				for _, d := range sim.decisions {
					if d.Ticket != 0 {
						assigned[i]++
					}
				}
			}
			t.Logf("%d requests got a server without KeepInZone, and %d with it", assigned[0], assigned[1])
			assert.GreaterOrEqual(t, float64(assigned[1]), 0.99*float64(assigned[0]))
		})
	}
}
