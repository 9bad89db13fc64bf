package demo

import (
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func testNoKeyInLog(t *testing.T, p *path) {
	entries, _, err := p.log.Read(t.Context(), 1, 1<<20)
	require.NoError(t, err)
	for _, e := range entries {
		require.NotContains(t, string(e.Data), keyOf("alder"))
		require.NotContains(t, hex.EncodeToString(e.Data), hex.EncodeToString([]byte(keyOf("alder"))))
	}
	for _, v := range p.vms {
		d, err := v.client.Dump(t.Context())
		require.NoError(t, err)
		require.NotContains(t, fmt.Sprint(d), keyOf("alder"))
		require.NotContains(t, fmt.Sprint(d), fleetSecret)
	}
}
