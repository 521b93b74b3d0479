// Package request passes a caller's request through a chain of filters, which
// authenticate, limit, queue, claim, place, send and meter it.
package request

import (
	"context"
	"time"

	"quincewinch/lib/pipeline"
	"quincewinch/models"
)

// Exchange is the state of one request in the filter chain. Exactly one of
// Generation and Call is set.
type Exchange struct {
	ID             models.RequestID
	Received       time.Time
	Deadline       time.Time
	Key            string // secret from the request; cleared by Authenticate
	KeyID          models.KeyID
	KeyHash        [32]byte // looks up the key in the configuration
	RouteName      string
	Route          models.Route
	Workspace      models.WorkspaceSettings // zero without a key on an open route
	IdempotencyKey string
	BodyHash       [32]byte
	Generation     *models.Generation
	Call           *models.ServiceCall
	Sink           Sink
	Usage          models.Usage // usage so far
	Started        bool         // a backend server may have received the request
	reserved       *reservation // held on an engine until the request is sent
	hashes         []uint64     // of the prompt's prefixes; computed on first use
}

// Repeatable reports whether the request may run more than once.
func (e *Exchange) Repeatable() bool {
	return e.Route.Repeatable && e.IdempotencyKey == ""
}

// Sink writes the answer to the caller. Its methods return once the caller's
// connection has accepted the data, or return an error if the caller has
// disconnected.
type Sink interface {
	Piece(ctx context.Context, piece models.Piece) error
	Answer(ctx context.Context, answer models.ServiceResponse) error
}

// Handler handles a request. Its error is a *models.Refusal.
type Handler = pipeline.Handler[Exchange]

// HandlerFunc is a function that implements Handler.
type HandlerFunc = pipeline.HandlerFunc[Exchange]

// Filter wraps the next handler. The handler that it returns answers a request
// itself or passes it on.
type Filter = pipeline.Filter[Exchange]

// Chain returns a handler that passes requests through filters in order, and
// then to last.
func Chain(last Handler, filters ...Filter) Handler {
	return pipeline.Chain(last, filters...)
}
