package leasebucket_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/leasebucket"
)

// TestNeverExceedsRate guards against leases that let more than burst plus rate times duration be spent in an interval.
// Some tokens are spent at once, some at the end of their lease, and some are returned.
func TestNeverExceedsRate(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const lifetime = 500 * time.Millisecond
		rate := azuretiller.Millitokens(rapid.IntRange(0, 50_000).Draw(t, "rate"))
		burst := azuretiller.Millitokens(rapid.IntRange(0, 50_000).Draw(t, "burst"))
		start := time.Unix(1_000_000, 0)
		now := start
		b := leasebucket.New(rate, burst, start)
		type spend struct {
			at     time.Time
			amount azuretiller.Millitokens
		}
		var spends []spend
		holders := []azuretiller.VMID{"a", "b", "c"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * time.Millisecond)
			holder := rapid.SampledFrom(holders).Draw(t, "holder")
			granted := b.Draw(holder, azuretiller.Millitokens(rapid.IntRange(0, 40_000).Draw(t, "want")), lifetime, now)
			switch rapid.IntRange(0, 2).Draw(t, "use") {
			case 0:
				spends = append(spends, spend{now, granted})
				b.ReportUsage(holder, granted, 0, now)
			case 1:
				spends = append(spends, spend{now.Add(lifetime - 1), granted})
			default:
				b.ReportUsage(holder, 0, granted, now)
			}
		}
		slices.SortStableFunc(spends, func(x, y spend) int { return x.at.Compare(y.at) })
		for i := range spends {
			var sum azuretiller.Millitokens
			for j := i; j < len(spends); j++ {
				sum += spends[j].amount
				span := spends[j].at.Sub(spends[i].at).Seconds()
				require.LessOrEqual(t, float64(sum), float64(burst)+float64(rate)*span+1)
			}
		}
	})
}

func TestRefill(t *testing.T) {
	t.Parallel()
	start := time.Unix(1_000_000, 0)
	tests := []struct {
		desc        string
		rate, burst azuretiller.Millitokens
		elapsed     time.Duration
		want        azuretiller.Millitokens
	}{
		{"starts empty", 1000, 5000, 0, 0},
		{"fills at its rate", 1000, 5000, 1500 * time.Millisecond, 1500},
		{"stops at its burst", 1000, 5000, time.Hour, 5000},
		{"does not overflow after a long time", 1 << 40, 1 << 40, 1000 * time.Hour, 1 << 40},
		{"ignores a clock that goes back", 1000, 5000, -time.Hour, 0},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			b := leasebucket.New(tc.rate, tc.burst, start)
			require.Equal(t, tc.want, b.Level(start.Add(tc.elapsed)))
		})
	}
}
