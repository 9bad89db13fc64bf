package scheduler

import (
	"fmt"
	"hash/fnv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestRequestsAreNotKeptInZonesByDefault guards against a change of placement in deployments that do not keep requests in their zones: the
// decisions of this workload are those of the scheduler before package zoneflow existed.
func TestRequestsAreNotKeptInZonesByDefault(t *testing.T) {
	for _, c := range []struct {
		workload zoneWorkload
		hash     uint64
	}{
		{fewLargeServers(0.6, 0.3), 0x0031b387c044bb87},
		{manySmallServers(0.3, 0.3), 0xf47897ed53afb7d6},
	} {
		c.workload.duration = 12 * time.Second
		sim := newZoneSimulation(c.workload, 3, todaysParams())
		sim.record = true
		t.Log(sim.run())
		hash := fnv.New64a()
		for _, d := range sim.decisions {
			_, _ = fmt.Fprintln(hash, d.Key, d.Ticket, d.Server.ID, d.Code, d.Queued, d.QueueTime, d.CrossZone)
		}
		assert.Equal(t, c.hash, hash.Sum64())
	}
}
