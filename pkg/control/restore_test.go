package control_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/control"
	"github.com/azuretiller/azuretiller/pkg/logstate"
	"github.com/azuretiller/azuretiller/pkg/record"
)

func entry(t *testing.T, offset azuretiller.Offset, id string, body record.Body) azuretiller.LogEntry {
	t.Helper()
	data, err := record.Encode(record.Record{ID: id, Author: "other", Body: body})
	require.NoError(t, err)
	return azuretiller.LogEntry{Offset: offset, Data: data}
}

// TestDroppedRecords starts a VM on a log that has dropped its first records. The VM must serve only if the log has a
// checkpoint that replaces them; otherwise it must fetch the state from its seeds.
func TestDroppedRecords(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_700_000_000, 0)
	edit := record.Edit{Operator: "ana", Changes: []azuretiller.Change{setField("/teams/alder", "rate", "5")}}
	dropped := logstate.New()
	for offset := azuretiller.Offset(1); offset < 50; offset++ {
		_, err := dropped.Apply(entry(t, offset, "old", record.Removal{VM: "gone"}))
		require.NoError(t, err)
	}
	tests := []struct {
		desc    string
		entries []azuretiller.LogEntry
		current bool
	}{
		{"with a checkpoint", []azuretiller.LogEntry{entry(t, 50, "c", dropped.Checkpoint()), entry(t, 51, "e", edit)}, true},
		{"without a checkpoint", []azuretiller.LogEntry{entry(t, 50, "d", edit), entry(t, 51, "e", edit)}, false},
		{"without entries", nil, false},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			s := control.New(azuretiller.VM{ID: "vm", Zone: "a", Incarnation: 1}, control.DefaultParams(), 1)
			effects := control.Reduce(s, control.EntriesRead{At: now, Started: now, From: 1, Entries: tc.entries, Oldest: 50})
			current := false
			for _, e := range effects {
				if p, ok := e.(control.Publish); ok {
					current = p.Snapshot.Ready && p.Snapshot.Current(now)
				}
			}
			require.Equal(t, tc.current, current)
			require.Equal(t, !tc.current, s.ShouldAskSeeds(now))
		})
	}
}
