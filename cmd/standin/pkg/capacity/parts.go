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
	"github.com/azuretiller/azuretiller/pkg/journal"
	"github.com/azuretiller/azuretiller/pkg/once"
	"github.com/azuretiller/azuretiller/pkg/ratehome"
	"github.com/azuretiller/azuretiller/pkg/record"
	"github.com/azuretiller/azuretiller/pkg/topology"
	"github.com/azuretiller/azuretiller/pkg/tree"
)

// The sizes of the target.
const (
	targetVMs      = 540
	targetTeams    = 26000
	targetRoutes   = 4400
	targetServices = 210
	targetWorkers  = 6500
	targetZones    = 5
)

// targetTree returns settings of the target's size.
func targetTree() *tree.Tree {
	branches := map[string]map[string]string{}
	for i := range targetTeams {
		branches[fmt.Sprintf("/teams/team%d/keys/%064x", i, i)] = map[string]string{"label": `"k"`}
	}
	for i := range targetRoutes {
		service := i % targetServices
		branches[fmt.Sprintf("/services/s%d/routes/r%d", service, i)] = map[string]string{"prefix": fmt.Sprintf(`"/s%d/r%d"`, service, i)}
	}
	for i := range targetWorkers {
		path := fmt.Sprintf("/services/s%d/servers/10.%d.%d.1:80", i%targetServices, i/250, i%250)
		branches[path] = map[string]string{"zone": fmt.Sprintf(`"z%d"`, i/targetServices%targetZones)}
	}
	return tree.FromBranches(branches)
}

func targetMembers() []azuretiller.VM {
	var out []azuretiller.VM
	for i := range targetVMs {
		out = append(out, azuretiller.VM{
			ID:       azuretiller.VMID(fmt.Sprintf("vm-%03d", i)),
			Zone:     azuretiller.Zone(fmt.Sprintf("z%d", i%targetZones)),
			Caller:   "10.0.0.1:80",
			Peer:     "10.0.0.1:81",
			Operator: "10.0.0.1:82",
		})
	}
	return out
}

// settings measures the settings at the target's size.
func settings() []Slope {
	before := demo.HeapBytes()
	t := targetTree()
	c, err := config.Compile(t)
	if err != nil {
		panic(errors.Wrap(err, "compile the target's settings"))
	}
	memory := demo.HeapBytes() - before
	start := time.Now()
	_, _, err = journal.Try(t, []azuretiller.Change{{Kind: azuretiller.ChangeSet, Path: "/teams/team7", Field: "rate", Value: "5"}})
	if err != nil {
		panic(errors.Wrap(err, "edit the target's settings"))
	}
	edit := time.Since(start)
	members := targetMembers()
	start = time.Now()
	top := topology.Build(c, members)
	build := time.Since(start)
	data, err := record.Encode(record.Record{ID: "x", Body: record.Checkpoint{Branches: t.Branches(), Members: members}})
	if err != nil {
		panic(errors.Wrap(err, "encode the target's checkpoint"))
	}
	pools := 0
	for _, p := range top {
		pools += len(p)
	}
	runtime.KeepAlive(c)
	return []Slope{
		{"settings_heap", memory / 1e6, "MB at the target's size"},
		{"edit_time", edit.Seconds() * 1e3, "ms to apply one edit at the target's size"},
		{"topology_time", build.Seconds() * 1e3, "ms to place all pools at the target's size"},
		{"checkpoint_size", float64(len(data)) / 1e6, "MB at the target's size"},
		{"pools", float64(pools), "pools at the target's size"},
	}
}

// decisions measures the shared decisions one by one.
func decisions() []Slope {
	members := targetMembers()
	c := &config.Config{Teams: map[azuretiller.TeamID]config.Team{}}
	const teams = 1000
	for i := range teams {
		id := azuretiller.TeamID(fmt.Sprint("team", i))
		c.Teams[id] = config.Team{ID: id, Rate: 1e6, Burst: 1e6}
	}
	now := time.Now()
	held := map[azuretiller.VMID]*ratehome.Home{}
	before := demo.HeapBytes()
	draws, first := drawAll(c, members, held, now)
	memory := (demo.HeapBytes() - before) / float64(draws)
	_, again := drawAll(c, members, held, now)
	runtime.KeepAlive(held)
	return []Slope{
		{"first_draw_time", float64(first.Nanoseconds()) / 1e3, "us the first draw from a share with 540 VMs"},
		{"draw_time", float64(again.Nanoseconds()) / 1e3, "us each further draw"},
		{"share_heap", memory, "bytes a share of a rate, with its home's part"},
		{"request_id_heap", requestIDs(), "bytes a remembered request id with a small answer"},
	}
}

// drawAll draws once from each share of each team and returns the number of draws and the mean time of one.
func drawAll(c *config.Config, members []azuretiller.VM, held map[azuretiller.VMID]*ratehome.Home, now time.Time) (int, time.Duration) {
	draws := 0
	var took time.Duration
	for id, team := range c.Teams {
		for _, vm := range ratehome.Holders(team, members) {
			h := held[vm.ID]
			if h == nil {
				h = ratehome.New(vm.ID, time.Second)
				h.Observe(members, c, now)
				h.Settled(now)
				held[vm.ID] = h
			}
			start := time.Now()
			h.Draw(ratehome.Draw{Team: id, Holder: "vm-000", Want: 1000, Lifetime: time.Second}, true, now.Add(time.Minute))
			took += time.Since(start)
			draws++
		}
	}
	return draws, took / time.Duration(draws)
}

func requestIDs() float64 {
	const count = 20000
	before := demo.HeapBytes()
	now := time.Now()
	r := once.New(now)
	for i := range count {
		key := once.Key{Team: "team", ID: azuretiller.RequestID(fmt.Sprintf("%036d", i))}
		r.Reserve(key, "owner", make([]byte, 32), now)
		r.Finish(key, "owner", once.Answer{Code: azuretiller.CodeOK, Status: 200, Body: make([]byte, 200), Kept: true}, now)
	}
	memory := (demo.HeapBytes() - before) / count
	runtime.KeepAlive(r)
	return memory
}

// requests measures what a request costs the fleet beyond what it costs callers and backend servers.
func requests(ctx context.Context) ([]Slope, error) {
	cost, err := demo.MeasureRequests(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "measure requests")
	}
	return []Slope{
		{"request_cpu", cost.CPU.Seconds() * 1e6, "us of processor time a request, all VMs together"},
		{"added_p50", cost.P50.Seconds() * 1e3, "ms added at p50, through the own VM or another one"},
		{"added_p99", cost.P99.Seconds() * 1e3, "ms added at p99"},
		{"local_p50", cost.LocalP50.Seconds() * 1e3, "ms added at p50 when the entry VM is the home"},
		{"remote_p50", cost.RemoteP50.Seconds() * 1e3, "ms added at p50 when another VM is the home"},
	}, nil
}
