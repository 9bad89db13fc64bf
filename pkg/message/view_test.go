package message

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
)

func TestSplitViewsAreJoinedCompletely(t *testing.T) {
	for _, size := range []struct{ members, servers int }{{0, 0}, {3, 4}, {250, 0}, {120, 600}, {540, 6500}} {
		v := View{Term: 1, Version: 2}
		for i := range size.members {
			v.Members = append(v.Members, Member{VM: azuretiller.VMID(fmt.Sprint(i))})
		}
		for i := range size.servers {
			v.Servers = append(v.Servers, Server{ID: azuretiller.InstanceID(fmt.Sprint(i))})
		}
		got := map[int]View{}
		parts := v.Split()
		for i, part := range parts {
			_, complete := JoinViews(got)
			assert.False(t, complete)
			assert.LessOrEqual(t, len(part.Members)+len(part.Servers), maxEntriesPerPart)
			got[len(parts)-1-i] = parts[len(parts)-1-i]
		}
		joined, ok := JoinViews(got)
		assert.True(t, ok)
		assert.Len(t, joined.Members, size.members)
		assert.Len(t, joined.Servers, size.servers)
		assert.Equal(t, v.Servers, joined.Servers)
	}
}

// TestAppliedChangesGiveTheNextView checks with random views that a view with its change applied equals the next view.
func TestAppliedChangesGiveTheNextView(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	before := View{}
	for version := range uint64(200) {
		next := View{Term: 1, Version: version + 1}
		for i := range 20 {
			if random.IntN(3) > 0 {
				next.Members = append(next.Members, Member{VM: azuretiller.VMID(fmt.Sprintf("vm-%02d", i)), Ready: random.IntN(2) == 0})
			}
			if random.IntN(3) > 0 {
				next.Servers = append(next.Servers, Server{ID: azuretiller.InstanceID(fmt.Sprintf("i-%02d", i)), Closed: random.IntN(2) == 0})
			}
		}
		after := before.Apply(before.Diff(next))
		assert.Equal(t, next, after)
		assert.Zero(t, next.Diff(next).Len())
		before = next
	}
}
