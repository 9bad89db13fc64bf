package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
)

const (
	measuredRequests = 6000
	measuredCallers  = 8
)

// IdleCost is what one VM costs while there are no callers, on average over the fleet.
type IdleCost struct {
	// PeerBytes are the bytes a second that a VM writes to others.
	PeerBytes float64
	// CPU is the share of a core, with the platform's stand-in.
	CPU float64
	// Heap is in bytes.
	Heap float64
}

// MeasureIdle runs VMs without callers for a while.
func MeasureIdle(ctx context.Context, vms, zoneCount int, span time.Duration) (IdleCost, error) {
	s := newCluster(io.Discard, "error")
	defer s.close()
	before := HeapBytes()
	if err := s.startPlatform(ctx); err != nil {
		return IdleCost{}, err
	}
	var names []string
	for i := range zoneCount {
		names = append(names, fmt.Sprintf("z%02d", i))
	}
	if err := s.startVMs(ctx, names, vms/zoneCount); err != nil {
		return IdleCost{}, err
	}
	// What starting costs is over by then.
	time.Sleep(5 * time.Second)
	bytes, cpu := s.peerBytesWritten(), cpuTime()
	time.Sleep(span)
	count := float64(len(s.vms))
	cost := IdleCost{
		PeerBytes: float64(s.peerBytesWritten()-bytes) / span.Seconds() / count,
		CPU:       (cpuTime() - cpu).Seconds() / span.Seconds() / count,
	}
	cost.Heap = (HeapBytes() - before) / count
	return cost, nil
}

func (s *cluster) peerBytesWritten() int64 {
	var sum int64
	for _, v := range s.vms {
		sum += v.process.Node().Dump(context.Background()).PeerWritten
	}
	return sum
}

// HeapBytes returns the memory in use after a garbage collection.
func HeapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpuTime is the processor time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// RequestCost is what requests cost the fleet.
type RequestCost struct {
	CPU       time.Duration
	P50       time.Duration
	P99       time.Duration
	LocalP50  time.Duration
	RemoteP50 time.Duration
}

// MeasureRequests sends requests through the fleet and to a backend server directly, and returns the difference.
func MeasureRequests(ctx context.Context) (RequestCost, error) {
	s := newCluster(io.Discard, "error")
	defer s.close()
	if err := s.startPlatform(ctx); err != nil {
		return RequestCost{}, err
	}
	if err := s.startServers(ctx, nil); err != nil {
		return RequestCost{}, err
	}
	if err := s.startVMs(ctx, zones(), vmsPerZone); err != nil {
		return RequestCost{}, err
	}
	changes := append(s.initialChanges(), set("/teams/alder", "rate", "100000"), set("/teams/alder", "burst", "100000"))
	v, err := s.edit(ctx, "settings", changes...)
	if err != nil {
		return RequestCost{}, err
	}
	s.awaitRevision(v.Offset)
	time.Sleep(fleetWarmup)
	// The first run warms servers and connections.
	if _, err := s.sendRequests(ctx, s.vmAddress); err != nil {
		return RequestCost{}, err
	}
	direct, err := s.sendRequests(ctx, func(i int) string { return s.servers["orders"][i%len(s.servers["orders"])].address })
	if err != nil {
		return RequestCost{}, err
	}
	through, err := s.sendRequests(ctx, s.vmAddress)
	if err != nil {
		return RequestCost{}, err
	}
	local, err := s.sendRequests(ctx, func(i int) string { return s.zoneVMAddress(i, true) })
	if err != nil {
		return RequestCost{}, err
	}
	remote, err := s.sendRequests(ctx, func(i int) string { return s.zoneVMAddress(i, false) })
	return RequestCost{
		CPU:       through.cpu - direct.cpu,
		P50:       through.quantile(0.5) - direct.quantile(0.5),
		P99:       through.quantile(0.99) - direct.quantile(0.99),
		LocalP50:  local.quantile(0.5) - direct.quantile(0.5),
		RemoteP50: remote.quantile(0.5) - direct.quantile(0.5),
	}, err
}

func (s *cluster) vmAddress(i int) string { return s.vms[i%len(s.vms)].settings.VM.Caller }

// zoneVMAddress returns a VM of a zone that is the home of the zone's pool, or one that is not.
func (s *cluster) zoneVMAddress(i int, home bool) string {
	zone := azuretiller.Zone(zones()[i%len(zones())])
	for _, v := range s.vms {
		if v.settings.VM.Zone != zone {
			continue
		}
		p, _ := v.process.Node().Snapshot().Topology.Find(azuretiller.PoolID{Service: "orders", Zone: zone})
		if (p.Home.ID == v.settings.VM.ID) == home {
			return v.settings.VM.Caller
		}
	}
	return s.vmAddress(i)
}

type measurement struct {
	cpu   time.Duration
	times []time.Duration
}

func (m measurement) quantile(q float64) time.Duration {
	return m.times[int(float64(len(m.times)-1)*q)]
}

// sendRequests sends requests one after the other from a few callers.
func (s *cluster) sendRequests(ctx context.Context, address func(int) string) (measurement, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: measuredCallers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var group sync.WaitGroup
	var m measurement
	var failure error
	before := cpuTime()
	for caller := range measuredCallers {
		group.Go(func() {
			for i := range measuredRequests / measuredCallers {
				took, err := timeRequest(ctx, client, address(caller+i))
				mu.Lock()
				if err != nil {
					failure = err
				} else {
					m.times = append(m.times, took)
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	if len(m.times) < measuredRequests*9/10 {
		return m, errors.Wrapf(failure, "only %d of %d requests were answered", len(m.times), measuredRequests)
	}
	m.cpu = (cpuTime() - before) / measuredRequests
	slices.Sort(m.times)
	return m, nil
}

func timeRequest(ctx context.Context, client *http.Client, address string) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/orders/status/1", nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set("X-Api-Key", apiKeyOf("alder"))
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, errors.Newf("status %d", response.StatusCode)
	}
	return time.Since(start), err
}
