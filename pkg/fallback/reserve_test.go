package fallback

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/tokenbucket"
)

// TestReservesStayWithinTolerance checks that all VMs together use no more than their part of the tolerance within any window, however many of
// them there are.
func TestReservesStayWithinTolerance(t *testing.T) {
	tolerance := tokenbucket.Tolerance{Ratio: 0.1, Slack: 20, Window: 5 * time.Second}
	limit := tokenbucket.Limit{Rate: 15 * azuretiller.TokenCost, Burst: 10 * azuretiller.TokenCost}
	allowed := reservePart * tolerance.Of(limit) / float64(azuretiller.TokenCost)
	for _, vms := range []int{1, 3, 36, 444} {
		for team := range 20 {
			id := azuretiller.TeamID(fmt.Sprint("team-", team))
			now := time.Unix(1_000_000, 0)
			var reserves []*reserve
			share := azuretiller.WholeRate / azuretiller.RateShare(vms)
			for i := range vms {
				reserves = append(reserves, &reserve{
					tolerance: tolerance, limits: map[azuretiller.TeamID]tokenbucket.Limit{id: limit}, share: share, offset: share * azuretiller.RateShare(i),
					taken: map[azuretiller.TeamID][]time.Time{}, startedAt: now,
				})
			}
			takeAll := func() int {
				taken := 0
				for _, r := range reserves {
					for r.take(now, id) {
						taken++
					}
				}
				return taken
			}
			assert.Zero(t, takeAll(), "a former process may have used them")
			now = now.Add(tolerance.Window)
			first := takeAll()
			assert.LessOrEqual(t, float64(first), allowed+1)
			assert.GreaterOrEqual(t, float64(first), allowed-1)
			now = now.Add(tolerance.Window - time.Millisecond)
			assert.Zero(t, takeAll())
			now = now.Add(time.Millisecond)
			assert.Equal(t, first, takeAll())
		}
	}
}
