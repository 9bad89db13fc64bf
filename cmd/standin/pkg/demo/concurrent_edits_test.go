package demo

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/operator"
)

// TestConcurrentEdits submits two concurrent edits of one branch, based on the same revision. Only one may be accepted, or else
// one operator overwrites the change of the other without notice.
func TestConcurrentEdits(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	current, err := f.vms[0].client.Tree(t.Context(), "/zones")
	require.NoError(t, err)
	verdicts := make([]operator.Verdict, 2)
	var group sync.WaitGroup
	for i := range verdicts {
		group.Go(func() {
			v, determined, err := f.vms[i].client.Edit(t.Context(), operator.Edit{
				Base:     current.Revision,
				Operator: fmt.Sprint("operator ", i),
				Changes:  []operator.Change{set("/teams/alder", "rate", fmt.Sprint(50+i))},
			})
			if err == nil && determined {
				verdicts[i] = v
			}
		})
	}
	group.Wait()
	require.NotEqual(t, verdicts[0].Accepted, verdicts[1].Accepted, "%+v", verdicts)
	rejected := verdicts[0]
	if rejected.Accepted {
		rejected = verdicts[1]
	}
	require.Contains(t, rejected.Reason, "was changed by operator")
}
