package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/connlimit"
	"github.com/azuretiller/azuretiller/pkg/gateway"
	"github.com/azuretiller/azuretiller/platform"
)

// TestConnectionsFitDescriptorsAndMemory guards against listeners that together take the descriptors of files and of connections to servers, or
// more memory than the VM has.
func TestConnectionsFitDescriptorsAndMemory(t *testing.T) {
	for _, c := range []struct {
		memoryMB, fds, callers, others int
	}{{136, 2870, 544, 136}, {184, 2870, 736, 184}, {284, 4100, 1136, 284}, {536, 8192, 2144, 536}, {536, 700, 175, 50}, {0, 0, 544, 136}, {1, 1, 1, 1}} {
		e := &Edge{processSettings: platform.Settings{MemoryBytes: int64(c.memoryMB) << 20, MaxFds: c.fds}}
		assert.Equal(t, c.callers, e.maxCallerConns(), c)
		assert.Equal(t, c.others, e.maxOtherConns(), c)
	}
}

// TestClientLimitsFollowConfiguration guards against listeners that use other limits than the configuration, or unusable ones.
func TestClientLimitsFollowConfiguration(t *testing.T) {
	e := &Edge{}
	defaults := connlimit.Limits{HeadBytes: defaultMaxHeaderBytes, HeadTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	for _, c := range []struct {
		config *config.Config
		want   connlimit.Limits
	}{
		{nil, defaults},
		{&config.Config{}, defaults},
		{&config.Config{Limits: config.Limits{MaxHeaderBytes: -1, HeaderTimeout: -1, IdleTimeout: -1}}, defaults},
		{
			&config.Config{Limits: config.Limits{MaxHeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}},
			connlimit.Limits{HeadBytes: 16384, HeadTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		},
	} {
		e.state.Store(&gateway.State{Config: c.config})
		assert.Equal(t, c.want, e.clientLimits())
	}
}
