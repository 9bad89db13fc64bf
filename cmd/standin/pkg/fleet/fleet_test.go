package fleet

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/backendserver"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/invalidentry"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/loopback"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/operatorconfig"
	"github.com/azuretiller/azuretiller/platform"
)

// testTimeout bounds how long a test waits for an expected condition. It is generous, as the tests do not check speed.
const testTimeout = 60 * time.Second

func startFleet(t *testing.T, vms, servers int, entries ...invalidentry.Entry) (context.Context, *Fleet) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	f, err := New(ctx, &log.Logger{Handler: logfmt.New(os.Stderr), Level: log.ErrorLevel}, vms, servers, entries...)
	require.NoError(t, err)
	t.Cleanup(func() {
		cancel()
		for _, v := range f.vms {
			<-v.done
		}
	})
	eventually(t, "every VM is ready and its membership view lists all VMs", func() bool {
		for i := range f.vms {
			if version, _, members, ready := f.State(i); version == "" || members != vms || !ready {
				return false
			}
		}
		return true
	})
	return ctx, f
}

func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	require.Eventually(t, holds, testTimeout, 10*time.Millisecond, condition)
}

func (f *Fleet) setServers(fault backendserver.Fault, serviceTime time.Duration) {
	for _, server := range f.Servers {
		server.SetFault(fault, serviceTime)
	}
}

func (f *Fleet) countRuns(attempt string) int {
	n := 0
	for _, server := range f.Servers {
		for _, r := range server.Runs() {
			if r.Attempt == attempt {
				n++
			}
		}
	}
	return n
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	ctx, f := startFleet(t, 3, 2)
	for i := range 3 {
		attempt := fmt.Sprint("a-", i)
		response := f.Request(ctx, i, "POST", "/orders/x%2Fy?z=1", attempt, Key, "body")
		require.NoError(t, response.Err)
		assert.Equal(t, 200, response.Status)
		assert.True(t, strings.HasPrefix(response.Body, "made by i-"))
		assert.Equal(t, attempt, response.Headers.Get("X-Request-Attempt-Id"))
		assert.Equal(t, "signed", response.Headers.Get("X-Response-Signature"))
		assert.Equal(t, 1, f.countRuns(attempt))
	}
	for _, server := range f.Servers {
		for _, r := range server.Runs() {
			assert.Equal(t, backendserver.Run{
				Attempt: r.Attempt, Team: Team, Deadline: r.Deadline, Method: "POST", Target: "/orders/x%2Fy?z=1", Body: "body", Host: Host, At: r.At,
			}, r)
			assert.NotEmpty(t, r.Deadline)
		}
	}
}

func TestRequestWithoutKeyOrRouteIsRejected(t *testing.T) {
	ctx, f := startFleet(t, 2, 2)
	for _, c := range []struct {
		name, path, key string
		status          int
	}{
		{"no key", "/reads/1", "", 401},
		{"unknown key", "/reads/1", "other", 401},
		{"no route", "/nothing/1", Key, 404},
		{"path prefix without its trailing slash", "/reads", Key, 404},
	} {
		response := f.Request(ctx, 0, "GET", c.path, c.name, c.key, "")
		require.NoError(t, response.Err, c.name)
		assert.Equal(t, c.status, response.Status, c.name)
		assert.Zero(t, f.countRuns(c.name), c.name)
	}
}

// TestBackendServerFaults injects each fault of a backend server, and checks the status that the caller gets and how often the
// request ran.
func TestBackendServerFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault backendserver.Fault
		// orderStatus is the expected status of an order, which must run at most once, and readStatus that of a read, which
		// may be retried.
		orderStatus, readStatus int
		// orderRuns is the expected number of times that the order runs.
		orderRuns int
	}{
		{"errors", backendserver.InternalError, 500, 500, 1},
		{"resets", backendserver.CloseConnection, 502, 502, 1},
		{"truncates", backendserver.TruncateResponse, 502, 502, 1},
		{"foreign", backendserver.WrongAttemptID, 502, 502, 1},
		{"doubles", backendserver.DuplicateResponse, 200, 200, 1},
		{"sheds", backendserver.RejectNotRun, 503, 503, 0},
		{"unframed", backendserver.OmitContentLength, 200, 200, 1},
		{"503 without proof that the request did not run", backendserver.RejectWithoutNotRun, 502, 502, 1},
		{"errors of another request", backendserver.ForeignError, 502, 502, 1},
		{"sends headers without end", backendserver.EndlessHead, 502, 502, 1},
		{"sends short headers without end", backendserver.EndlessShortHeaders, 502, 502, 1},
		{"sends a status line without end", backendserver.EndlessStatusLine, 502, 502, 1},
		{"sends interim responses without end", backendserver.EndlessInterimResponses, 502, 502, 1},
		{"sends a chunk extension without end", backendserver.EndlessChunkExtension, 502, 502, 1},
		{"sends trailers without end", backendserver.EndlessTrailers, 502, 502, 1},
		{"sends status 000", backendserver.InvalidStatus, 502, 502, 1},
		{"goes on after a complete response", backendserver.EndlessRest, 200, 200, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, f := startFleet(t, 2, 3)
			f.setServers(c.fault, 0)
			order := f.Request(ctx, 0, "POST", "/orders/1", "order", Key, "b")
			require.NoError(t, order.Err)
			assert.Equal(t, c.orderStatus, order.Status)
			assert.Equal(t, c.orderRuns, f.countRuns("order"))
			read := f.Request(ctx, 1, "GET", "/reads/1", "read", Key, "")
			require.NoError(t, read.Err)
			assert.Equal(t, c.readStatus, read.Status)
			if c.orderStatus == 503 {
				assert.NotEmpty(t, order.Headers.Get("Retry-After"))
			}
			if order.Status == 200 {
				assert.True(t, strings.HasPrefix(order.Body, "made by i-"), order.Body)
			}
		})
	}
}

