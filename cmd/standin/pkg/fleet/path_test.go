package fleet

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/loopback"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/opconfig"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/worker"
)

// patience bounds how long a test waits for what must come; it is no bound on speed.
const patience = 60 * time.Second

func startFleet(t *testing.T, vms, workers int) (context.Context, *Fleet) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f, err := New(ctx, &log.Logger{Handler: logfmt.New(os.Stderr), Level: log.ErrorLevel}, vms, workers)
	require.NoError(t, err)
	t.Cleanup(func() {
		cancel()
		for _, v := range f.vms {
			<-v.done
		}
	})
	eventually(t, "all VMs know each other", func() bool {
		for i := range f.vms {
			if version, _, members, ready := f.State(i); version == "" || members != vms || !ready {
				return false
			}
		}
		return true
	})
	return ctx, f
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	require.Eventually(t, holds, patience, 10*time.Millisecond, what)
}

func (f *Fleet) setAll(fault worker.Fault, work time.Duration) {
	for _, w := range f.Workers {
		w.Set(fault, work)
	}
}

func (f *Fleet) runs(attempt string) int {
	n := 0
	for _, w := range f.Workers {
		for _, r := range w.Runs() {
			if r.Attempt == attempt {
				n++
			}
		}
	}
	return n
}

func TestRequestPassesUnchanged(t *testing.T) {
	ctx, f := startFleet(t, 3, 2)
	for i := range 3 {
		attempt := fmt.Sprint("a-", i)
		answer := f.Request(ctx, i, "POST", "/orders/x%2Fy?z=1", attempt, Key, "body")
		require.NoError(t, answer.Err)
		assert.Equal(t, 200, answer.Status)
		assert.True(t, strings.HasPrefix(answer.Body, "made by i-"))
		assert.Equal(t, attempt, answer.Headers.Get("X-Request-Attempt-Id"))
		assert.Equal(t, "signed", answer.Headers.Get("X-Response-Signature"))
		assert.Equal(t, 1, f.runs(attempt))
	}
	for _, w := range f.Workers {
		for _, r := range w.Runs() {
			assert.Equal(t, worker.Run{
				Attempt: r.Attempt, Team: Team, Deadline: r.Deadline, Method: "POST", Target: "/orders/x%2Fy?z=1", Body: "body", Host: Host, At: r.At,
			}, r)
			assert.NotEmpty(t, r.Deadline)
		}
	}
}

func TestRefusals(t *testing.T) {
	ctx, f := startFleet(t, 2, 2)
	for _, c := range []struct {
		name, path, key string
		status          int
	}{
		{"no key", "/reads/1", "", 401},
		{"unknown key", "/reads/1", "other", 401},
		{"no route", "/nothing/1", Key, 404},
		{"prefix without its slash", "/reads", Key, 404},
	} {
		answer := f.Request(ctx, 0, "GET", c.path, c.name, c.key, "")
		require.NoError(t, answer.Err, c.name)
		assert.Equal(t, c.status, answer.Status, c.name)
		assert.Zero(t, f.runs(c.name), c.name)
	}
}

// TestFaultsOfServers brings about each way in which a server's answer can be wrong, and checks what the caller gets and
// how often the request ran.
func TestFaultsOfServers(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault worker.Fault
		// order and read are the statuses of a request that may run once, and of one that may run twice.
		order, read int
		// once is how often the order ran.
		once int
	}{
		{"errors", worker.Errors, 500, 500, 1},
		{"resets", worker.Resets, 502, 502, 1},
		{"truncates", worker.Truncates, 502, 502, 1},
		{"foreign", worker.Foreign, 502, 502, 1},
		{"doubles", worker.Doubles, 200, 200, 1},
		{"sheds", worker.Sheds, 503, 503, 0},
		{"unframed", worker.Unframed, 200, 200, 1},
		{"busy without proof", worker.Busy, 502, 502, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, f := startFleet(t, 2, 3)
			f.setAll(c.fault, 0)
			order := f.Request(ctx, 0, "POST", "/orders/1", "order", Key, "b")
			require.NoError(t, order.Err)
			assert.Equal(t, c.order, order.Status)
			assert.Equal(t, c.once, f.runs("order"))
			read := f.Request(ctx, 1, "GET", "/reads/1", "read", Key, "")
			require.NoError(t, read.Err)
			assert.Equal(t, c.read, read.Status)
			if c.order == 503 {
				assert.NotEmpty(t, order.Headers.Get("Retry-After"))
			}
			if order.Status == 200 {
				assert.True(t, strings.HasPrefix(order.Body, "made by i-"), order.Body)
			}
		})
	}
}

func TestReadsAreSentToASecondServer(t *testing.T) {
	ctx, f := startFleet(t, 2, 4)
	for _, w := range f.Workers[:2] {
		w.Set(worker.Truncates, 0)
	}
	for i := range 20 {
		answer := f.Request(ctx, i%2, "GET", "/reads/1", fmt.Sprint("r-", i), Key, "")
		require.NoError(t, answer.Err)
		assert.Equal(t, 200, answer.Status)
	}
}

func TestLeavingCallerEndsTheWork(t *testing.T) {
	ctx, f := startFleet(t, 2, 1)
	f.setAll(worker.Healthy, patience)
	leaving, leave := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Request(leaving, 0, "GET", "/reads/1", "leaver", Key, "")
	}()
	eventually(t, "the request runs", func() bool { return f.runs("leaver") == 1 })
	leave()
	<-done
	eventually(t, "the server hears of it", func() bool { return f.Workers[0].Left() == 1 })
}

