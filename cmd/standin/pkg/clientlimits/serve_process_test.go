package clientlimits

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/loopback"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/platformserver"
	"github.com/azuretiller/azuretiller/pkg/headers"
	"github.com/azuretiller/azuretiller/pkg/memlog"
	"github.com/azuretiller/azuretiller/pkg/operator"
	"github.com/azuretiller/azuretiller/pkg/operatorclient"
)

const (
	operatorToken = "token-of-the-operators"
	// operatorPort is the port of the operators' listener of "azuretiller serve".
	operatorPort = 18050
	keptRecords  = 1000
	// serveSlots is the number of requests that the backend server runs at the same time.
	serveSlots = 1000
	// slowPath is a path whose requests run until the test ends, and largePath one whose responses no buffer of the kernel holds.
	slowPath         = "/reads/slow"
	largePath        = "/reads/large"
	largeResponse    = 64 << 20
	appendsPerSecond = 300
)

// serveProcess is a running process of "azuretiller serve".
type serveProcess struct {
	*process
}

// startServe starts a fleet of one VM with one backend server and waits until it serves requests. The VM may open as many descriptors as
// given.
func startServe(t *testing.T, descriptors int) serveProcess {
	t.Helper()
	folder := t.TempDir()
	program := buildProgram(t, folder)
	platform := httptest.NewServer(platformserver.New(memlog.New(keptRecords), operatorToken, appendsPerSecond, time.Second))
	t.Cleanup(platform.Close)
	require.NoError(t, os.WriteFile(filepath.Join(folder, "token"), []byte(operatorToken), 0o600))
	settings := filepath.Join(folder, "vm.json")
	require.NoError(t, os.WriteFile(settings, []byte(formatServeSettings(platform.URL)), 0o600))
	// The shell sets the limit of the kernel, which the process cannot exceed, and is replaced by the program.
	command := exec.CommandContext(t.Context(), "sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors), program, "serve", "--config", settings)
	p := serveProcess{start(t, command, folder)}
	p.maxFds = descriptors
	p.configure(t)
	p.requireAnswer(t, "at the start")
	return p
}

func formatServeSettings(platform string) string {
	return fmt.Sprintf(`{"vm": "vm-0", "zone": "zone-0", "caller": %q, "peer": %q, "operator": %q, "secret": "token", "token": "token",
"platform": {"url": %q, "token": "token"}, "headers": %d, "drain": "1s", "grace": "30s", "log": {"level": "error"}}`,
		address(loopback.CallerPort), address(loopback.PeerPort), address(operatorPort), platform, maxHeaderBytes)
}

// configure writes the operators' settings: routes to a backend server, and a team.
func (p serveProcess) configure(t *testing.T) {
	t.Helper()
	stopped := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == slowPath {
			select {
			case <-stopped:
			case <-r.Context().Done():
			}
		}
		serveBackend(w, r)
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(stopped) })
	set := func(path, name, value string) operator.Change {
		return operator.Change{Kind: "set", Path: path, Field: name, Value: value}
	}
	backendServer := "/services/orders/servers/" + strings.TrimPrefix(server.URL, "http://")
	changes := []operator.Change{
		set("/teams", "rate", "100000"),
		set("/teams", "burst", "100000"),
		set("/services", "timeout", `"20s"`),
		set("/services/orders/routes/reads", "prefix", `"/reads"`),
		set("/services/orders/routes/orders", "prefix", `"/orders"`),
		set("/services/orders/routes/orders", "idempotent", `"no"`),
		set("/teams/team-a/keys/"+string(azuretiller.HashKey(key)), "label", `"test"`),
		set("/zones/zone-0", "out", "false"),
		set(backendServer, "zone", `"zone-0"`),
		set(backendServer, "slots", strconv.Itoa(serveSlots)),
	}
	client := operatorclient.New(address(operatorPort), operatorToken)
	require.Eventually(t, func() bool {
		tree, err := client.Tree(t.Context(), "/zones")
		if err != nil {
			return false
		}
		v, determined, err := client.Edit(t.Context(), operator.Edit{Base: tree.Revision, Operator: "test", Comment: "settings", Changes: changes})
		return err == nil && determined && v.Accepted
	}, guardTimeout, 100*time.Millisecond, "the operators' settings are accepted")
}

// serveBackend is the handler of the backend server.
func serveBackend(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(headers.RequestID, r.Header.Get(headers.RequestID))
	if r.URL.Path == largePath {
		_, _ = w.Write(make([]byte, largeResponse))
	}
}

// requireAnswer requires that the process answers an ordinary request of a caller.
func (p serveProcess) requireAnswer(t *testing.T, when string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: guardTimeout}
	require.Eventually(t, func() bool {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address(loopback.CallerPort)+"/reads/1", nil)
		if err != nil {
			return false
		}
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := client.Do(request)
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return err == nil && response.StatusCode == http.StatusOK
	}, guardTimeout, 100*time.Millisecond, "an ordinary request is answered "+when)
}

// check requires that the process lives, answers callers and operators, and has stayed within its memory and descriptors.
func (p serveProcess) check(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		require.Fail(t, "the process has ended")
	default:
	}
	p.requireAnswer(t, "afterwards")
	require.Eventually(t, func() bool {
		_, err := operatorclient.New(address(operatorPort), operatorToken).Tree(t.Context(), "/zones")
		return err == nil
	}, guardTimeout, 100*time.Millisecond, "operators are answered afterwards")
	p.mu.Lock()
	peakFds := p.peakFds
	p.mu.Unlock()
	peakMemory := p.peakMemory(t)
	t.Logf("peak of the resident set %d MiB, of the descriptors %d", peakMemory>>20, peakFds)
	assert.LessOrEqual(t, peakMemory>>20, memoryMB, "resident set in MiB")
	assert.LessOrEqual(t, peakFds, p.maxFds, "open descriptors")
}