// TestRepeatedRefusalIsNotBelieved guards against a server that repeats an earlier refusal after it has run a request: the caller is told
// that the request did not run, or the request runs again on another server.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	ctx, f := startFleet(t, 2, 3)
	f.setServers(backendserver.RepeatRefusal, 0)
	ran := 0
	for i := range 20 {
		attempt := fmt.Sprint("order-", i)
		response := f.Request(ctx, i%2, "POST", "/orders/1", attempt, Key, "b")
		require.NoError(t, response.Err)
		runs := f.countRuns(attempt)
		ran += runs
		if platform.PromisesNotRun(response.Status) {
			assert.Zero(t, runs, attempt)
			continue
		}
		assert.Equal(t, 502, response.Status)
		assert.Equal(t, 1, runs, attempt)
	}
	assert.Positive(t, ran)
}

// TestEndlessResponseIsAborted guards against a response without end that occupies a VM or its server, or that looks complete.
func TestEndlessResponseIsAborted(t *testing.T) {
	ctx, f := startFleet(t, 2, 2)
	disconnects := func() int { return f.Servers[0].Disconnects() + f.Servers[1].Disconnects() }
	f.setServers(backendserver.EndlessHead, 0)
	response := f.Request(ctx, 0, "POST", "/orders/1", "head", Key, "b")
	require.NoError(t, response.Err)
	assert.Equal(t, 502, response.Status)
	eventually(t, "the connection with the endless head is closed", func() bool { return disconnects() == 1 })
	f.setServers(backendserver.EndlessBody, 0)
	response = f.Request(ctx, 1, "POST", "/orders/1", "body", Key, "b")
	assert.Equal(t, 200, response.Status)
	require.ErrorIs(t, response.Err, io.ErrUnexpectedEOF)
	eventually(t, "the connection with the endless body is closed", func() bool { return disconnects() == 2 })
	assert.Equal(t, 1, f.countRuns("head"))
	assert.Equal(t, 1, f.countRuns("body"))
}

func TestReadIsRetriedOnAnotherServer(t *testing.T) {
	ctx, f := startFleet(t, 2, 4)
	for _, server := range f.Servers[:2] {
		server.SetFault(backendserver.TruncateResponse, 0)
	}
	for i := range 20 {
		response := f.Request(ctx, i%2, "GET", "/reads/1", fmt.Sprint("r-", i), Key, "")
		require.NoError(t, response.Err)
		assert.Equal(t, 200, response.Status)
	}
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	ctx, f := startFleet(t, 2, 1)
	f.setServers(backendserver.Healthy, testTimeout)
	callerCtx, disconnect := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Request(callerCtx, 0, "GET", "/reads/1", "leaver", Key, "")
	}()
	eventually(t, "the request is running", func() bool { return f.countRuns("leaver") == 1 })
	disconnect()
	<-done
	eventually(t, "the connection to the backend server is closed", func() bool { return f.Servers[0].Disconnects() == 1 })
}

func TestRevokedKeyIsRejected(t *testing.T) {
	ctx, f := startFleet(t, 3, 2)
	f.Configure(func(resources []operatorconfig.Resource) []operatorconfig.Resource {
		for _, r := range resources {
			if r["entryKind"] == "tenants" {
				r["spec"] = map[string]any{"apiKeys": []string{"new-key"}, "ratePerS": 500, "burst": 500}
			}
		}
		return resources
	})
	for i := range 3 {
		eventually(t, "the revoked key is rejected", func() bool {
			return f.Request(ctx, i, "GET", "/reads/1", "w", Key, "").Status == 401
		})
		assert.Equal(t, 200, f.Request(ctx, i, "GET", "/reads/1", "n", "new-key", "").Status)
	}
}

func TestDrainingServerGetsNoRequests(t *testing.T) {
	ctx, f := startFleet(t, 2, 2)
	f.Drain(f.Servers[0])
	f.Store.DropHistory("keyed.servers")
	eventually(t, "the draining server gets no more requests", func() bool {
		before := len(f.Servers[0].Runs())
		for i := range 12 {
			f.Request(ctx, i%2, "GET", "/reads/1", "d", Key, "")
		}
		return len(f.Servers[0].Runs()) == before
	})
}

