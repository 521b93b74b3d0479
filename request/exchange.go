// Package request takes a caller's request through a line of filters:
// authenticate, limit, queue, claim, place, send, meter. Each filter is one
// file.
package request

import (
	"context"
	"time"

	"quincewinch/lib/pipeline"
	"quincewinch/models"
)

// Exchange is one request on its way through the filters. One of Generation
// and Call is set.
type Exchange struct {
	ID             models.RequestID
	Received       time.Time
	Deadline       time.Time
	Key            string // the bearer's secret; authenticate clears it
	KeyID          models.KeyID
	KeyHash        [32]byte // finds the key again
	RouteName      string
	Route          models.Route
	Workspace      models.WorkspaceSettings // the zero one on an open route
	IdempotencyKey string
	BodyHash       [32]byte
	Generation     *models.Generation
	Call           *models.ServiceCall
	Sink           Sink
	Usage          models.Usage // what it used so far
	Started        bool         // a backend server may have seen it
	reserved       *reservation // its place at an engine, until it is sent
	hashes         []uint64     // of the prompt's prefixes, once reckoned
}

// Repeatable reports whether the request may run more than once.
func (e *Exchange) Repeatable() bool {
	return e.Route.Repeatable && e.IdempotencyKey == ""
}

// Sink takes the answer towards the caller. A call returns when the caller's
// connection has taken it, or an error when the caller is gone.
type Sink interface {
	Piece(ctx context.Context, piece models.Piece) error
	Answer(ctx context.Context, answer models.ServiceResponse) error
}

// Handler handles a request. Its error is a *models.Refusal.
type Handler = pipeline.Handler[Exchange]

// HandlerFunc is a function that handles a request.
type HandlerFunc = pipeline.HandlerFunc[Exchange]

// Filter is one step: it handles a request itself or hands it on to next.
type Filter = pipeline.Filter[Exchange]

// Chain returns a handler that takes requests through filters in order.
func Chain(last Handler, filters ...Filter) Handler {
	return pipeline.Chain(last, filters...)
}
