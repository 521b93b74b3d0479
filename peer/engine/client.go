// Package engine speaks the HTTP/JSON protocol of model engines.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"

	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/engine/wire"
)

const (
	contentType    = "application/json"
	maxAnswerBytes = 16 << 20
)

// Clients finds engines by the URL of their backend server.
type Clients struct {
	client *http.Client
}

// NewClients returns clients that share one HTTP client's connections. They
// follow no redirect, which would be a second call.
func NewClients(client *http.Client) Clients {
	shared := *client
	shared.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return Clients{client: &shared}
}

// Engine implements peer.Engines.
func (c Clients) Engine(server models.BackendServer) peer.Engine {
	return NewClient(server.URL, c.client)
}

// Client speaks to one engine. One call is one attempt.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client of the engine at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, client: client}
}

// Generate implements peer.Engine.
func (c *Client) Generate(ctx context.Context, generation models.Generation) (peer.TokenStream, error) {
	return c.open(ctx, http.MethodPost, wire.PathRequests, wire.FromGeneration(generation))
}

// Resume implements peer.Engine.
func (c *Client) Resume(ctx context.Context, id models.RequestID, from int) (peer.TokenStream, error) {
	return c.open(ctx, http.MethodGet, requestPath(id)+"?from="+strconv.Itoa(from), nil)
}

// Cancel implements peer.Engine.
func (c *Client) Cancel(ctx context.Context, id models.RequestID) error {
	return c.call(ctx, http.MethodDelete, requestPath(id), nil, nil)
}

// State implements peer.Engine.
func (c *Client) State(ctx context.Context) (models.EngineState, error) {
	var form wire.State
	if err := c.call(ctx, http.MethodGet, wire.PathState, nil, &form); err != nil {
		return models.EngineState{}, err
	}
	return form.Domain(), nil
}

// Order implements peer.Engine.
func (c *Client) Order(ctx context.Context, order models.Order) error {
	return c.call(ctx, http.MethodPost, wire.PathOrders, wire.FromOrder(order), nil)
}

// Export implements peer.Engine.
func (c *Client) Export(ctx context.Context, id models.RequestID) (models.KVHandle, error) {
	var form wire.KVHandle
	if err := c.call(ctx, http.MethodPost, requestPath(id)+"/export", nil, &form); err != nil {
		return models.KVHandle{}, err
	}
	return form.Domain(), nil
}

// Import implements peer.Engine.
func (c *Client) Import(ctx context.Context, handle models.KVHandle) error {
	return c.call(ctx, http.MethodPost, wire.PathImports, wire.FromKVHandle(handle), nil)
}

// CacheEvents implements peer.Engine.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]models.CacheEvent, error) {
	var forms []wire.CacheEvent
	path := wire.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	if err := c.call(ctx, http.MethodGet, path, nil, &forms); err != nil {
		return nil, err
	}
	return wire.ToCacheEvents(forms), nil
}

func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if answer == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return peer.NewFailure(peer.OutcomeUnknown, "cannot decode the engine's answer", err)
	}
	return nil
}

func (c *Client) open(ctx context.Context, method, path string, body any) (peer.TokenStream, error) {
	// The stream's connection ends with the stream, not with the call.
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.send(ctx, method, path, body) //nolint:bodyclose // the stream closes it
	if err != nil {
		cancel()
		return nil, err
	}
	return newStream(response.Body, cancel), nil
}

func (c *Client) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return nil, peer.NewFailure(peer.OutcomeNotDone, "cannot encode a call of the engine", err)
		}
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, peer.NewFailure(peer.OutcomeNotDone, "cannot form a call of the engine", err)
	}
	request.Header.Set("Content-Type", contentType)
	response, err := c.client.Do(request)
	if err != nil {
		if !connected {
			return nil, peer.NewFailure(peer.OutcomeNotDone, "the engine cannot be reached", err)
		}
		return nil, peer.NewFailure(peer.OutcomeUnknown, "the engine did not answer", err)
	}
	if response.StatusCode/100 != 2 {
		defer response.Body.Close()
		return nil, problem(response)
	}
	return response, nil
}

func problem(response *http.Response) error {
	var form wire.Problem
	err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&form)
	if err != nil || form.Outcome == "" {
		return peer.NewFailure(peer.OutcomeUnknown, "the engine answered "+response.Status, nil)
	}
	return peer.NewFailure(peer.Outcome(form.Outcome), form.Message, nil)
}

func requestPath(id models.RequestID) string {
	return wire.PathRequests + "/" + url.PathEscape(string(id))
}
