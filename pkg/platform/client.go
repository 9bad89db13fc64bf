package platform

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
	timeout      = 2 * time.Second
	maxBodyBytes = 64 << 20
)

// Client speaks the platform's protocol: POST /log, GET /log?from=&most=, GET /vms.
type Client struct {
	base   string
	token  string
	client *http.Client
}

// ReadAnswer is the JSON form of a read of the log.
type ReadAnswer struct {
	Entries []EntryAnswer `json:"entries"`
	Oldest  uint64        `json:"oldest"`
}

// EntryAnswer is the JSON form of one entry; Data is encoded in base64.
type EntryAnswer struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// AppendAnswer is the JSON form of the answer to an append.
type AppendAnswer struct {
	Offset uint64 `json:"offset"`
}

// VMAnswer is the JSON form of one row of the VM list.
type VMAnswer struct {
	ID      string `json:"id"`
	Leaving bool   `json:"leaving"`
}

// New returns a client of the platform at a base URL, with the token that it asks for.
func New(base, token string) *Client {
	return &Client{base: base, token: token, client: &http.Client{Timeout: timeout}}
}

// Append adds an entry to the log.
func (c *Client) Append(ctx context.Context, data []byte) (azuretiller.Offset, error) {
	var answer AppendAnswer
	if err := c.do(ctx, http.MethodPost, "/log", data, &answer); err != nil {
		return 0, errors.Wrap(err, "append to log")
	}
	return azuretiller.Offset(answer.Offset), nil
}

// Read returns entries from an offset on and the oldest offset that is kept.
func (c *Client) Read(ctx context.Context, from azuretiller.Offset, most int) ([]azuretiller.Entry, azuretiller.Offset, error) {
	var answer ReadAnswer
	if err := c.do(ctx, http.MethodGet, fmt.Sprintf("/log?from=%d&most=%d", from, most), nil, &answer); err != nil {
		return nil, 0, errors.Wrap(err, "read log")
	}
	entries := make([]azuretiller.Entry, 0, len(answer.Entries))
	for _, e := range answer.Entries {
		entries = append(entries, azuretiller.Entry{Offset: azuretiller.Offset(e.Offset), Data: e.Data})
	}
	return entries, azuretiller.Offset(answer.Oldest), nil
}

// ListVMs returns the VMs that the platform believes to be live or leaving.
func (c *Client) ListVMs(ctx context.Context) ([]azuretiller.ListedVM, error) {
	var answer []VMAnswer
	if err := c.do(ctx, http.MethodGet, "/vms", nil, &answer); err != nil {
		return nil, errors.Wrap(err, "list VMs")
	}
	vms := make([]azuretiller.ListedVM, 0, len(answer))
	for _, vm := range answer {
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
		return errors.Newf("the platform answered %s", response.Status)
	}
	return json.Unmarshal(data, into)
}
