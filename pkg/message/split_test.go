package message

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/azuretiller/azuretiller"
)

func TestViewsComeTogetherAgain(t *testing.T) {
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
			_, whole := Join(got)
			assert.False(t, whole)
			assert.LessOrEqual(t, len(part.Members)+len(part.Servers), entriesInPart)
			got[len(parts)-1-i] = parts[len(parts)-1-i]
		}
		whole, ok := Join(got)
		assert.True(t, ok)
		assert.Len(t, whole.Members, size.members)
		assert.Len(t, whole.Servers, size.servers)
		assert.Equal(t, v.Servers, whole.Servers)
	}
}
