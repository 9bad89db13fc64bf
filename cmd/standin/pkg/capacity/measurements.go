package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/demo"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/idempotency"
	"github.com/azuretiller/azuretiller/pkg/logstate"
	"github.com/azuretiller/azuretiller/pkg/rateshare"
	"github.com/azuretiller/azuretiller/pkg/record"
	"github.com/azuretiller/azuretiller/pkg/topology"
	"github.com/azuretiller/azuretiller/pkg/tree"
)

// The sizes of the fleet, and of its settings, that the system is designed for. The units of the figures call them the target's
// size.
const (
	targetVMs      = 540
	targetTeams    = 26000
	targetRoutes   = 4400
	targetServices = 210
	targetServers  = 6500
	targetZones    = 5
)

// targetTree returns settings with the target numbers of teams, routes and backend servers.
func targetTree() *tree.Tree {
	branches := map[string]map[string]string{}
	for i := range targetTeams {
		branches[fmt.Sprintf("/teams/team%d/keys/%064x", i, i)] = map[string]string{"label": `"k"`}
	}
	for i := range targetRoutes {
		service := i % targetServices
		branches[fmt.Sprintf("/services/s%d/routes/r%d", service, i)] = map[string]string{"prefix": fmt.Sprintf(`"/s%d/r%d"`, service, i)}
	}
	for i := range targetServers {
		path := fmt.Sprintf("/services/s%d/servers/10.%d.%d.1:80", i%targetServices, i/250, i%250)
		branches[path] = map[string]string{"zone": fmt.Sprintf(`"z%d"`, i/targetServices%targetZones)}
	}
	return tree.FromBranches(branches)
}

func targetVMList() []azuretiller.VM {
	var out []azuretiller.VM
	for i := range targetVMs {
		out = append(out, azuretiller.VM{
			ID:              azuretiller.VMID(fmt.Sprintf("vm-%03d", i)),
			Zone:            azuretiller.Zone(fmt.Sprintf("z%d", i%targetZones)),
			CallerAddress:   "10.0.0.1:80",
			PeerAddress:     "10.0.0.1:81",
			OperatorAddress: "10.0.0.1:82",
		})
	}
	return out
}

// settingsFigures measures the memory and processing time of settings of the target size.
func settingsFigures() []Figure {
	before := demo.HeapBytes()
	t := targetTree()
	c, err := config.Compile(t)
	if err != nil {
		panic(errors.Wrap(err, "compile settings of the target size"))
	}
	memory := demo.HeapBytes() - before
	start := time.Now()
	_, _, err = logstate.ApplyChanges(t, []azuretiller.Change{{Kind: azuretiller.ChangeSet, Path: "/teams/team7", Field: "rate", Value: "5"}})
	if err != nil {
		panic(errors.Wrap(err, "edit settings of the target size"))
	}
	editTime := time.Since(start)
	members := targetVMList()
	start = time.Now()
	pools := topology.Build(c, members)
	buildTime := time.Since(start)
	data, err := record.Encode(record.Record{ID: "x", Body: record.Checkpoint{Branches: t.Branches(), Members: members}})
	if err != nil {
		panic(errors.Wrap(err, "encode checkpoint of the target size"))
	}
	poolCount := 0
	for _, p := range pools {
		poolCount += len(p)
	}
	runtime.KeepAlive(c)
	return []Figure{
		{"settings_heap", memory / 1e6, "MB at the target's size"},
		{"edit_time", editTime.Seconds() * 1e3, "ms to apply one edit at the target's size"},
		{"topology_time", buildTime.Seconds() * 1e3, "ms to place all pools at the target's size"},
		{"checkpoint_size", float64(len(data)) / 1e6, "MB at the target's size"},
		{"pools", float64(poolCount), "pools at the target's size"},
	}
}

// sharedStateFigures measures the time of draws from rate shares, and the heap memory of rate shares and of remembered request
// IDs.
func sharedStateFigures() []Figure {
	members := targetVMList()
	c := &config.Config{Teams: map[azuretiller.TeamID]config.Team{}}
	const teams = 1000
	for i := range teams {
		id := azuretiller.TeamID(fmt.Sprint("team", i))
		c.Teams[id] = config.Team{ID: id, Rate: 1e6, Burst: 1e6}
	}
	now := time.Now()
	managers := map[azuretiller.VMID]*rateshare.Manager{}
	before := demo.HeapBytes()
	draws, firstDraw := drawAll(c, members, managers, now)
	memory := (demo.HeapBytes() - before) / float64(draws)
	_, nextDraw := drawAll(c, members, managers, now)
	runtime.KeepAlive(managers)
	return []Figure{
		{"first_draw_time", float64(firstDraw.Nanoseconds()) / 1e3, "us the first draw from a share with 540 VMs"},
		{"draw_time", float64(nextDraw.Nanoseconds()) / 1e3, "us each further draw"},
		{"share_heap", memory, "bytes a share of a rate, with its owner's part"},
		{"request_id_heap", requestIDHeap(), "bytes a stored request id with a small answer"},
	}
}

// drawAll draws once from each share of each team. It returns the number of draws and the mean time of a draw.
func drawAll(c *config.Config, members []azuretiller.VM, managers map[azuretiller.VMID]*rateshare.Manager, now time.Time) (int, time.Duration) {
	draws := 0
	var total time.Duration
	for id, team := range c.Teams {
		for _, vm := range rateshare.Owners(team, members) {
			m := managers[vm.ID]
			if m == nil {
				m = rateshare.New(vm.ID, time.Second)
				m.Observe(members, c, now)
				m.MarkSettled(now)
				managers[vm.ID] = m
			}
			start := time.Now()
			m.Draw(rateshare.DrawRequest{Team: id, EntryVM: "vm-000", Want: 1000, Lifetime: time.Second}, true, now.Add(time.Minute))
			total += time.Since(start)
			draws++
		}
	}
	return draws, total / time.Duration(draws)
}

func requestIDHeap() float64 {
	const count = 20000
	before := demo.HeapBytes()
	now := time.Now()
	store := idempotency.New(now, 0)
	for i := range count {
		key := idempotency.Key{Team: "team", ID: azuretiller.RequestID(fmt.Sprintf("%036d", i))}
		store.Reserve(key, "owner", make([]byte, 32), now)
		store.Finish(key, "owner", idempotency.Response{Code: azuretiller.CodeOK, Status: 200, Body: make([]byte, 200), Replayable: true}, now)
	}
	memory := (demo.HeapBytes() - before) / count
	runtime.KeepAlive(store)
	return memory
}

// requestFigures measures the processor time and latency that the fleet adds to a request, without the cost of callers and
// backend servers.
func requestFigures(ctx context.Context) ([]Figure, error) {
	cost, err := demo.MeasureRequests(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "measure requests")
	}
	return []Figure{
		{"request_cpu", cost.CPU.Seconds() * 1e6, "us of processor time a request, all VMs together"},
		{"added_p50", cost.P50.Seconds() * 1e3, "ms added at p50, through the own VM or another one"},
		{"added_p99", cost.P99.Seconds() * 1e3, "ms added at p99"},
		{"local_p50", cost.LocalP50.Seconds() * 1e3, "ms added at p50 when the entry VM is the owner"},
		{"remote_p50", cost.RemoteP50.Seconds() * 1e3, "ms added at p50 when another VM is the owner"},
	}, nil
}
