// Package service implements the HTTP client of plain services, backends that
// are not engines.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"

	"quincewinch/lib/strict"
	"quincewinch/models"
	"quincewinch/peer"
)

// MaxResponseBytes limits the response body of a plain service.
const MaxResponseBytes = 8 << 20

// RequestIDHeader carries the ID of the request to the service.
const RequestIDHeader = "X-Request-Id"

// Clients creates clients for plain services.
type Clients struct {
	client *http.Client
	sent   *sentIDs
}

// NewClients returns clients that share one HTTP client's connections. They do
// not follow redirects, because following one would send the call twice.
func NewClients(client *http.Client) Clients {
	shared := *strict.Client(client)
	shared.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return Clients{client: &shared, sent: newSentIDs()}
}

// Service implements peer.Services.
func (c Clients) Service(backend models.ServiceBackend) peer.Service {
	return &Client{base: backend.URL, client: c.client, sent: c.sent}
}

// Client calls one plain service. Each call is sent once.
type Client struct {
	base   string
	client *http.Client
	sent   *sentIDs
}

// Call implements peer.Service.
func (c *Client) Call(ctx context.Context, call models.ServiceCall) (models.ServiceResponse, error) {
	// net/http resends a request on its own if it considers the request
	// idempotent (an Idempotency-Key header suffices) and can replay the body.
	// A body that is not nil, even if empty, and has no GetBody prevents that.
	body := struct{ io.Reader }{bytes.NewReader(call.Body)}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, c.base+call.Path, body)
	if err != nil {
		return models.ServiceResponse{}, peer.NewFailure(peer.OutcomeNotDone, "cannot form a call of the service", err)
	}
	request.ContentLength = int64(len(call.Body))
	for name, values := range call.Header {
		request.Header[name] = values
	}
	request.Header.Set(RequestIDHeader, string(call.ID))
	c.sent.add(call.ID)
	response, err := c.client.Do(request)
	if err != nil {
		return models.ServiceResponse{}, peer.NewFailure(transportOutcome(connected), "the service did not answer", err)
	}
	defer response.Body.Close()
	if c.answersOther(response.Header.Values(RequestIDHeader), call.ID) {
		return models.ServiceResponse{}, peer.NewFailure(peer.OutcomeUnknown, "the service answered another request", nil)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, MaxResponseBytes+1))
	if err != nil {
		return models.ServiceResponse{}, peer.NewFailure(peer.OutcomeUnknown, "the service's answer broke off", err)
	}
	if len(raw) > MaxResponseBytes {
		return models.ServiceResponse{}, peer.NewFailure(peer.OutcomeUnknown, "the service's answer is too large", nil)
	}
	if len(raw) == 0 && endsWithConnection(response) && response.StatusCode/100 == 2 {
		// A service that crashes after its head closes its connection in the same way.
		return models.ServiceResponse{}, peer.NewFailure(peer.OutcomeUnknown, "the service's answer ended before its body", nil)
	}
	return models.ServiceResponse{Status: response.StatusCode, Header: response.Header, Body: raw}, nil
}

// answersOther reports whether an answer that names some requests names another than the
// one that was sent: services may use the header for IDs of their own.
func (c *Client) answersOther(named []string, id models.RequestID) bool {
	return slices.ContainsFunc(named, func(name string) bool {
		return models.RequestID(name) != id && c.sent.contains(models.RequestID(name))
	})
}

// endsWithConnection reports whether a response with a body states neither its length
// nor chunks.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Request.Method != http.MethodHead
}

// transportOutcome returns the outcome of a call without a response: without a
// connection the service cannot have run it.
func transportOutcome(connected bool) peer.Outcome {
	if connected {
		return peer.OutcomeUnknown
	}
	return peer.OutcomeNotDone
}
