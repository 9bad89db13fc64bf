package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/explanation"
)

// explain asks VM i for an explanation, and returns the status and the body of the response.
func (f *Fleet) explain(t *testing.T, i int, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+f.vms[i].settings.PeerAddress+explanation.Path, strings.NewReader(body))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(data)
}

// TestVMExplainsWithItsLeader guards against a VM that explains by its own view although it has a leader, and against an explanation that sends
// the request, shows the key or accepts a body of any size.
func TestVMExplainsWithItsLeader(t *testing.T) {
	_, f := startFleet(t, 3, 4)
	follower := 0
	for f.IsLeader(follower) {
		follower++
	}
	query, err := json.Marshal(explanation.Request{Host: Host, Path: "/orders/1", Method: http.MethodPost, Key: Key})
	require.NoError(t, err)
	var answer explanation.Answer
	eventually(t, "the leader explains the placement", func() bool {
		status, body := f.explain(t, follower, string(query))
		answer = explanation.Answer{}
		return status == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil && answer.DecidedBy == "leader" && answer.Outcome == explanation.Placed
	})
	assert.False(t, answer.Leading)
	assert.Equal(t, azuretiller.TeamID(Team), answer.Team)
	assert.Equal(t, "known", answer.Key)
	assert.False(t, answer.Idempotent)
	require.Len(t, answer.Services, 1)
	assert.Len(t, answer.Services[0].Servers, 4)
	assert.NotEmpty(t, answer.Services[0].Servers[0].Parts)
	assert.True(t, answer.Tokens.Limited)
	for _, server := range f.Servers {
		assert.Empty(t, server.Runs(), "the request was sent")
	}
	var text bytes.Buffer
	require.NoError(t, answer.WriteText(&text))
	assert.NotContains(t, text.String(), Key)

	eventually(t, "an unknown key is refused and not shown", func() bool {
		status, body := f.explain(t, follower, fmt.Sprintf(`{"host":%q,"path":"/orders/1","key":"secret-key"}`, Host))
		require.NotContains(t, body, "secret-key")
		return status == http.StatusOK && strings.Contains(body, `"code":2001`)
	})
	eventually(t, "a malformed request is refused and its key is not shown", func() bool {
		status, body := f.explain(t, follower, `{"key":"secret-key","path":7}`)
		require.NotContains(t, body, "secret-key")
		return status == http.StatusBadRequest
	})
	eventually(t, "a request that is too large is refused", func() bool {
		status, _ := f.explain(t, follower, `{"host":"`+strings.Repeat("x", explanation.MaxRequestBytes)+`"}`)
		return status == http.StatusRequestEntityTooLarge
	})
}
