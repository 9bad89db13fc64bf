package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/connlimit"
	"github.com/azuretiller/azuretiller/pkg/gateway"
)

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
