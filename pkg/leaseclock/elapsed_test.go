package leaseclock_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/leaseclock"
)

// TestElapsed checks that Elapsed uses the clock by which more time has passed. A step of the wall clock is simulated by a time
// without a monotonic reading, for which only the wall time is compared.
func TestElapsed(t *testing.T) {
	t.Parallel()
	start := time.Now()
	require.Equal(t, 3*time.Second, leaseclock.Elapsed(start.Add(3*time.Second), start), "both clocks show the same time")
	require.Equal(t, 3*time.Second, leaseclock.Elapsed(start.Round(0).Add(3*time.Second), start), "only the wall clock has advanced")
	require.Equal(t, -time.Hour, leaseclock.Elapsed(start.Round(0).Add(-time.Hour), start.Round(0)), "the wall clock was set back and no monotonic time is known")
}

// TestClockCountsPausesAndNeverGoesBack checks that a pause counts, and that a step back of the wall clock does not extend a lease. Times
// without a monotonic reading simulate a VM that is suspended.
func TestClockCountsPausesAndNeverGoesBack(t *testing.T) {
	t.Parallel()
	start := time.Now().Round(0)
	clock := leaseclock.New(start)
	require.Equal(t, time.Second, clock.Elapsed(start.Add(time.Second)))
	require.Equal(t, time.Hour, clock.Elapsed(start.Add(time.Hour)), "the VM was suspended")
	require.Equal(t, time.Hour, clock.Elapsed(start.Add(time.Minute)), "the wall clock was set back")
	require.Equal(t, time.Hour+time.Second, clock.Elapsed(start.Add(time.Hour+time.Second)))
}