func TestTeamStaysWithinItsRate(t *testing.T) {
	ctx, f := startFleet(t, 3, 4)
	version := f.Configure(func(resources []operatorconfig.Resource) []operatorconfig.Resource {
		for _, r := range resources {
			if r["entryKind"] == "tenants" {
				r["spec"] = map[string]any{"apiKeys": []string{Key}, "ratePerS": 0.01, "burst": 5}
			}
		}
		return resources
	})
	eventually(t, "all VMs have applied the configuration with the lower rate", func() bool {
		for i := range 3 {
			if v, _, _, _ := f.State(i); v != fmt.Sprint("r", version) {
				return false
			}
		}
		return true
	})
	served := 0
	for i := range 30 {
		response := f.Request(ctx, i%3, "GET", "/reads/1", fmt.Sprint("q-", i), Key, "")
		switch response.Status {
		case 200:
			served++
		default:
			assert.Equal(t, 429, response.Status)
			assert.NotEmpty(t, response.Headers.Get("Retry-After"))
			assert.Zero(t, f.countRuns(fmt.Sprint("q-", i)))
		}
	}
	assert.LessOrEqual(t, served, 5)
}

func TestLeaderFailover(t *testing.T) {
	ctx, f := startFleet(t, 4, 4)
	leader := 0
	for i := range f.vms {
		if f.IsLeader(i) {
			leader = i
		}
	}
	_, termBefore, _, _ := f.State(leader)
	f.Stop(leader)
	other := (leader + 1) % 4
	eventually(t, "another VM is elected leader", func() bool {
		_, term, members, _ := f.State(other)
		return term > termBefore && members == 3
	})
	assert.Equal(t, 200, f.Request(ctx, other, "POST", "/orders/1", "after", Key, "b").Status)
	f.Start(ctx, leader)
	eventually(t, "the restarted VM is ready and sees all members", func() bool {
		_, term, members, ready := f.State(leader)
		return term > termBefore && members == 4 && ready
	})
}

func TestRequestsAreServedWhileStoreIsUnavailable(t *testing.T) {
	ctx, f := startFleet(t, 3, 3)
	store := f.Store
	store.SetFaults(storeUnavailable())
	for i := range 12 {
		assert.Equal(t, 200, f.Request(ctx, i%3, "POST", "/orders/1", fmt.Sprint("s-", i), Key, "b").Status)
	}
}

// hasVersion reports whether all VMs have applied a version of the configuration.
func (f *Fleet) hasVersion(version int) bool {
	for i := range f.vms {
		if v, _, _, _ := f.State(i); v != fmt.Sprint("r", version) {
			return false
		}
	}
	return true
}

// TestConfigurationIsAppliedAfterStoreRestore guards against configurations that are never applied, because their offset was already
// read before the store came back from a copy.
func TestConfigurationIsAppliedAfterStoreRestore(t *testing.T) {
	_, f := startFleet(t, 3, 2)
	c := f.Store.Copy()
	lost := 0
	for range 4 {
		lost = f.Configure(nil)
	}
	eventually(t, "all VMs have the newest configuration", func() bool { return f.hasVersion(lost) })
	rewrite := f.Store.Restore(c)
	rewrite()
	version := f.Configure(nil)
	eventually(t, "all VMs have the configuration that was written after the restore", func() bool { return f.hasVersion(version) })
}

func TestAddressLookupReturnsRunningVMsOfZone(t *testing.T) {
	// The response contains the port once for each VM that it lists.
	callersPort := ":" + strconv.Itoa(loopback.CallerPort)
	ctx, f := startFleet(t, 6, 1)
	eventually(t, "the response lists all VMs of the zone", func() bool {
		return strings.Count(f.Addresses(ctx, 0, "zone-1").Body, callersPort) == 3
	})
	f.Stop(3)
	eventually(t, "the response no longer lists the stopped VM", func() bool {
		return strings.Count(f.Addresses(ctx, 0, "zone-1").Body, callersPort) == 2
	})
}

func TestStoppingVMFinishesRunningRequest(t *testing.T) {
	ctx, f := startFleet(t, 3, 2)
	f.setServers(backendserver.Healthy, 300*time.Millisecond)
	responses := make(chan Response, 1)
	go func() { responses <- f.Request(ctx, 1, "POST", "/orders/1", "drained", Key, "b") }()
	eventually(t, "the request is running", func() bool { return f.countRuns("drained") == 1 })
	f.Stop(1)
	response := <-responses
	require.NoError(t, response.Err)
	assert.Equal(t, 200, response.Status)
}

func TestRequestTimesOut(t *testing.T) {
	ctx, f := startFleet(t, 2, 1)
	f.setServers(backendserver.Healthy, testTimeout)
	response := f.Request(ctx, 0, "POST", "/orders/1", "slow", Key, "b")
	require.NoError(t, response.Err)
	assert.Equal(t, 504, response.Status)
	assert.Equal(t, 1, f.countRuns("slow"))
	eventually(t, "the connection to the backend server is closed", func() bool { return f.Servers[0].Disconnects() == 1 })
}
