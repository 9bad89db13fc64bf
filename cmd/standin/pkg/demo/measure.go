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

// IdleCost is the resource use of a VM without callers, averaged over the fleet.
type IdleCost struct {
	// PeerBytesPerSecond is the number of bytes per second that a VM writes to other VMs.
	PeerBytesPerSecond float64
	// CPUCores is the number of processor cores in use. It includes the share of the platform stand-in.
	CPUCores float64
	// HeapBytes is the heap memory in use.
	HeapBytes float64
}

// MeasureIdle runs VMs without callers for the time span and returns their resource use.
func MeasureIdle(ctx context.Context, vms, zoneCount int, span time.Duration) (IdleCost, error) {
	c := newCluster(io.Discard, "error")
	defer c.close()
	heapBefore := HeapBytes()
	if err := c.startPlatform(ctx); err != nil {
		return IdleCost{}, err
	}
	var names []string
	for i := range zoneCount {
		names = append(names, fmt.Sprintf("z%02d", i))
	}
	if err := c.startVMs(ctx, names, vms/zoneCount); err != nil {
		return IdleCost{}, err
	}
	// The VMs have started up after 5 s. Their startup is not measured.
	time.Sleep(5 * time.Second)
	bytesBefore, cpuBefore := c.peerBytesWritten(), cpuTime()
	time.Sleep(span)
	count := float64(len(c.vms))
	cost := IdleCost{
		PeerBytesPerSecond: float64(c.peerBytesWritten()-bytesBefore) / span.Seconds() / count,
		CPUCores:           (cpuTime() - cpuBefore).Seconds() / span.Seconds() / count,
	}
	cost.HeapBytes = (HeapBytes() - heapBefore) / count
	return cost, nil
}

func (c *cluster) peerBytesWritten() int64 {
	var sum int64
	for _, v := range c.vms {
		sum += v.process.Runtime().Dump(context.Background()).PeerBytesWritten
	}
	return sum
}

// HeapBytes returns the heap memory in use after a garbage collection.
func HeapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// RequestCost is the mean processor time and the latency that the fleet adds to a request.
type RequestCost struct {
	CPU       time.Duration
	P50       time.Duration
	P99       time.Duration
	LocalP50  time.Duration
	RemoteP50 time.Duration
}

// MeasureRequests sends requests through the fleet and directly to backend servers, and returns the differences.
func MeasureRequests(ctx context.Context) (RequestCost, error) {
	c := newCluster(io.Discard, "error")
	defer c.close()
	if err := c.startPlatform(ctx); err != nil {
		return RequestCost{}, err
	}
	if err := c.startServers(ctx, nil); err != nil {
		return RequestCost{}, err
	}
	if err := c.startVMs(ctx, zones(), vmsPerZone); err != nil {
		return RequestCost{}, err
	}
	changes := append(c.initialChanges(), set("/teams/alder", "rate", "100000"), set("/teams/alder", "burst", "100000"))
	v, err := c.edit(ctx, "settings", changes...)
	if err != nil {
		return RequestCost{}, err
	}
	c.awaitRevision(v.Offset)
	time.Sleep(fleetWarmup)
	// The first run warms up the backend servers and connections, so its figures are discarded.
	if _, err := c.sendRequests(ctx, c.vmAddress); err != nil {
		return RequestCost{}, err
	}
	direct, err := c.sendRequests(ctx, func(i int) string { return c.servers["orders"][i%len(c.servers["orders"])].address })
	if err != nil {
		return RequestCost{}, err
	}
	viaFleet, err := c.sendRequests(ctx, c.vmAddress)
	if err != nil {
		return RequestCost{}, err
	}
	local, err := c.sendRequests(ctx, func(i int) string { return c.zoneVMAddress(i, true) })
	if err != nil {
		return RequestCost{}, err
	}
	remote, err := c.sendRequests(ctx, func(i int) string { return c.zoneVMAddress(i, false) })
	return RequestCost{
		CPU:       viaFleet.cpu - direct.cpu,
		P50:       viaFleet.quantile(0.5) - direct.quantile(0.5),
		P99:       viaFleet.quantile(0.99) - direct.quantile(0.99),
		LocalP50:  local.quantile(0.5) - direct.quantile(0.5),
		RemoteP50: remote.quantile(0.5) - direct.quantile(0.5),
	}, err
}

func (c *cluster) vmAddress(i int) string { return c.vms[i%len(c.vms)].settings.VM.CallerAddress }

// zoneVMAddress returns the callers' address of a VM in the i-th zone. The VM is the owner of the zone's pool of the orders
// service if owner is true, and another VM otherwise. If the zone has no such VM, it returns the i-th VM's address.
func (c *cluster) zoneVMAddress(i int, owner bool) string {
	zone := azuretiller.Zone(zones()[i%len(zones())])
	for _, v := range c.vms {
		if v.settings.VM.Zone != zone {
			continue
		}
		p, _ := v.process.Runtime().Snapshot().Topology.Find(azuretiller.PoolID{Service: "orders", Zone: zone})
		if (p.Owner.ID == v.settings.VM.ID) == owner {
			return v.settings.VM.CallerAddress
		}
	}
	return c.vmAddress(i)
}

type measurement struct {
	// cpu is the processor time per request.
	cpu   time.Duration
	times []time.Duration
}

func (m measurement) quantile(q float64) time.Duration {
	return m.times[int(float64(len(m.times)-1)*q)]
}

// sendRequests sends requests from several concurrent callers, each of which sends one request at a time.
func (c *cluster) sendRequests(ctx context.Context, address func(int) string) (measurement, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: measuredCallers}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var group sync.WaitGroup
	var m measurement
	var lastErr error
	before := cpuTime()
	for caller := range measuredCallers {
		group.Go(func() {
			for i := range measuredRequests / measuredCallers {
				took, err := timeRequest(ctx, client, address(caller+i))
				mu.Lock()
				if err != nil {
					lastErr = err
				} else {
					m.times = append(m.times, took)
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	if len(m.times) < measuredRequests*9/10 {
		return m, errors.Wrapf(lastErr, "only %d of %d requests succeeded", len(m.times), measuredRequests)
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
