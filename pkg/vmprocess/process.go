package vmprocess

import (
	"cmp"
	"context"
	"net"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/pkg/clientlimit"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/metrics"
	"github.com/azuretiller/azuretiller/pkg/operator"
	"github.com/azuretiller/azuretiller/pkg/platformclient"
	"github.com/azuretiller/azuretiller/pkg/settings"
	"github.com/azuretiller/azuretiller/pkg/systemclock"
	"github.com/azuretiller/azuretiller/pkg/vmruntime"
)

const metricsInterval = time.Second

// Process is one VM with its listening sockets.
type Process struct {
	runtime         *vmruntime.Runtime
	listeners       vmruntime.Listeners
	operatorHandler *operator.Handler
	metrics         *metrics.Metrics
}

// New opens the sockets of a VM. Connections are not served until Run.
func New(ctx context.Context, s settings.Settings, logger log.Interface) (*Process, error) {
	var l vmruntime.Listeners
	var err error
	for _, socket := range []struct {
		listener *net.Listener
		address  string
	}{{&l.Caller, s.VM.CallerAddress}, {&l.Operator, s.VM.OperatorAddress}} {
		*socket.listener, err = clientlimit.Listen(ctx, socket.address)
		if err != nil {
			return nil, err
		}
	}
	// Other VMs send more than clients, so the kernel chooses the size of their receive buffers.
	var config net.ListenConfig
	l.Peer, err = config.Listen(ctx, "tcp", s.VM.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "open socket")
	}
	s.Descriptors = availableDescriptors(s.Descriptors, logger)
	m := metrics.New(metricsInterval)
	c := &common.Common{Log: logger, Clock: systemclock.New(), Metrics: m.Scope}
	rt := vmruntime.New(c, s, platformclient.New(s.Platform.URL, s.Platform.Token))
	return &Process{
		runtime:         rt,
		listeners:       l,
		operatorHandler: operator.New(rt, s.OperatorToken, m.Handler),
		metrics:         m,
	}, nil
}

// availableDescriptors returns the number of descriptors that the settings and the kernel allow.
func availableDescriptors(wanted int, logger log.Interface) int {
	wanted = cmp.Or(wanted, clientlimit.DefaultDescriptors)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || uint64(wanted) <= limit.Cur {
		return wanted
	}
	logger.WithField("wanted", wanted).WithField("allowed", limit.Cur).Warn("fewer descriptors allowed than wanted")
	return int(limit.Cur)
}

// Run serves requests until the context ends, and returns after the VM has drained.
func (p *Process) Run(ctx context.Context) error {
	defer func() { _ = p.metrics.Close() }()
	return p.runtime.Run(ctx, p.listeners, p.operatorHandler)
}

// Runtime returns the VM.
func (p *Process) Runtime() *vmruntime.Runtime { return p.runtime }
