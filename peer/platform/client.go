// Package platform implements the client of the platform's HTTP/JSON services:
// table, object store, VM list, ordering of backend servers and usage reports.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"quincewinch/lib/strict"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/platform/wire"
)

const (
	contentType      = "application/json"
	maxResponseBytes = 64 << 20
)

// Client calls the platform. Each method makes a single attempt: deadlines come
// with the context, and retries are up to the caller.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client for the platform at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, client: strict.Client(client)}
}

// Read implements peer.Table.
func (c *Client) Read(ctx context.Context, keys ...models.RowKey) ([]models.Row, error) {
	var answer wire.Changes
	request := wire.ReadRequest{Keys: wire.FromRowKeys(keys)}
	if err := c.callJSON(ctx, http.MethodPost, wire.PathRead, request, &answer); err != nil {
		return nil, err
	}
	return wire.ToRows(answer.Rows), nil
}

// Changes implements peer.Table.
func (c *Client) Changes(ctx context.Context, partition models.Partition, after models.Revision) (models.Changes, error) {
	query := url.Values{}
	query.Set("partition", string(partition))
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	var answer wire.Changes
	if err := c.callJSON(ctx, http.MethodGet, wire.PathChanges+"?"+query.Encode(), nil, &answer); err != nil {
		return models.Changes{}, err
	}
	return models.Changes{
		Rows:         wire.ToRows(answer.Rows),
		Through:      models.Revision(answer.Through),
		PlatformTime: answer.PlatformTime,
	}, nil
}

// Transact implements peer.Table.
func (c *Client) Transact(ctx context.Context, transaction models.Transaction) (models.Revision, error) {
	var answer wire.Committed
	body := wire.FromTransaction(transaction)
	if err := c.callJSON(ctx, http.MethodPost, wire.PathTransactions, body, &answer); err != nil {
		return 0, err
	}
	return models.Revision(answer.Revision), nil
}

// Get implements peer.Objects.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.exchange(ctx, http.MethodGet, wire.PathObjects+url.PathEscape(name), nil)
}

// Put implements peer.Objects.
func (c *Client) Put(ctx context.Context, name string, value []byte) error {
	_, err := c.exchange(ctx, http.MethodPut, wire.PathObjects+url.PathEscape(name), value)
	return err
}

// Delete implements peer.Objects.
func (c *Client) Delete(ctx context.Context, name string) error {
	_, err := c.exchange(ctx, http.MethodDelete, wire.PathObjects+url.PathEscape(name), nil)
	return err
}

// List implements peer.VMs.
func (c *Client) List(ctx context.Context) ([]models.VM, error) {
	var answer []wire.VM
	if err := c.callJSON(ctx, http.MethodGet, wire.PathVMs, nil, &answer); err != nil {
		return nil, err
	}
	return wire.ToVMs(answer), nil
}

func (c *Client) callJSON(ctx context.Context, method, path string, body, answer any) error {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return peer.NewFailure(peer.OutcomeNotDone, "cannot encode a call of the platform", err)
		}
	}
	raw, err := c.exchange(ctx, method, path, encoded)
	if err != nil {
		return err
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return peer.NewFailure(peer.OutcomeUnknown, "cannot decode the platform's answer", err)
	}
	return nil
}

func (c *Client) exchange(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, peer.NewFailure(peer.OutcomeNotDone, "cannot form a call of the platform", err)
	}
	request.Header.Set("Content-Type", contentType)
	response, err := c.client.Do(request)
	if err != nil {
		return nil, peer.NewFailure(peer.OutcomeUnknown, "the platform did not answer", err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, peer.NewFailure(peer.OutcomeUnknown, "the platform's answer broke off", err)
	}
	if len(raw) > maxResponseBytes {
		return nil, peer.NewFailure(peer.OutcomeUnknown, "the platform's answer is too large", nil)
	}
	if response.StatusCode/100 != 2 {
		return nil, responseFailure(raw, response.Status)
	}
	return raw, nil
}

// responseFailure returns the failure that an unsuccessful response reports.
func responseFailure(raw []byte, status string) error {
	var problem wire.Problem
	if err := json.Unmarshal(raw, &problem); err != nil || problem.Outcome == "" {
		return peer.NewFailure(peer.OutcomeUnknown, "the platform answered "+status, nil)
	}
	return peer.NewFailure(peer.Outcome(problem.Outcome), problem.Message, nil)
}
