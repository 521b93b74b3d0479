package peer

import (
	"context"

	"quincewinch/models"
)

// Engine is one model engine. Errors are of type *Failure.
type Engine interface {
	// Generate starts a request. A failure with OutcomeNotDone means that the
	// engine never saw it.
	Generate(ctx context.Context, generation models.Generation) (TokenStream, error)
	// Resume opens the stream of a started request again, from a token index.
	Resume(ctx context.Context, id models.RequestID, from int) (TokenStream, error)
	Cancel(ctx context.Context, id models.RequestID) error
	State(ctx context.Context) (models.EngineState, error)
	// Order gives an order. OutcomeStale means that the engine has seen a
	// higher fencing number.
	Order(ctx context.Context, order models.Order) error
	Export(ctx context.Context, id models.RequestID) (models.KVHandle, error)
	Import(ctx context.Context, handle models.KVHandle) error
	// CacheEvents lists cache events after a sequence number; gaps show in
	// the numbers.
	CacheEvents(ctx context.Context, after uint64) ([]models.CacheEvent, error)
}

// TokenStream is an engine's answer, piece by piece.
type TokenStream interface {
	// Next returns the next piece; the last one is Done. A stream that breaks
	// before that returns a *Failure.
	Next(ctx context.Context) (models.Piece, error)
	Close() error
}

// Engines finds the client of an engine.
type Engines interface {
	Engine(server models.BackendServer) Engine
}

// Service is one plain service. Errors are of type *Failure.
type Service interface {
	Call(ctx context.Context, call models.ServiceCall) (models.ServiceResponse, error)
}

// Services finds the client of a plain service.
type Services interface {
	Service(backend models.ServiceBackend) Service
}
