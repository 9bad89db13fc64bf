package operator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/operator"
	"github.com/azuretiller/azuretiller/pkg/record"
	"github.com/azuretiller/azuretiller/pkg/tree"
)

const token = "0123456789abcdef"

// fakeState is a VMState that returns fixed values.
type fakeState struct {
	tree    *tree.Tree
	verdict record.Verdict
	err     error
}

func (f *fakeState) Tree(context.Context) (*tree.Tree, azuretiller.Revision, error) {
	return f.tree, 7, nil
}

func (f *fakeState) History(context.Context) ([]record.Verdict, error) {
	return []record.Verdict{f.verdict}, nil
}

func (f *fakeState) Propose(context.Context, azuretiller.Revision, record.Edit) (record.Verdict, error) {
	return f.verdict, f.err
}

func (f *fakeState) Dump(context.Context) operator.Dump {
	return operator.Dump{
		VM:          "a1",
		Zone:        "a",
		Ready:       true,
		Current:     true,
		NextOffset:  9,
		Revision:    7,
		Pollers:     []string{"a1", "b1"},
		VMs:         []operator.VM{{ID: "a1", Zone: "a", State: "live"}, {ID: "b1", Zone: "b", State: "down"}},
		Pools:       map[string]string{"orders/a/0": "a1", "orders/b/0": "a1"},
		Servers:     []operator.Server{{Pool: "orders/a/0", Server: "10.0.0.1:80", Phase: "ejected", Reason: "failing", EjectionLeft: "2s"}},
		Millitokens: map[string]int64{"alder": 1500},
	}
}

func newState() *fakeState {
	return &fakeState{
		tree: tree.FromBranches(map[string]map[string]string{
			"/teams":       {"rate": "10"},
			"/teams/alder": {"burst": "20"},
		}),
		verdict: record.Verdict{ID: "edit-1", Kind: "edit", Offset: 8, Accepted: true, Operator: "ana", Paths: []string{"/teams/alder"}},
	}
}

func sendRequest(t *testing.T, state *fakeState, method, target, body string) (int, []byte) {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), method, target, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	operator.New(state, token, http.NotFoundHandler()).ServeHTTP(w, r)
	return w.Code, w.Body.Bytes()
}

func TestGetEndpoints(t *testing.T) {
	t.Parallel()
	g := goldie.New(t)
	for name, target := range map[string]string{
		"dump":    "/dump",
		"tree":    "/tree?path=/teams",
		"explain": "/explain?path=/teams/alder",
		"history": "/history",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			status, body := sendRequest(t, newState(), http.MethodGet, target, "")
			require.Equal(t, http.StatusOK, status)
			g.Assert(t, name, body)
		})
	}
}

func TestEdit(t *testing.T) {
	t.Parallel()
	const validEdit = `{"base": 7, "operator": "ana", "changes": [{"kind": "set", "path": "/teams/alder", "field": "rate", "value": "5"}]}`
	rejected := record.Verdict{ID: "edit-1", Reason: "conflict"}
	tests := []struct {
		desc    string
		body    string
		verdict record.Verdict
		err     error
		status  int
		text    string
	}{
		{"accepted", validEdit, newState().verdict, nil, http.StatusOK, `"accepted": true`},
		{"rejected", validEdit, rejected, nil, http.StatusConflict, "conflict"},
		{"undetermined", validEdit, record.Verdict{ID: "edit-1"}, context.DeadlineExceeded, http.StatusAccepted, "deadline"},
		{"unknown kind", `{"changes": [{"kind": "bend"}]}`, rejected, nil, http.StatusBadRequest, `unknown kind`},
		{"unknown field", `{"chances": []}`, rejected, nil, http.StatusBadRequest, "not well-formed"},
		{"no JSON", `{`, rejected, nil, http.StatusBadRequest, "not well-formed"},
	}
	for _, tc := range tests {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			state := newState()
			state.verdict = tc.verdict
			state.err = tc.err
			status, body := sendRequest(t, state, http.MethodPost, "/edits", tc.body)
			require.Equal(t, tc.status, status)
			require.Contains(t, string(body), tc.text)
		})
	}
}
