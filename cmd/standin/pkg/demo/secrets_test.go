package demo

import (
	"encoding/hex"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func testNoKeyInLogOrDump(t *testing.T, f *fixture) {
	entries, _, err := f.log.Read(t.Context(), 1, 1<<20)
	require.NoError(t, err)
	for _, e := range entries {
		require.NotContains(t, string(e.Data), apiKeyOf("alder"))
		require.NotContains(t, hex.EncodeToString(e.Data), hex.EncodeToString([]byte(apiKeyOf("alder"))))
	}
	for _, v := range f.vms {
		d, err := v.client.Dump(t.Context())
		require.NoError(t, err)
		require.NotContains(t, fmt.Sprint(d), apiKeyOf("alder"))
		require.NotContains(t, fmt.Sprint(d), fleetSecret)
	}
}
