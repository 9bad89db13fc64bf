package ratelimit_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/config"
	"github.com/azuretiller/azuretiller/pkg/ratelimit"
	"github.com/azuretiller/azuretiller/pkg/rateshare"
	"github.com/azuretiller/azuretiller/pkg/snapshot"
	"github.com/azuretiller/azuretiller/pkg/systemclock"
)

// TestRefusalReturnsFractionsOfTokens guards against a VM that keeps the fraction of a token it drew for a request
// which it then refused. A request on another VM, sent when the rate has supplied the missing part, would be refused as
// well.
func TestRefusalReturnsFractionsOfTokens(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		team := config.Team{ID: "small", Rate: 5000, Burst: 5000}
		s := &snapshot.Snapshot{
			Config:         &config.Config{Teams: map[azuretiller.TeamID]config.Team{team.ID: team}},
			RosterRevision: 1,
			Members:        []azuretiller.VM{{ID: "a", Zone: "z"}, {ID: "b", Zone: "z"}, {ID: "c", Zone: "z"}},
		}
		peers := &fakePeers{managers: map[azuretiller.VMID]*rateshare.Manager{}}
		limiters := map[azuretiller.VMID]*ratelimit.Limiter{}
		for _, vm := range s.Members {
			peers.managers[vm.ID] = rateshare.New(vm.ID, 4*time.Second)
			peers.managers[vm.ID].Observe(s.Members, s.Config, time.Now())
			peers.managers[vm.ID].MarkSettled(time.Now())
			limiters[vm.ID] = ratelimit.New(vm.ID, systemclock.New(), peers)
		}
		time.Sleep(10 * time.Second)
		for range 5 {
			require.Equal(t, azuretiller.CodeOK, limiters["a"].Take(t.Context(), team, s).Code)
		}
		time.Sleep(180 * time.Millisecond)
		require.Equal(t, azuretiller.CodeRateExceeded, limiters["b"].Take(t.Context(), team, s).Code)
		time.Sleep(30 * time.Millisecond)
		require.Equal(t, azuretiller.CodeOK, limiters["c"].Take(t.Context(), team, s).Code)
		// The report of spent tokens is still being sent; the test must not end before it arrives.
		time.Sleep(time.Second)
	})
}
