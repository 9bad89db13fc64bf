package operatorclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller/pkg/operator"
)

const (
	requestTimeout   = 10 * time.Second
	maxResponseBytes = 256 << 20
)

// Client calls the operators' API of one VM.
type Client struct {
	baseURL    string
	token      string
	httpClient *http.Client
}

// New returns a client for the VM whose operators' API listens on address (host:port).
func New(address, token string) *Client {
	return &Client{baseURL: "http://" + address, token: token, httpClient: &http.Client{Timeout: requestTimeout}}
}

// Tree returns the branches at and below a path.
func (c *Client) Tree(ctx context.Context, path string) (operator.Tree, error) {
	var out operator.Tree
	_, err := c.do(ctx, http.MethodGet, "/tree?path="+url.QueryEscape(path), nil, &out)
	return out, errors.Wrap(err, "get tree")
}

// Explain returns the effective value of each field of a branch and the branch that sets it.
func (c *Client) Explain(ctx context.Context, path string) ([]operator.EffectiveField, error) {
	var out []operator.EffectiveField
	_, err := c.do(ctx, http.MethodGet, "/explain?path="+url.QueryEscape(path), nil, &out)
	return out, errors.Wrap(err, "explain branch")
}

// Edit proposes an edit. If err is nil, determined tells whether the outcome is known; if it is false, the edit may still be
// accepted.
func (c *Client) Edit(ctx context.Context, e operator.Edit) (v operator.Verdict, determined bool, err error) {
	status, err := c.do(ctx, http.MethodPost, "/edits", e, &v)
	return v, status != http.StatusAccepted, errors.Wrap(err, "propose edit")
}

// History returns the verdicts on the latest records, oldest first.
func (c *Client) History(ctx context.Context) ([]operator.Verdict, error) {
	var out []operator.Verdict
	_, err := c.do(ctx, http.MethodGet, "/history", nil, &out)
	return out, errors.Wrap(err, "get history")
}

// Dump returns the state of the VM.
func (c *Client) Dump(ctx context.Context) (operator.Dump, error) {
	var out operator.Dump
	_, err := c.do(ctx, http.MethodGet, "/dump", nil, &out)
	return out, errors.Wrap(err, "get dump")
}

func (c *Client) do(ctx context.Context, method, path string, body, out any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.httpClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, err
	}
	switch response.StatusCode {
	case http.StatusOK, http.StatusAccepted, http.StatusConflict:
		return response.StatusCode, json.Unmarshal(content, out)
	}
	var failure operator.ErrorBody
	if json.Unmarshal(content, &failure) == nil && failure.Error != "" {
		return response.StatusCode, errors.Newf("%s", failure.Error)
	}
	return response.StatusCode, errors.Newf("the VM responded with status %s", response.Status)
}
