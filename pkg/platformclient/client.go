package platformclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuretiller/azuretiller"
)

const (
	requestTimeout = 2 * time.Second
	maxBodyBytes   = 64 << 20
)

// Client calls the platform's HTTP API: POST /log, GET /log?from=&most= and GET /vms.
type Client struct {
	base   string
	token  string
	client *http.Client
}

// ReadResponse is the JSON form of the response to a read of the log.
type ReadResponse struct {
	Entries []EntryResponse `json:"entries"`
	Oldest  uint64          `json:"oldest"`
}

// EntryResponse is the JSON form of one log entry; Data is encoded in base64.
type EntryResponse struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// AppendResponse is the JSON form of the response to an append.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// VMResponse is the JSON form of one row of the VM list.
type VMResponse struct {
	ID      string `json:"id"`
	Leaving bool   `json:"leaving"`
}

// New returns a client for the platform at a base URL that authenticates with the given bearer token.
func New(base, token string) *Client {
	return &Client{base: base, token: token, client: &http.Client{Timeout: requestTimeout}}
}

// Append adds an entry to the log.
func (c *Client) Append(ctx context.Context, data []byte) (azuretiller.Offset, error) {
	var response AppendResponse
	if err := c.do(ctx, http.MethodPost, "/log", data, &response); err != nil {
		return 0, errors.Wrap(err, "append to log")
	}
	return azuretiller.Offset(response.Offset), nil
}

// Read returns up to limit entries in order, starting at offset from, and the oldest offset that the log retains.
func (c *Client) Read(ctx context.Context, from azuretiller.Offset, limit int) ([]azuretiller.LogEntry, azuretiller.Offset, error) {
	var response ReadResponse
	if err := c.do(ctx, http.MethodGet, fmt.Sprintf("/log?from=%d&most=%d", from, limit), nil, &response); err != nil {
		return nil, 0, errors.Wrap(err, "read log")
	}
	entries := make([]azuretiller.LogEntry, 0, len(response.Entries))
	for _, e := range response.Entries {
		entries = append(entries, azuretiller.LogEntry{Offset: azuretiller.Offset(e.Offset), Data: e.Data})
	}
	return entries, azuretiller.Offset(response.Oldest), nil
}

// ListVMs returns the VMs that the platform lists as live or leaving.
func (c *Client) ListVMs(ctx context.Context) ([]azuretiller.ListedVM, error) {
	var response []VMResponse
	if err := c.do(ctx, http.MethodGet, "/vms", nil, &response); err != nil {
		return nil, errors.Wrap(err, "list VMs")
	}
	vms := make([]azuretiller.ListedVM, 0, len(response))
	for _, vm := range response {
		vms = append(vms, azuretiller.ListedVM{ID: azuretiller.VMID(vm.ID), Leaving: vm.Leaving})
	}
	return vms, nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, into any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("platform responded with status %s", response.Status)
	}
	return json.Unmarshal(data, into)
}
