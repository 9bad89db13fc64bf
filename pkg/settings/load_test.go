package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller/pkg/settings"
)

const valid = `{
  // One VM.
  "vm": "a1",
  "zone": "a",
  "caller": "127.0.0.1:8080",
  "peer": "127.0.0.1:7200",
  "operator": "127.0.0.1:7300",
  "secret": "secret",
  "token": "secret",
  "platform": {"url": "http://127.0.0.1:9000", "token": "secret"},
  "headers": 8192, "memory": 256, "files": 4096, "grace": "40s",
  "drain": "3s", // shorter than the default
}`

func load(t *testing.T, text string) (settings.Settings, []string) {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "secret"), []byte("0123456789abcdef\n"), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "short"), []byte("short"), 0o600))
	file := filepath.Join(dir, "vm.json")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	s, problems := settings.Load(file)
	var out []string
	for _, p := range problems {
		out = append(out, strings.TrimPrefix(p.String(), file))
	}
	return s, out
}

func TestLoadValid(t *testing.T) {
	t.Parallel()
	s, problems := load(t, valid)
	require.Empty(t, problems)
	require.Equal(t, 3*time.Second, s.DrainDuration)
	require.Equal(t, 8192, s.MaxHeaderBytes)
	require.Equal(t, int64(256<<20), s.MemoryBytes)
	require.Equal(t, 4096, s.Descriptors)
	require.Equal(t, 40*time.Second, s.GracePeriod)
	require.Equal(t, "0123456789abcdef", s.OperatorToken)
	require.Equal(t, "info", s.Log.Level)
}

func TestLoadProblems(t *testing.T) {
	t.Parallel()
	tests := []struct {
		desc, from, to, want string
	}{
		{"unknown field", `"zone"`, `"zune"`, ":4: zune: unknown field"},
		{"missing field", `"zone": "a",`, ``, ":1: zone: required field is missing"},
		{"duplicate field", `"zone": "a",`, `"zone": "a", "zone": "b",`, ":4: zone: duplicate field"},
		{"wrong type", `"vm": "a1"`, `"vm": 7`, ":3: vm: must be a non-empty string"},
		{"host name instead of IP address", `127.0.0.1:7200`, `localhost:7200`, `:6: peer: must have an IP address, not "localhost"`},
		{"port out of range", `127.0.0.1:7200`, `127.0.0.1:99999`, `:6: peer: must have a port from 1 to 65535, not "99999"`},
		{"unknown nested field", `"url"`, `"uri"`, ":10: platform.uri: unknown field"},
		{"short secret", `"token": "secret",`, `"token": "short",`, ":9: token: the file must contain at least 16 bytes"},
		{"negative duration", `"3s"`, `"-3s"`, ":12: drain: must be a duration from 0s to 10m0s"},
		{"header limit too small", `8192`, `100`, ":11: headers: must be a number of bytes from 4096 to 1048576"},
		{"header limit of wrong type", `8192`, `"8192"`, ":11: headers: must be a number of bytes from 4096 to 1048576"},
		{"memory smaller than the program", `256`, `10`, ":11: memory: must be a number of MiB from 64 to 1048576"},
		{"too few descriptors", `4096`, `0`, ":11: files: must be a number of descriptors from 300 to 1048576"},
		{"fraction of a descriptor", `4096`, `4096.5`, ":11: files: must be a number of descriptors from 300 to 1048576"},
		{"no grace period", `40s`, `0s`, ":11: grace: must be a duration from 1s to 10m0s"},
		{"invalid JSON", `"vm": "a1",`, `"vm" "a1",`, ":3: file: "},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			require.Contains(t, valid, tc.from)
			_, problems := load(t, strings.Replace(valid, tc.from, tc.to, 1))
			require.NotEmpty(t, problems)
			require.Contains(t, strings.Join(problems, "\n"), tc.want)
		})
	}
}
