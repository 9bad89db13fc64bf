package control_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/control"
	"github.com/azuretiller/azuretiller/pkg/record"
)

// BenchmarkIdleRead measures how long a VM takes to process a read of the log that returns no entries, with 540 VMs in the
// roster and 6,500 backend servers.
func BenchmarkIdleRead(b *testing.B) {
	c := record.Checkpoint{NextOffset: 1000, Revision: 999, RosterRevision: 998, Branches: map[string]map[string]string{}}
	for i := range 6500 {
		path := fmt.Sprintf("/services/s%d/servers/10.%d.%d.1:80", i%210, i/250, i%250)
		c.Branches[path] = map[string]string{"zone": fmt.Sprintf(`"z%d"`, i/210%5)}
	}
	for i := range 540 {
		c.Members = append(c.Members, azuretiller.VM{ID: azuretiller.VMID(fmt.Sprintf("vm-%03d", i)), Zone: azuretiller.Zone(fmt.Sprintf("z%d", i%5))})
	}
	data, err := record.Encode(record.Record{ID: "c", Body: c})
	require.NoError(b, err)
	now := time.Unix(1_700_000_000, 0)
	s := control.New(c.Members[0], control.DefaultParams(), 1)
	control.Reduce(s, control.EntriesRead{At: now, Started: now, Entries: []azuretiller.LogEntry{{Offset: 1000, Data: data}}, Oldest: 1000})
	require.EqualValues(b, 1001, s.LogState().NextOffset())
	for b.Loop() {
		now = now.Add(time.Millisecond)
		control.Reduce(s, control.EntriesRead{At: now, Started: now, From: 1001, Oldest: 1000})
	}
}
