// Package service speaks HTTP to the plain services beside the engines.
package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"

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

// NewClients returns clients that share one HTTP client.
func NewClients(client *http.Client) Clients {
	return Clients{client: client}
}

// Service implements peer.Services.
func (c Clients) Service(backend models.ServiceBackend) peer.Service {
	return NewClient(backend.URL, c.client)
}

// Client speaks to one plain service. One call is one attempt.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client of the service at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, client: client}
}

// Call implements peer.Service.
func (c *Client) Call(ctx context.Context, call models.ServiceCall) (models.ServiceAnswer, error) {
	// GetBody stays unset, so that the transport never sends the body twice.
	body := struct{ io.Reader }{bytes.NewReader(call.Body)}
	request, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, body)
	if err != nil {
		return models.ServiceAnswer{}, peer.NewFailure(peer.OutcomeNotDone, "cannot form a call of the service", err)
	}
	request.ContentLength = int64(len(call.Body))
	for name, values := range call.Header {
		request.Header[name] = values
	}
	request.Header.Set(RequestIDHeader, string(call.ID))
	response, err := c.client.Do(request)
	if err != nil {
		return models.ServiceAnswer{}, peer.NewFailure(outcome(err), "the service did not answer", err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return models.ServiceAnswer{}, peer.NewFailure(peer.OutcomeUnknown, "the service's answer broke off", err)
	}
	if len(raw) > MaxAnswerBytes {
		return models.ServiceAnswer{}, peer.NewFailure(peer.OutcomeUnknown, "the service's answer is too large", nil)
	}
	return models.ServiceAnswer{Status: response.StatusCode, Header: response.Header, Body: raw}, nil
}

// outcome tells a connection that was never made from one that broke.
func outcome(err error) peer.Outcome {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return peer.OutcomeNotDone
	}
	return peer.OutcomeUnknown
}