func TestWithdrawnKeyAndNewConfiguration(t *testing.T) {
	ctx, f := startFleet(t, 3, 2)
	f.Configure(func(resources []opconfig.Resource) []opconfig.Resource {
		for _, r := range resources {
			if r["entryKind"] == "tenants" {
				r["spec"] = map[string]any{"apiKeys": []string{"new-key"}, "ratePerS": 500, "burst": 500}
			}
		}
		return resources
	})
	for i := range 3 {
		eventually(t, "the key is withdrawn", func() bool {
			return f.Request(ctx, i, "GET", "/reads/1", "w", Key, "").Status == 401
		})
		assert.Equal(t, 200, f.Request(ctx, i, "GET", "/reads/1", "n", "new-key", "").Status)
	}
}

func TestDrainingServerGetsNoWork(t *testing.T) {
	ctx, f := startFleet(t, 2, 2)
	f.Drain(f.Workers[0])
	f.Store.Forget("keyed.servers")
	eventually(t, "the server gets no more work", func() bool {
		before := len(f.Workers[0].Runs())
		for i := range 12 {
			f.Request(ctx, i%2, "GET", "/reads/1", "d", Key, "")
		}
		return len(f.Workers[0].Runs()) == before
	})
}

func TestTeamStaysWithinItsRate(t *testing.T) {
	ctx, f := startFleet(t, 3, 4)
	version := f.Configure(func(resources []opconfig.Resource) []opconfig.Resource {
		for _, r := range resources {
			if r["entryKind"] == "tenants" {
				r["spec"] = map[string]any{"apiKeys": []string{Key}, "ratePerS": 0.01, "burst": 5}
			}
		}
		return resources
	})
	eventually(t, "the rate is in force", func() bool {
		for i := range 3 {
			if v, _, _, _ := f.State(i); v != fmt.Sprint("r", version) {
				return false
			}
		}
		return true
	})
	served := 0
	for i := range 30 {
		answer := f.Request(ctx, i%3, "GET", "/reads/1", fmt.Sprint("q-", i), Key, "")
		switch answer.Status {
		case 200:
			served++
		default:
			assert.Equal(t, 429, answer.Status)
			assert.NotEmpty(t, answer.Headers.Get("Retry-After"))
			assert.Zero(t, f.runs(fmt.Sprint("q-", i)))
		}
	}
	assert.LessOrEqual(t, served, 5)
}

func TestLossOfTheLeader(t *testing.T) {
	ctx, f := startFleet(t, 4, 4)
	leader := 0
	for i := range f.vms {
		if f.Leads(i) {
			leader = i
		}
	}
	_, before, _, _ := f.State(leader)
	f.Stop(leader)
	other := (leader + 1) % 4
	eventually(t, "another VM leads", func() bool {
		_, term, members, _ := f.State(other)
		return term > before && members == 3
	})
	assert.Equal(t, 200, f.Request(ctx, other, "POST", "/orders/1", "after", Key, "b").Status)
	f.Start(ctx, leader)
	eventually(t, "the VM is back", func() bool {
		_, term, members, ready := f.State(leader)
		return term > before && members == 4 && ready
	})
}

func TestStoreAwayHidesNothing(t *testing.T) {
	ctx, f := startFleet(t, 3, 3)
	faults := f.Store
	faults.SetFaults(storeAway())
	for i := range 12 {
		assert.Equal(t, 200, f.Request(ctx, i%3, "POST", "/orders/1", fmt.Sprint("s-", i), Key, "b").Status)
	}
}

func TestAddressesNameReadyVMsOfTheZone(t *testing.T) {
	// The port stands once in an answer for each VM that it names.
	callersPort := ":" + strconv.Itoa(loopback.PortCallers)
	ctx, f := startFleet(t, 6, 1)
	eventually(t, "all VMs of the zone are named", func() bool {
		return strings.Count(f.Addresses(ctx, 0, "zone-1").Body, callersPort) == 3
	})
	f.Stop(3)
	eventually(t, "the VM that stopped is not named", func() bool {
		return strings.Count(f.Addresses(ctx, 0, "zone-1").Body, callersPort) == 2
	})
}

func TestDrainCutsNoRequest(t *testing.T) {
	ctx, f := startFleet(t, 3, 2)
	f.setAll(worker.Healthy, 300*time.Millisecond)
	answers := make(chan Answer, 1)
	go func() { answers <- f.Request(ctx, 1, "POST", "/orders/1", "drained", Key, "b") }()
	eventually(t, "the request runs", func() bool { return f.runs("drained") == 1 })
	f.Stop(1)
	answer := <-answers
	require.NoError(t, answer.Err)
	assert.Equal(t, 200, answer.Status)
}

func TestTimeoutEndsTheRequest(t *testing.T) {
	ctx, f := startFleet(t, 2, 1)
	f.setAll(worker.Healthy, patience)
	answer := f.Request(ctx, 0, "POST", "/orders/1", "slow", Key, "b")
	require.NoError(t, answer.Err)
	assert.Equal(t, 504, answer.Status)
	assert.Equal(t, 1, f.runs("slow"))
	eventually(t, "the server hears of it", func() bool { return f.Workers[0].Left() == 1 })
}
