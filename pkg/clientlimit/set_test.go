package clientlimit

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller/pkg/common"
)

// TestConnectionsFitDescriptorsAndMemory guards against listeners that together take the descriptors of files and of connections to servers, or
// more memory than the VM has.
func TestConnectionsFitDescriptorsAndMemory(t *testing.T) {
	for _, c := range []struct {
		memoryMB, fds, callers, others int
	}{{136, 2870, 544, 136}, {184, 2870, 736, 184}, {284, 4100, 1136, 284}, {536, 8192, 2144, 536}, {536, 700, 175, 50}, {0, 0, 544, 136}, {1, 1, 1, 1}} {
		s := New(Params{Common: &common.Common{}, Memory: int64(c.memoryMB) << 20, Descriptors: c.fds})
		assert.Equal(t, c.callers, s.CallerConns(), c)
		assert.Equal(t, c.others, s.OtherConns(), c)
	}
}
