package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/faultproxy"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/loopback"
	"github.com/azuretiller/azuretiller/platform"
)

// graceSeconds is the time from SIGTERM to SIGKILL.
const graceSeconds = 3

// vm is one process of the program.
type vm struct {
	index   int
	ip      string
	folder  string
	program string
	// store is the VM's own path to the store.
	store *faultproxy.Proxy

	// restarting is held while the process is replaced, so that overlapping faults do not run it twice.
	restarting sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	// ended is closed when the process is gone, and wanted tells that the soak ended it.
	ended  chan struct{}
	wanted bool
	// exits counts the processes that ended by themselves.
	exits int
}

func (v *vm) callers() string   { return fmt.Sprintf("%s:%d", v.ip, loopback.PortCallers) }
func (v *vm) addresses() string { return fmt.Sprintf("%s:%d", v.ip, loopback.PortAddresses) }

func (v *vm) settings(vms int) string {
	seeds := ""
	for i := range min(vms, 3) {
		seeds += fmt.Sprintf("%q,", fmt.Sprintf("%s:%d", loopback.Host(i), 1))
	}
	return fmt.Sprintf(`node = "vm-%d"
ip = %q
zone = "zone-%d"
region = "r"
internalPorts = [%d,%d]
seeds = [%s]
[zones]
zone-0 = "r"
zone-1 = "r"
[listen]
front = %q
ready = "%s:%d"
directory = %q
[limits]
cpuShare = 1.0
cpuCores = 1
[bounds]
grace = "%ds"
retryRatio = 0.2
retryWindow = "10s"
retrySlack = 50
quotaWindow = "5s"
quotaOver = %g
quotaSlack = %d
coldOver = 1.5
coldSlack = 5
ttl_max = "5s"
[platform]
address = %q
`, v.index, v.ip, v.index%2, loopback.PortPeers, loopback.PortPeers+5, seeds, v.callers(), v.ip, loopback.PortReady, v.addresses(), graceSeconds, rateOver, rateSlack, v.store.Address())
}

// start runs the process.
func (v *vm) start(ctx context.Context, vms int) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	file := filepath.Join(v.folder, fmt.Sprintf("vm-%d.toml", v.index))
	if err := os.WriteFile(file, []byte(v.settings(vms)), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	log, err := os.OpenFile(filepath.Join(v.folder, fmt.Sprintf("vm-%d.log", v.index)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }()
	c := exec.CommandContext(ctx, v.program, "edge")
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+file)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "start a VM")
	}
	v.command, v.ended, v.wanted = c, make(chan struct{}), false
	go v.wait(ctx, c, v.ended)
	return nil
}

func (v *vm) wait(ctx context.Context, c *exec.Cmd, ended chan struct{}) {
	_ = c.Wait()
	v.mu.Lock()
	if !v.wanted && ctx.Err() == nil {
		v.exits++
	}
	v.mu.Unlock()
	close(ended)
}

// signal sends a signal to the process by its id.
func (v *vm) signal(s syscall.Signal, ends bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.wanted = v.wanted || ends
	// A process that is gone already needs no signal.
	_ = v.command.Process.Signal(s)
}

// restart ends the process with a signal, kills it after the grace time, and runs it again after a pause.
func (v *vm) restart(ctx context.Context, s syscall.Signal, pause time.Duration, vms int) error {
	v.restarting.Lock()
	defer v.restarting.Unlock()
	v.signal(s, true)
	v.mu.Lock()
	ended := v.ended
	v.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(graceSeconds * time.Second):
		v.signal(syscall.SIGKILL, true)
		<-ended
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(pause):
	}
	return v.start(ctx, vms)
}
