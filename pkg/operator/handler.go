package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/field"
	"github.com/azuretiller/azuretiller/pkg/record"
	"github.com/azuretiller/azuretiller/pkg/tree"
)

const (
	maxEditBytes   = 4 << 20
	proposeTimeout = 8 * time.Second
	bearerPrefix   = "Bearer "
)

// VMState gives access to the state that the operators' API reads and changes.
type VMState interface {
	// Tree returns the settings tree and its revision.
	Tree(ctx context.Context) (*tree.Tree, azuretiller.Revision, error)
	// History returns the verdicts on the latest records, oldest first.
	History(ctx context.Context) ([]record.Verdict, error)
	// Propose appends an edit to the log and waits for the verdict; an error means that the outcome is not known yet.
	Propose(ctx context.Context, base azuretiller.Revision, e record.Edit) (record.Verdict, error)
	// Dump returns the state of the VM.
	Dump(ctx context.Context) Dump
}

// Handler serves the operators' API.
type Handler struct {
	state   VMState
	token   string
	router  chi.Router
	metrics http.Handler
}

// New returns a handler that requires the token as a bearer token.
func New(state VMState, token string, metrics http.Handler) *Handler {
	h := &Handler{state: state, token: token, router: chi.NewRouter(), metrics: metrics}
	h.router.Use(h.authenticate)
	h.router.Get("/tree", h.getTree)
	h.router.Get("/explain", h.explain)
	h.router.Post("/edits", h.edit)
	h.router.Get("/history", h.history)
	h.router.Get("/dump", h.dump)
	h.router.Method(http.MethodGet, "/metrics", metrics)
	return h
}

// ServeHTTP serves one API request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.router.ServeHTTP(w, r) }

func (h *Handler) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix)
		if subtle.ConstantTimeCompare([]byte(token), []byte(h.token)) != 1 {
			writeJSON(w, http.StatusUnauthorized, ErrorBody{Error: "the operators' token is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (h *Handler) getTree(w http.ResponseWriter, r *http.Request) {
	t, revision, err := h.state.Tree(r.Context())
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, ErrorBody{Error: err.Error()})
		return
	}
	root := pathParam(r)
	out := Tree{Revision: uint64(revision), Branches: []Branch{}}
	for _, path := range t.Paths() {
		if tree.Within(path, root) {
			out.Branches = append(out.Branches, Branch{Path: path, Fields: t.Fields(path)})
		}
	}
	writeJSON(w, http.StatusOK, out)
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	t, _, err := h.state.Tree(r.Context())
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, ErrorBody{Error: err.Error()})
		return
	}
	path := pathParam(r)
	if !t.Has(path) {
		writeJSON(w, http.StatusNotFound, ErrorBody{Error: "there is no branch " + path})
		return
	}
	out := []EffectiveField{}
	for _, f := range field.Table() {
		value, source := t.Lookup(path, f.Name)
		out = append(out, EffectiveField{Field: f.Name, Value: value, Source: source})
	}
	writeJSON(w, http.StatusOK, out)
}

func pathParam(r *http.Request) string {
	path := r.URL.Query().Get("path")
	if path == "" {
		return "/"
	}
	return path
}

func (h *Handler) edit(w http.ResponseWriter, r *http.Request) {
	var e Edit
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEditBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&e); err != nil {
		writeJSON(w, http.StatusBadRequest, ErrorBody{Error: "the edit is not well-formed: " + err.Error()})
		return
	}
	changes, err := decodeChanges(e.Changes)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, ErrorBody{Error: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	v, err := h.state.Propose(ctx, azuretiller.Revision(e.Base), record.Edit{Operator: e.Operator, Comment: e.Comment, Changes: changes})
	switch {
	case err != nil:
		out := encodeVerdict(v)
		out.Reason = err.Error()
		writeJSON(w, http.StatusAccepted, out)
	case v.Accepted:
		writeJSON(w, http.StatusOK, encodeVerdict(v))
	default:
		writeJSON(w, http.StatusConflict, encodeVerdict(v))
	}
}

func decodeChanges(in []Change) ([]azuretiller.Change, error) {
	kinds := map[string]azuretiller.ChangeKind{
		"set":    azuretiller.ChangeSet,
		"unset":  azuretiller.ChangeUnset,
		"make":   azuretiller.ChangeMake,
		"delete": azuretiller.ChangeDelete,
	}
	var out []azuretiller.Change
	for i, c := range in {
		kind, ok := kinds[c.Kind]
		if !ok {
			return nil, errors.Newf("change %d has the unknown kind %q", i+1, c.Kind)
		}
		out = append(out, azuretiller.Change{Kind: kind, Path: c.Path, Field: c.Field, Value: c.Value})
	}
	return out, nil
}

func encodeVerdict(v record.Verdict) Verdict {
	return Verdict{
		ID:       v.ID,
		Kind:     v.Kind,
		Offset:   uint64(v.Offset),
		Accepted: v.Accepted,
		Reason:   v.Reason,
		Operator: v.Operator,
		Comment:  v.Comment,
		Paths:    v.Paths,
	}
}

func (h *Handler) history(w http.ResponseWriter, r *http.Request) {
	verdicts, err := h.state.History(r.Context())
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, ErrorBody{Error: err.Error()})
		return
	}
	out := []Verdict{}
	for _, v := range verdicts {
		out = append(out, encodeVerdict(v))
	}
	writeJSON(w, http.StatusOK, out)
}

func (h *Handler) dump(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, h.state.Dump(r.Context()))
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"error":"the answer could not be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}
