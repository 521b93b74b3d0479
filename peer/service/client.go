// Package service speaks HTTP to the plain services beside the engines.
package service

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"

	"quincewinch/models"
	"quincewinch/peer"
)

// MaxAnswerBytes bounds the answer of a plain service.
const MaxAnswerBytes = 8 << 20

// RequestIDHeader tells the service which request it serves.
const RequestIDHeader = "X-Request-Id"

// Clients finds services by URL.
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

// Service implements peer.Services.
func (c Clients) Service(backend models.ServiceBackend) peer.Service {
	return &Client{base: backend.URL, client: c.client}
}

// Client speaks to one plain service. One call is one attempt.
type Client struct {
	base   string
	client *http.Client
}

// Call implements peer.Service.
func (c *Client) Call(ctx context.Context, call models.ServiceCall) (models.ServiceResponse, error) {
	// net/http sends a request again by itself where it takes it for safe, an
	// Idempotency-Key being reason enough, and the body can be had again. A
	// body that is set, even if empty, and that GetBody cannot give keeps it
	// from that.
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
	response, err := c.client.Do(request)
	if err != nil {
		return models.ServiceResponse{}, peer.NewFailure(outcome(connected), "the service did not answer", err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return models.ServiceResponse{}, peer.NewFailure(peer.OutcomeUnknown, "the service's answer broke off", err)
	}
	if len(raw) > MaxAnswerBytes {
		return models.ServiceResponse{}, peer.NewFailure(peer.OutcomeUnknown, "the service's answer is too large", nil)
	}
	if response.StatusCode < http.StatusOK {
		return models.ServiceResponse{}, peer.NewFailure(peer.OutcomeUnknown, "the service answered "+response.Status, nil)
	}
	return models.ServiceResponse{Status: response.StatusCode, Header: response.Header, Body: raw}, nil
}

// outcome tells a call that never had a connection from one that broke.
func outcome(connected bool) peer.Outcome {
	if connected {
		return peer.OutcomeUnknown
	}
	return peer.OutcomeNotDone
}
