package strict_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/strict"
)

// TestElapsed checks that the longer of the two clocks counts. A time without a monotonic reading stands for a step
// of the wall clock, since only its wall time then counts.
func TestElapsed(t *testing.T) {
	t.Parallel()
	then := time.Now()
	require.Equal(t, 3*time.Second, strict.Elapsed(then.Add(3*time.Second), then), "both clocks agree")
	require.Equal(t, 3*time.Second, strict.Elapsed(then.Round(0).Add(3*time.Second), then), "the wall clock alone")
	require.Equal(t, -time.Hour, strict.Elapsed(then.Round(0).Add(-time.Hour), then.Round(0)), "a wall clock that went back")
}
