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

// startServe starts a fleet of one VM with one backend server and waits until it serves requests. The process may open the given number of
// descriptors.
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

// check requires what process.check does, and that operators are answered too.
func (p serveProcess) check(t *testing.T) {
	t.Helper()
	p.process.check(t)
	require.Eventually(t, func() bool {
		_, err := operatorclient.New(address(operatorPort), operatorToken).Tree(t.Context(), "/zones")
		return err == nil
	}, guardTimeout, 100*time.Millisecond, "operators are answered afterwards")
}
