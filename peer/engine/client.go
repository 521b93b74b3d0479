// Package engine implements the client of the model engines' HTTP/JSON
// protocol.
package engine

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"

	"quincewinch/lib/strict"
	"quincewinch/models"
	"quincewinch/peer"
	"quincewinch/peer/engine/wire"
)

const (
	contentType      = "application/json"
	maxResponseBytes = 16 << 20
)

// Clients creates engine clients for backend servers.
type Clients struct {
	client *http.Client
}

// NewClients returns clients that share one HTTP client's connections. They do
// not follow redirects, because following one would send the call twice.
func NewClients(client *http.Client) Clients {
	shared := *strict.Client(client)
	shared.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return Clients{client: &shared}
}

// Engine implements peer.Engines.
func (c Clients) Engine(server models.BackendServer) peer.Engine {
	return NewClient(server.URL, c.client)
}

// Client calls one engine. Each method makes a single attempt.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client for the engine at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, client: strict.Client(client)}
}

// Generate implements peer.Engine.
func (c *Client) Generate(ctx context.Context, generation models.Generation) (peer.TokenStream, error) {
	return c.openStream(ctx, http.MethodPost, wire.PathRequests, wire.FromGeneration(generation))
}

// Resume implements peer.Engine.
func (c *Client) Resume(ctx context.Context, id models.RequestID, from int) (peer.TokenStream, error) {
	return c.openStream(ctx, http.MethodGet, requestPath(id)+"?from="+strconv.Itoa(from), nil)
}

// Cancel implements peer.Engine.
func (c *Client) Cancel(ctx context.Context, id models.RequestID) error {
	return c.roundTrip(ctx, http.MethodDelete, requestPath(id), nil, nil)
}

// State implements peer.Engine.
func (c *Client) State(ctx context.Context) (models.EngineState, error) {
	var state wire.State
	if err := c.roundTrip(ctx, http.MethodGet, wire.PathState, nil, &state); err != nil {
		return models.EngineState{}, err
	}
	return state.ToModel(), nil
}

// Order implements peer.Engine.
func (c *Client) Order(ctx context.Context, order models.Order) error {
	return c.roundTrip(ctx, http.MethodPost, wire.PathOrders, wire.FromOrder(order), nil)
}

// Export implements peer.Engine.
func (c *Client) Export(ctx context.Context, id models.RequestID) (models.KVHandle, error) {
	var handle wire.KVHandle
	if err := c.roundTrip(ctx, http.MethodPost, requestPath(id)+"/export", nil, &handle); err != nil {
		return models.KVHandle{}, err
	}
	return handle.ToModel(), nil
}

// Import implements peer.Engine.
func (c *Client) Import(ctx context.Context, handle models.KVHandle) error {
	return c.roundTrip(ctx, http.MethodPost, wire.PathImports, wire.FromKVHandle(handle), nil)
}

// CacheEvents implements peer.Engine.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]models.CacheEvent, error) {
	var events []wire.CacheEvent
	path := wire.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	if err := c.roundTrip(ctx, http.MethodGet, path, nil, &events); err != nil {
		return nil, err
	}
	return wire.ToCacheEvents(events), nil
}

func (c *Client) roundTrip(ctx context.Context, method, path string, body, answer any) error {
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if answer == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(answer); err != nil {
		return peer.NewFailure(peer.OutcomeUnknown, "cannot decode the engine's answer", err)
	}
	return nil
}

func (c *Client) openStream(ctx context.Context, method, path string, body any) (peer.TokenStream, error) {
	// The response must outlive this call: the stream cancels its context.
	ctx, cancel := context.WithCancel(ctx)
	response, err := c.send(ctx, method, path, body) //nolint:bodyclose // closed by the stream
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
	connected, reused := false, false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { connected, reused = true, info.Reused }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, c.base+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, peer.NewFailure(peer.OutcomeNotDone, "cannot form a call of the engine", err)
	}
	// A request may be sent to an engine again, a call never is.
	call := rand.Text()
	request.Header.Set("Content-Type", contentType)
	request.Header.Set(wire.HeaderCallID, call)
	response, err := c.client.Do(request)
	if err != nil {
		if !connected {
			return nil, peer.NewFailure(peer.OutcomeNotDone, "the engine cannot be reached", err)
		}
		return nil, peer.NewFailure(peer.OutcomeUnknown, "the engine did not answer", err)
	}
	if !answersCall(response, call, reused) {
		_ = response.Body.Close()
		return nil, peer.NewFailure(peer.OutcomeUnknown, "the engine answered another call", nil)
	}
	if response.StatusCode/100 != 2 {
		defer response.Body.Close()
		return nil, responseFailure(response)
	}
	return response, nil
}

// answersCall reports whether a response belongs to a call. One that names no call is
// trusted only if it is a success, or if the connection was not used before or separates
// calls itself.
func answersCall(response *http.Response, call string, reused bool) bool {
	if named, ok := strict.Value(response.Header, wire.HeaderCallID); !ok || named != "" {
		return ok && named == call
	}
	return response.StatusCode/100 == 2 || !reused || response.ProtoMajor > 1
}

// responseFailure returns the failure that an unsuccessful response reports.
func responseFailure(response *http.Response) error {
	var problem wire.Problem
	err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&problem)
	if err != nil || problem.Outcome == "" {
		return peer.NewFailure(peer.OutcomeUnknown, "the engine answered "+response.Status, nil)
	}
	return peer.NewFailure(peer.Outcome(problem.Outcome), problem.Message, nil)
}

func requestPath(id models.RequestID) string {
	return wire.PathRequests + "/" + url.PathEscape(string(id))
}
