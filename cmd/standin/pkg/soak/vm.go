package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/faultproxy"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/loopback"
	"github.com/azuretiller/azuretiller/pkg/timer"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	// graceSeconds is the time from SIGTERM to SIGKILL, and the shutdown grace in the settings of the VMs.
	graceSeconds = 3
	// memoryMB is the memory of a VM in units of 1,048,576 bytes, that of the smallest VMs of the users.
	memoryMB = 184
	// startupTime is the time from the start of a process to the first SIGHUP. A process ends with one that it does not handle yet.
	startupTime = 200 * time.Millisecond
)

// vm is one VM, run as a process of the azuretiller program.
type vm struct {
	index   int
	ip      string
	folder  string
	program string
	// storeProxy is the proxy through which this VM, and no other, reaches the store.
	storeProxy *faultproxy.Proxy
	// bounds are further lines of the settings on bounds.
	bounds string

	// unanswered is the number of pipelined requests without a response.
	unanswered atomic.Int64

	// restartMu is held during a restart, so that overlapping faults do not start a second process.
	restartMu sync.Mutex

	mu      sync.Mutex
	command *exec.Cmd
	// startedAt is when the process was started.
	startedAt time.Time
	// exited is closed when the process has exited. stopRequested means that the soak stopped the process.
	exited        chan struct{}
	stopRequested bool
	// unexpectedExits counts the processes that exited without being stopped by the soak.
	unexpectedExits int
	// lastUnexpectedExit says how the last of them ended.
	lastUnexpectedExit string
	// peakMemory is the largest resident set of a process of the VM in bytes, as of recordMemory.
	peakMemory int64
}

func (v *vm) callerAddress() string  { return fmt.Sprintf("%s:%d", v.ip, loopback.CallerPort) }
func (v *vm) resolveAddress() string { return fmt.Sprintf("%s:%d", v.ip, loopback.ResolvePort) }

// settings returns the text of the settings file.
func (v *vm) settings(vmCount int) string {
	seeds := ""
	for i := range min(vmCount, 3) {
		// The program ignores the port of a seed and uses the first of the internal ports.
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
memoryMb = %d
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
%s[platform]
address = %q
`, v.index, v.ip, v.index%2, loopback.PeerPort, loopback.PeerPort+5, seeds, v.callerAddress(), v.ip, loopback.ReadinessPort, v.resolveAddress(), memoryMB, graceSeconds, rateTolerance, rateSlackRequests, v.bounds, v.storeProxy.Address())
}

// start writes the settings and starts the process.
func (v *vm) start(ctx context.Context, vmCount int) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	file := filepath.Join(v.folder, fmt.Sprintf("vm-%d.toml", v.index))
	if err := os.WriteFile(file, []byte(v.settings(vmCount)), 0o600); err != nil {
		return errors.Wrap(err, "write settings file")
	}
	log, err := os.OpenFile(filepath.Join(v.folder, fmt.Sprintf("vm-%d.log", v.index)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log file")
	}
	defer func() { _ = log.Close() }()
	c := exec.CommandContext(ctx, v.program, "edge")
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+file)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "start the VM process")
	}
	v.command, v.startedAt, v.exited, v.stopRequested = c, time.Now(), make(chan struct{}), false
	go v.wait(ctx, c, v.exited)
	return nil
}

// wait waits for the exit of a process and closes exited.
func (v *vm) wait(ctx context.Context, c *exec.Cmd, exited chan struct{}) {
	_ = c.Wait()
	v.mu.Lock()
	if !v.stopRequested && ctx.Err() == nil {
		v.unexpectedExits++
		v.lastUnexpectedExit = fmt.Sprintf("%s at %s", c.ProcessState, time.Now().UTC().Format(clock))
	}
	v.mu.Unlock()
	close(exited)
}

// signal sends a signal to the process. If stopRequested is true, the exit of the process is expected.
func (v *vm) signal(s syscall.Signal, stopRequested bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.stopRequested = v.stopRequested || stopRequested
	// The error is ignored, as the process may have exited already.
	_ = v.command.Process.Signal(s)
}

// reload sends SIGHUP to the process, once it has been running for startupTime.
func (v *vm) reload(ctx context.Context) {
	for ctx.Err() == nil {
		v.mu.Lock()
		early := startupTime - time.Since(v.startedAt)
		if early <= 0 {
			_ = v.command.Process.Signal(syscall.SIGHUP)
		}
		v.mu.Unlock()
		if early <= 0 {
			return
		}
		timer.Sleep(ctx, early)
	}
}

// recordMemory updates peakMemory with the memory of the running process.
func (v *vm) recordMemory() {
	v.mu.Lock()
	defer v.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.command.Process.Pid))
	if err != nil {
		// The process has exited, or the system has no such file.
		return
	}
	for line := range strings.Lines(string(data)) {
		var kilobytes int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); n == 1 {
			v.peakMemory = max(v.peakMemory, kilobytes<<10)
		}
	}
}

// restart stops the process with a signal, kills it if it is still running after the grace time, and starts it again after a
// pause.
func (v *vm) restart(ctx context.Context, s syscall.Signal, pause time.Duration, vmCount int) error {
	v.restartMu.Lock()
	defer v.restartMu.Unlock()
	v.recordMemory()
	v.signal(s, true)
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(graceSeconds * time.Second):
		v.signal(syscall.SIGKILL, true)
		<-exited
	}
	select {
	case <-ctx.Done():
		return nil
	case <-time.After(pause):
	}
	return v.start(ctx, vmCount)
}
