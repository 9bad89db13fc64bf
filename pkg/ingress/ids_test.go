package ingress

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestLongRequestIDsAreHashed guards against ids as long as a head, which are kept for minutes on three VMs.
func TestLongRequestIDsAreHashed(t *testing.T) {
	long := strings.Repeat("i", 15<<10)
	assert.Less(t, len(requestID(long)), 100)
	assert.Equal(t, requestID(long), requestID(long))
	assert.NotEqual(t, requestID(long), requestID(long[1:]+"j"))
	for _, short := range []string{"", "0190e6a1-7c1e-7b7a-8f6b-1f3d5c7e9a0b", long[:maxRequestID]} {
		assert.Equal(t, short, string(requestID(short)))
	}
}
